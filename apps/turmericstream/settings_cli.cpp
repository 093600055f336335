/** @file settings_cli.cpp The subcommands check-settings and result-codes. */
#include <fmt/format.h>

#include "cli_base.h"
#include "turmeric/state/ini_func.h"
#include "turmeric/state/settings_base.h"

namespace turmeric::cli {
namespace {

/** Suffix of settings files with placeholders that a platform fills in. */
constexpr std::string_view template_suffix = ".tpl";
constexpr std::string_view placeholder_start = "{{";

bool is_template(const std::string& path) {
  return path.size() > template_suffix.size() &&
         path.compare(path.size() - template_suffix.size(), std::string::npos,
                      template_suffix) == 0;
}

result<void> check_file(const std::string& path) {
  auto read = read_settings(path);
  if (!read)
    return boost::outcome_v2::failure(read.error());
  return boost::outcome_v2::success();
}

/** Checks the names of all settings in a template, and the values that have no
 * placeholder. */
result<void> check_template(const std::string& path) {
  auto lines = read_ini(path);
  if (!lines)
    return boost::outcome_v2::failure(lines.error());
  settings parsed_settings;
  for (const auto& line : lines.value()) {
    auto outcome = parsed_settings.set(line.section, line.name, line.value);
    const bool has_placeholder =
        line.value.find(placeholder_start) != std::string::npos;
    if (outcome || (has_placeholder &&
                    outcome.error().code == result_code::setting_out_of_range))
      continue;
    error e = outcome.error();
    e.file = path;
    e.line = line.line_number;
    return boost::outcome_v2::failure(e);
  }
  return boost::outcome_v2::success();
}

}  // namespace

result<void> run_check_settings(const cli_options& options) {
  if (options.page) {
    fmt::print("{}", settings_page());
    return boost::outcome_v2::success();
  }
  if (options.arguments.empty())
    fmt::print("{}", settings_help());
  for (const auto& path : options.arguments) {
    auto read = is_template(path) ? check_template(path) : check_file(path);
    if (!read)
      return boost::outcome_v2::failure(read.error());
    fmt::print("{}: valid\n", path);
  }
  return boost::outcome_v2::success();
}

result<void> run_result_codes(const cli_options&) {
  fmt::print(
      "# Result codes\n\nMade by `turmericstream result-codes`.\n\n"
      "| number | name | ends a request | meaning |\n"
      "| --- | --- | --- | --- |\n");
  for (const auto& row : result_code_table()) {
    fmt::print("| {} | {} | {} | {} |\n", static_cast<int>(row.code), row.name,
               row.ends_request ? "yes" : "no", row.description);
  }
  return boost::outcome_v2::success();
}

}  // namespace turmeric::cli
