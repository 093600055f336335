/** @file settings.cpp Settings table, reader and help. */
#include <fmt/format.h>

#include <charconv>

#include "turmeric/state/ini_func.h"
#include "turmeric/state/settings_base.h"

namespace turmeric {
namespace {

const setting_row* find_row(const std::string& section,
                            const std::string& name) {
  for (const auto& row : setting_table()) {
    if (row.section == section && row.name == name)
      return &row;
  }
  return nullptr;
}

/** Parses an integer in decimal notation; false unless @p text is one. */
bool parse_number(const std::string& text, int64_t* out) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *out);
  return parsed.ec == std::errc() && parsed.ptr == end && !text.empty();
}

/** Parses a decimal number such as 1.5; false unless @p text is one. */
bool parse_decimal(const std::string& text, double* out) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *out);
  return parsed.ec == std::errc() && parsed.ptr == end && !text.empty();
}

/** Determines the quantity that the bounds of @p row apply to: the number, or
 * the length of a text. False if @p value is not a number but must be one. */
bool bounded_quantity_of(const setting_row& row,
                         const std::string& value,
                         double* quantity) {
  if (row.kind == setting_kind::text) {
    *quantity = static_cast<double>(value.size());
    return true;
  }
  if (row.kind == setting_kind::decimal)
    return parse_decimal(value, quantity);
  int64_t integer = 0;
  const bool is_number = parse_number(value, &integer);
  *quantity = static_cast<double>(integer);
  return is_number;
}

/** @return The allowed values of @p row, for the help text. */
std::string range_of(const setting_row& row) {
  return row.kind == setting_kind::flag
             ? "true or false"
             : fmt::format("{}..{}", row.min, row.max);
}

result<void> check_value(const setting_row& row, const std::string& value) {
  if (row.kind == setting_kind::flag) {
    if (value == "true" || value == "false")
      return boost::outcome_v2::success();
    return fail(result_code::setting_out_of_range,
                fmt::format("{}.{} is '{}', expected true or false",
                            row.section, row.name, value));
  }
  double quantity = 0;
  const bool is_numeric = row.kind != setting_kind::text;
  if (!bounded_quantity_of(row, value, &quantity)) {
    return fail(result_code::setting_out_of_range,
                fmt::format("{}.{} is '{}', expected a number", row.section,
                            row.name, value));
  }
  if (quantity < static_cast<double>(row.min) ||
      quantity > static_cast<double>(row.max)) {
    return fail(result_code::setting_out_of_range,
                fmt::format("{}.{} is '{}', expected {} from {} to {}",
                            row.section, row.name, value,
                            is_numeric ? "a number" : "a text with a length",
                            row.min, row.max));
  }
  return boost::outcome_v2::success();
}

}  // namespace

const std::vector<setting_row>& setting_table() {
  static const std::vector<setting_row> table = {
#define TURMERIC_SETTING(section, name, kind, unit, default_value, min, max, \
                         text)                                               \
  {setting::section##_##name,                                                \
   #section,                                                                 \
   #name,                                                                    \
   setting_kind::kind,                                                       \
   unit,                                                                     \
   default_value,                                                            \
   min,                                                                      \
   max,                                                                      \
   text},
#include "turmeric/state/table/settings.h"
#undef TURMERIC_SETTING
  };
  return table;
}

settings::settings() {
  for (const auto& row : setting_table())
    values_.emplace_back(row.default_value);
}

result<void> settings::set(const std::string& section,
                           const std::string& name,
                           const std::string& value) {
  const setting_row* row = find_row(section, name);
  if (row == nullptr) {
    return fail(result_code::unknown_setting,
                fmt::format("no setting {}.{}", section, name));
  }
  auto checked = check_value(*row, value);
  if (checked)
    values_[static_cast<size_t>(row->id)] = value;
  return checked;
}

const std::string& settings::text(setting id) const {
  return values_[static_cast<size_t>(id)];
}

int64_t settings::number(setting id) const {
  int64_t value = 0;
  parse_number(text(id), &value);
  return value;
}

double settings::decimal(setting id) const {
  double value = 0;
  parse_decimal(text(id), &value);
  return value;
}

result<void> settings::check_complete() const {
  for (const auto& row : setting_table()) {
    auto checked = check_value(row, text(row.id));
    if (!checked)
      return checked;
  }
  if (flag(setting::overload_caller_shares) &&
      !flag(setting::overload_admission)) {
    return fail(result_code::setting_conflict,
                "overload.caller_shares is 'true', expected 'false' unless "
                "overload.admission is 'true'");
  }
  return boost::outcome_v2::success();
}

result<settings> read_settings(const std::string& path) {
  auto lines = read_ini(path);
  if (!lines)
    return boost::outcome_v2::failure(lines.error());
  settings out;
  for (const auto& line : lines.value()) {
    auto assigned = out.set(line.section, line.name, line.value);
    if (!assigned) {
      error e = assigned.error();
      e.file = path;
      e.line = line.line_number;
      return boost::outcome_v2::failure(e);
    }
  }
  auto complete = out.check_complete();
  if (!complete) {
    error e = complete.error();
    e.file = path;
    return boost::outcome_v2::failure(e);
  }
  return out;
}

std::string settings_help() {
  std::string out;
  for (const auto& row : setting_table()) {
    out += fmt::format("{}.{} [{}] default '{}', {}\n    {}\n", row.section,
                       row.name, row.unit, row.default_value, range_of(row),
                       row.description);
  }
  return out;
}

std::string settings_page() {
  std::string out =
      "# Settings\n\nMade by `turmericstream check-settings --page`.\n\n"
      "| section | name | unit | default | minimum | maximum | meaning |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& row : setting_table()) {
    const bool flag = row.kind == setting_kind::flag;
    out += fmt::format("| {} | {} | {} | {} | {} | {} | {} |\n", row.section,
                       row.name, row.unit, row.default_value,
                       flag ? "false" : fmt::format("{}", row.min),
                       flag ? "true" : fmt::format("{}", row.max),
                       row.description);
  }
  return out;
}

}  // namespace turmeric
