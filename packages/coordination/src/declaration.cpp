/** @file declaration.cpp Parsing of templates and client accounts. */
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <sstream>

#include "turmeric/coordination/declaration_func.h"
#include "turmeric/state/ini_func.h"

namespace turmeric {
namespace {

constexpr uint32_t max_slots = 1024;
constexpr uint32_t max_latency_ms = 60000;

error error_at_line(const std::string& file, int line, std::string message) {
  return {result_code::declaration_invalid, std::move(message), file, line};
}

error unknown_setting(const std::string& file, const ini_line& line) {
  return error_at_line(
      file, line.line_number,
      fmt::format("[{}] has no setting '{}'", line.section, line.name));
}

/** Parses a whole number from @p min to @p max. */
result<uint32_t> parse_number(const std::string& file,
                              const ini_line& line,
                              uint32_t min,
                              uint32_t max) {
  uint32_t value = 0;
  const char* end = line.value.data() + line.value.size();
  const auto parsed = std::from_chars(line.value.data(), end, value);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  if (!is_number || value < min || value > max) {
    return boost::outcome_v2::failure(error_at_line(
        file, line.line_number,
        fmt::format("{} is '{}', expected a whole number from {} to {}",
                    line.name, line.value, min, max)));
  }
  return value;
}

/** Parses a share between 0 and 1, both excluded. */
result<double> parse_share(const std::string& file, const ini_line& line) {
  std::istringstream text(line.value);
  double value = 0;
  text >> value;
  if (text.fail() || !text.eof() || value <= 0 || value >= 1) {
    return boost::outcome_v2::failure(error_at_line(
        file, line.line_number,
        fmt::format("{} is '{}', expected a number above 0 and below 1",
                    line.name, line.value)));
  }
  return value;
}

bool valid_name(const std::string& name) {
  const bool valid_length = !name.empty() && name.size() <= 64;
  return valid_length && std::all_of(name.begin(), name.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) || c == '-' ||
                  c == '_' || c == '.';
         });
}

result<std::string> parse_name(const std::string& file, const ini_line& line) {
  if (!valid_name(line.value)) {
    return boost::outcome_v2::failure(error_at_line(
        file, line.line_number,
        fmt::format(
            "{} is '{}', expected 1 to 64 letters, digits, '-', '_' or '.'",
            line.name, line.value)));
  }
  return line.value;
}

std::vector<std::string> split_list(const std::string& text) {
  std::vector<std::string> out;
  std::string item;
  std::istringstream rest(text);
  while (std::getline(rest, item, ',')) {
    const size_t first = item.find_first_not_of(" \t");
    const size_t last = item.find_last_not_of(" \t");
    if (first != std::string::npos)
      out.push_back(item.substr(first, last - first + 1));
  }
  return out;
}

/** Stores a parsed value in @p out, or returns the parser's error. */
template <typename T, typename Parsed>
result<void> assign(T* out, Parsed parsed) {
  if (!parsed)
    return boost::outcome_v2::failure(parsed.error());
  *out = parsed.value();
  return boost::outcome_v2::success();
}

result<void> read_service_line(const std::string& file,
                               const ini_line& line,
                               service_template* service) {
  service_objective& objective = service->objective;
  if (line.name == "slots")
    return assign(&service->slots, parse_number(file, line, 1, max_slots));
  if (line.name == "availability")
    return assign(&objective.availability, parse_share(file, line));
  if (line.name == "latency_ms") {
    return assign(&objective.latency_ms,
                  parse_number(file, line, 1, max_latency_ms));
  }
  if (line.name == "latency_share")
    return assign(&objective.latency_share, parse_share(file, line));
  return boost::outcome_v2::failure(unknown_setting(file, line));
}

result<void> read_account_line(const ini_line& line,
                               account_declaration* account) {
  if (line.name == "name")
    return assign(&account->name, parse_name(account->file, line));
  if (line.name == "template") {
    account->template_line = line.line_number;
    return assign(&account->template_name, parse_name(account->file, line));
  }
  if (line.name == "capacity") {
    return assign(&account->capacity,
                  parse_number(account->file, line, 1, max_slots));
  }
  if (line.name == "zones") {
    account->zones = split_list(line.value);
    return boost::outcome_v2::success();
  }
  return boost::outcome_v2::failure(unknown_setting(account->file, line));
}

result<void> read_target_line(const ini_line& line,
                              const std::string& service,
                              account_declaration* account) {
  std::istringstream fields(line.value);
  target_declaration target;
  std::string address, rest;
  fields >> target.zone >> address >> rest;
  auto parsed = parse_endpoint(address);
  const bool valid = parsed && rest.empty() && valid_name(line.name);
  if (!valid) {
    return boost::outcome_v2::failure(
        error_at_line(account->file, line.line_number,
                      fmt::format("target '{}' is '{}', expected ZONE IP:PORT",
                                  line.name, line.value)));
  }
  target.service = service;
  target.name = line.name;
  target.address = parsed.value();
  target.line = line.line_number;
  account->targets.push_back(std::move(target));
  return boost::outcome_v2::success();
}

/** @return The part of @p section after @p keyword and a space, or "". */
std::string section_suffix(const std::string& section,
                           const std::string& keyword) {
  const std::string prefix = keyword + " ";
  return section.rfind(prefix, 0) == 0 ? section.substr(prefix.size()) : "";
}

error unknown_section(const std::string& file, const ini_line& line) {
  return error_at_line(file, line.line_number,
                       fmt::format("unknown section [{}]", line.section));
}

}  // namespace

result<template_declaration> parse_template(const std::string& text,
                                            const std::string& origin) {
  auto lines = parse_ini(text, origin);
  if (!lines)
    return boost::outcome_v2::failure(lines.error());
  template_declaration out;
  for (const auto& line : lines.value()) {
    const std::string service = section_suffix(line.section, "service");
    result<void> status = boost::outcome_v2::success();
    if (line.section == "template" && line.name == "name")
      status = assign(&out.name, parse_name(origin, line));
    else if (line.section == "template")
      status = boost::outcome_v2::failure(unknown_setting(origin, line));
    else if (valid_name(service)) {
      out.services[service].name = service;
      status = read_service_line(origin, line, &out.services[service]);
    } else {
      status = boost::outcome_v2::failure(unknown_section(origin, line));
    }
    if (!status)
      return boost::outcome_v2::failure(status.error());
  }
  if (out.name.empty())
    return boost::outcome_v2::failure(
        error_at_line(origin, 1, "template.name is missing"));
  return out;
}

result<account_declaration> parse_account(const std::string& text,
                                          const std::string& origin) {
  auto lines = parse_ini(text, origin);
  if (!lines)
    return boost::outcome_v2::failure(lines.error());
  account_declaration out;
  out.file = origin;
  for (const auto& line : lines.value()) {
    const std::string service = section_suffix(line.section, "targets");
    result<void> status = boost::outcome_v2::success();
    if (line.section == "account")
      status = read_account_line(line, &out);
    else if (valid_name(service))
      status = read_target_line(line, service, &out);
    else
      status = boost::outcome_v2::failure(unknown_section(origin, line));
    if (!status)
      return boost::outcome_v2::failure(status.error());
  }
  for (const auto& [name, value] : {std::pair("name", out.name),
                                    std::pair("template", out.template_name)}) {
    if (value.empty()) {
      return boost::outcome_v2::failure(
          error_at_line(origin, 1, fmt::format("account.{} is missing", name)));
    }
  }
  return out;
}

}  // namespace turmeric
