/** @file settings_cli.cpp check-settings and result-codes. */
#include <fmt/format.h>

#include "cli_base.h"
#include "turmeric/state/settings_base.h"

namespace turmeric::cli {

result<void> run_check_settings(const cli_options& options) {
  if (options.page) {
    fmt::print("{}", settings_page());
    return boost::outcome_v2::success();
  }
  if (options.arguments.empty())
    fmt::print("{}", settings_help());
  for (const auto& path : options.arguments) {
    auto read = read_settings(path);
    if (!read)
      return boost::outcome_v2::failure(read.error());
    fmt::print("{}: fine\n", path);
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
               row.final ? "yes" : "no", row.description);
  }
  return boost::outcome_v2::success();
}

}  // namespace turmeric::cli
