/** @file cli_base.h Command line and shared state of the operators' command. */
#ifndef TURMERIC_APPS_TURMERICSTREAM_CLI_BASE_H_
#define TURMERIC_APPS_TURMERICSTREAM_CLI_BASE_H_

#include <functional>
#include <string>
#include <vector>

#include "turmeric/coordination/operator_io_func.h"
#include "turmeric/protocol/codec_func.h"

namespace turmeric::cli {

/** Options and arguments; every subcommand accepts all options. */
struct cli_options {
  std::string config;               ///< INI file with the [operator] section.
  endpoint platform;                ///< Address of the platform's object API.
  std::vector<endpoint> balancers;  ///< Admin addresses.
  std::string cluster = "turmeric";
  std::string key;                     ///< Shared key in hex.
  std::string author = "operator";     ///< Recorded in changes.
  std::vector<std::string> templates;  ///< Template files.
  std::string output;                  ///< File to write a report to.
  std::string flow;                    ///< "IP:PORT" of the caller of a flow.
  bool json = false;
  bool wait = false;  ///< Wait until all balancers have the change in force.
  bool page = false;  ///< Print the page for the documentation.
  std::vector<std::string> arguments;  ///< Arguments after the subcommand.
};

/** A subcommand of `turmericstream`. */
struct subcommand {
  std::string name;
  std::string argument_syntax;  ///< For the usage line.
  std::string description;      ///< One sentence without the full stop.
  std::function<result<void>(const cli_options&)> run;
};

/** In the order of the help. */
const std::vector<subcommand>& subcommands();

/** Parses the command line from the subcommand's name on, and the config file
 * that it names; the command line overrides the file.
 * @return On error `usage` for an unknown option, the error of an invalid
 * address, or that of the config file with its line. */
result<cli_options> parse_options(int argc, char** argv);

std::string help_of(const subcommand& command);

/** @return Hooks that call the platform over HTTP. */
operator_hooks platform_hooks(const cli_options& options);

/** For signing calls to balancers.
 * @return On error `usage` without a key, or that of make_codec_context(). */
result<codec_context> signing_context(const cli_options& options);

/** Commits changes that were planned on revision @p base. Writes a snapshot
 * after every changes_per_snapshot revisions, and waits until the change is in
 * force if options.wait is set.
 * @return The new revision; on error that of commit() or wait_in_force(). */
result<revision> commit_plan(const cli_options& options,
                             revision base,
                             std::vector<config_entry> entries);

/** Waits up to 30 s until every balancer has revision @p required in force.
 * @return On timeout `balancer_unreachable` with the balancers that have not or
 * that did not answer. */
result<void> wait_in_force(const cli_options& options, revision required);

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
