/** @file flag_cli.cpp The subcommands zone, target and instance, which set or
 * clear flags in the configuration. */
#include <fmt/format.h>

#include "cli_base.h"
#include "turmeric/coordination/declaration_func.h"
#include "turmeric/state/config_key_func.h"

namespace turmeric::cli {
namespace {

/** Kind of a flag, and the verbs of the subcommand that set and clear it. */
struct flag_verbs {
  key_kind kind;
  std::string set;
  std::string clear;
};

/** Commits the flag's new value, unless it has that value already. */
result<void> set_or_clear_flag(const cli_options& options,
                               const flag_verbs& verbs) {
  const bool complete = options.arguments.size() == 2;
  const std::string verb = complete ? options.arguments[0] : "";
  if (verb != verbs.set && verb != verbs.clear) {
    return fail(result_code::usage, fmt::format("expected {} or {} and a name",
                                                verbs.set, verbs.clear));
  }
  auto state = read_state(platform_hooks(options));
  if (!state)
    return boost::outcome_v2::failure(state.error());
  const std::string key = make_key(verbs.kind, options.arguments[1]);
  const change_plan plan = plan_flag(state.value(), key, verb == verbs.set);
  if (plan.entries.empty()) {
    fmt::print("{}: no change, the flag already has this value\n", key);
    return boost::outcome_v2::success();
  }
  auto committed = commit_plan(options, plan.base, plan.entries);
  if (!committed)
    return boost::outcome_v2::failure(committed.error());
  if (options.json)
    fmt::print("{{\"revision\":{}}}\n", committed.value());
  else
    fmt::print("{} {}: revision {}\n", verb, options.arguments[1],
               committed.value());
  return boost::outcome_v2::success();
}

}  // namespace

result<void> run_zone(const cli_options& options) {
  return set_or_clear_flag(options, {key_kind::zone_out, "out", "in"});
}

result<void> run_target(const cli_options& options) {
  return set_or_clear_flag(options,
                           {key_kind::target_drain, "drain", "undrain"});
}

result<void> run_instance(const cli_options& options) {
  return set_or_clear_flag(options,
                           {key_kind::instance_drain, "drain", "undrain"});
}

}  // namespace turmeric::cli
