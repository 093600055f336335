/** @file explain_cli.cpp The subcommand explain: shows from logs what happened
 * to a flow and why. */
#include <fmt/format.h>

#include <fstream>
#include <iostream>

#include "cli_base.h"
#include "explain_page.h"

namespace turmeric::cli {
namespace {

void read_lines(std::istream& in, std::vector<std::string>* out) {
  std::string line;
  while (std::getline(in, line))
    out->push_back(line);
}

}  // namespace

result<void> run_explain(const cli_options& options) {
  if (options.flow.empty()) {
    return fail(result_code::usage,
                "expected: explain --flow IP:PORT [LOG...]; without files, "
                "standard input is read");
  }
  std::vector<std::string> lines;
  if (options.arguments.empty())
    read_lines(std::cin, &lines);
  for (const auto& path : options.arguments) {
    std::ifstream file(path);
    if (!file)
      return fail(result_code::file_unreadable, "cannot be read", path);
    read_lines(file, &lines);
  }
  const explanation found = explain_flow(lines, options.flow);
  fmt::print("{}", to_text(found, options.flow));
  if (found.decisions.empty())
    return fail(result_code::not_found, "no line on " + options.flow);
  return boost::outcome_v2::success();
}

}  // namespace turmeric::cli
