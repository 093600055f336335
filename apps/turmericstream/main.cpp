/** @file main.cpp The operators' command: dispatch of subcommands. */
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
  out += "\n`turmericstream SUBCOMMAND --help` tells more.\n";
  return out;
}

const subcommand* find(const std::string& name) {
  for (const auto& command : subcommands()) {
    if (command.name == name)
      return &command;
  }
  return nullptr;
}

int report(const error& e, bool json) {
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

bool asks_for_help(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--help") == 0 || std::strcmp(argv[i], "-h") == 0)
      return true;
  }
  return false;
}

int main_of(int argc, char** argv) {
  const subcommand* command = argc > 1 ? find(argv[1]) : nullptr;
  if (command == nullptr) {
    const bool wanted = asks_for_help(argc, argv);
    fmt::print(wanted ? stdout : stderr, "{}", general_help());
    return wanted ? 0 : static_cast<int>(result_code::usage);
  }
  if (asks_for_help(argc, argv)) {
    fmt::print("{}", help_of(*command));
    return 0;
  }
  auto options = parse_options(argc - 1, argv + 1);
  if (!options)
    return report(options.error(), false);
  auto done = command->run(options.value());
  return done ? 0 : report(done.error(), options.value().json);
}

}  // namespace

const std::vector<subcommand>& subcommands() {
  static const std::vector<subcommand> all = {
      {"plan", "ACCOUNT.ini...", "Shows what apply would change", run_plan},
      {"apply", "ACCOUNT.ini...", "Declares client accounts", run_apply},
      {"get", "[KEY-PREFIX]", "Shows the configuration", run_get},
      {"status", "", "Shows every balancer", run_status},
      {"zone", "out|in ZONE", "Takes an availability zone out or back",
       run_zone},
      {"target", "drain|undrain ACCOUNT/SERVICE/TARGET", "Lets a target leave",
       run_target},
      {"instance", "drain|undrain NAME", "Lets a balancer leave", run_instance},
      {"report", "burn", "Shows the burn of the service levels", run_report},
      {"metrics", "", "Shows counters of every balancer", run_metrics},
      {"log-level", "CATEGORY|all LEVEL", "Sets log levels of every balancer",
       run_log_level},
      {"forwarder", "status|targets|flows IP:PORT",
       "Shows what forwarding balancers know; -b takes their metrics addresses",
       run_forwarder_pages},
      {"explain", "--flow IP:PORT [LOG...]",
       "Finds in logs what happened to a flow and why", run_explain},
      {"metrics-page", "", "Prints the table of the forwarding metrics",
       run_metrics_page},
      {"check-settings", "[FILE.ini...]", "Checks settings of balancers",
       run_check_settings},
      {"result-codes", "", "Prints the table of result codes",
       run_result_codes},
  };
  return all;
}

}  // namespace turmeric::cli

int main(int argc, char** argv) {
  return turmeric::cli::main_of(argc, argv);
}
