/** @file main.cpp The operators' command: selects and runs a subcommand. */
#include <fmt/format.h>
#include <json/json.h>

#include <cstring>

#include "cli_base.h"
#include "turmeric/state/json_func.h"

namespace turmeric::cli {
namespace {

std::string general_help() {
  std::string out =
      "Usage: turmericstream SUBCOMMAND [OPTIONS] [ARGUMENTS]\n\n"
      "Subcommands:\n";
  for (const auto& command : subcommands())
    out += fmt::format("  {:<16}{}\n", command.name, command.description);
  out += "\n`turmericstream SUBCOMMAND --help` shows its options.\n";
  return out;
}

/** @return The subcommand with this name, or null. */
const subcommand* find_subcommand(const std::string& name) {
  for (const auto& command : subcommands()) {
    if (command.name == name)
      return &command;
  }
  return nullptr;
}

/** Prints an error, as JSON to standard output or as text to standard error.
 * @return The exit code. */
int print_error(const error& e, bool json) {
  if (json) {
    Json::Value v;
    v["error"] = static_cast<int>(e.code);
    v["name"] = std::string(row_of(e.code).name);
    v["message"] = e.message;
    v["file"] = e.file;
    v["line"] = e.line;
    fmt::print("{}\n", json_text(v));
  } else {
    fmt::print(stderr, "turmericstream: {}\n", to_text(e));
  }
  return static_cast<int>(e.code);
}

bool help_requested(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--help") == 0 || std::strcmp(argv[i], "-h") == 0)
      return true;
  }
  return false;
}

int run_command_line(int argc, char** argv) {
  const subcommand* command = argc > 1 ? find_subcommand(argv[1]) : nullptr;
  if (command == nullptr) {
    const bool help_wanted = help_requested(argc, argv);
    fmt::print(help_wanted ? stdout : stderr, "{}", general_help());
    return help_wanted ? 0 : static_cast<int>(result_code::usage);
  }
  if (help_requested(argc, argv)) {
    fmt::print("{}", help_of(*command));
    return 0;
  }
  auto options = parse_options(argc - 1, argv + 1);
  if (!options)
    return print_error(options.error(), false);
  auto outcome = command->run(options.value());
  return outcome ? 0 : print_error(outcome.error(), options.value().json);
}

}  // namespace

const std::vector<subcommand>& subcommands() {
  static const std::vector<subcommand> all = {
      {"plan", "ACCOUNT.ini...", "Shows what apply would change", run_plan},
      {"apply", "ACCOUNT.ini...", "Declares client accounts", run_apply},
      {"get", "[KEY-PREFIX]", "Shows the configuration", run_get},
      {"status", "", "Shows the status of every balancer", run_status},
      {"zone", "out|in ZONE", "Withdraws an availability zone or restores it",
       run_zone},
      {"target", "drain|undrain ACCOUNT/SERVICE/TARGET",
       "Sets or clears the drain flag of a target", run_target},
      {"instance", "drain|undrain NAME",
       "Drains and stops a balancer, or clears its drain flag", run_instance},
      {"report", "burn", "Shows burn rates of the service-level objectives",
       run_report},
      {"metrics", "", "Shows counters of every balancer", run_metrics},
      {"log-level", "CATEGORY|all LEVEL", "Sets log levels of every balancer",
       run_log_level},
      {"forwarder", "status|targets|flows IP:PORT|burn [SECONDS]",
       "Shows the state of forwarding balancers; -b takes their metrics "
       "addresses",
       run_forwarder_pages},
      {"explain", "--flow IP:PORT [LOG...]",
       "Shows from logs what happened to a flow and why", run_explain},
      {"metrics-page", "", "Prints the table of the forwarding metrics",
       run_metrics_page},
      {"check-settings", "[FILE.ini...]",
       "Checks settings files; without files, prints all settings",
       run_check_settings},
      {"result-codes", "", "Prints the table of result codes",
       run_result_codes},
  };
  return all;
}

}  // namespace turmeric::cli

int main(int argc, char** argv) {
  return turmeric::cli::run_command_line(argc, argv);
}
