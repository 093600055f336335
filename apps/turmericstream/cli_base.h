/** @file cli_base.h Command line and shared state of the operators' command. */
#ifndef TURMERIC_APPS_TURMERICSTREAM_CLI_BASE_H_
#define TURMERIC_APPS_TURMERICSTREAM_CLI_BASE_H_

#include <functional>
#include <string>
#include <vector>

#include "turmeric/coordination/operator_io_func.h"
#include "turmeric/protocol/codec_func.h"

namespace turmeric::cli {

/** Options that every subcommand takes. */
struct cli_options {
  std::string config;  ///< INI file with the [operator] section.
  endpoint platform;
  std::vector<endpoint> balancers;  ///< Admin addresses.
  std::string cluster = "turmeric";
  std::string key;  ///< Shared key in hex.
  std::string author = "operator";
  std::vector<std::string> templates;  ///< Template files.
  std::string output;                  ///< File to write a report to.
  std::string flow;                    ///< Caller's address of a flow.
  bool json = false;
  bool wait = false;  ///< Wait until the change is in force everywhere.
  bool page = false;  ///< Print a documentation page.
  std::vector<std::string> arguments;  ///< What follows the subcommand.
};

/** A subcommand. */
struct subcommand {
  std::string name;
  std::string arguments;  ///< For the usage line.
  std::string description;
  std::function<result<void>(const cli_options&)> run;
};

/** @return All subcommands, in the order of the help. */
const std::vector<subcommand>& subcommands();

/** Parses the command line behind the subcommand's name.
 * @return `usage`, or the errors of the config file. */
result<cli_options> parse_options(int argc, char** argv);

/** @return The help text of one subcommand. */
std::string help_of(const subcommand& command);

/** @return Hooks that call the platform over HTTP. */
operator_hooks platform_hooks(const cli_options& options);

/** @return The codec context for signing, or an error. */
result<codec_context> signing_context(const cli_options& options);

/** Commits a plan, writes a snapshot when one is due, waits if asked to. */
result<revision> commit_plan(const cli_options& options,
                             revision base,
                             std::vector<config_entry> entries);

/** Waits until every balancer has @p wanted in force.
 * @return `balancer_unreachable` naming those that have not. */
result<void> wait_in_force(const cli_options& options, revision wanted);

result<void> run_plan(const cli_options& options);
result<void> run_apply(const cli_options& options);
result<void> run_get(const cli_options& options);
result<void> run_status(const cli_options& options);
result<void> run_zone(const cli_options& options);
result<void> run_target(const cli_options& options);
result<void> run_instance(const cli_options& options);
result<void> run_report(const cli_options& options);
result<void> run_log_level(const cli_options& options);
result<void> run_metrics(const cli_options& options);
result<void> run_check_settings(const cli_options& options);
result<void> run_result_codes(const cli_options& options);
result<void> run_forwarder_pages(const cli_options& options);
result<void> run_metrics_page(const cli_options& options);
result<void> run_explain(const cli_options& options);

}  // namespace turmeric::cli

#endif  // TURMERIC_APPS_TURMERICSTREAM_CLI_BASE_H_
