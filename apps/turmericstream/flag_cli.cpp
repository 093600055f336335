/** @file flag_cli.cpp zone, target and instance: flags in the configuration. */
#include <fmt/format.h>

#include "cli_base.h"
#include "turmeric/coordination/declaration_func.h"
#include "turmeric/state/config_key_func.h"

namespace turmeric::cli {
namespace {

/** Words of a subcommand that sets or clears a flag. */
struct flag_words {
  key_kind kind;
  std::string set;
  std::string clear;
};

result<void> run_flag(const cli_options& options, const flag_words& words) {
  const bool complete = options.arguments.size() == 2;
  const std::string verb = complete ? options.arguments[0] : "";
  if (verb != words.set && verb != words.clear) {
    return fail(result_code::usage, fmt::format("expected {} or {} and a name",
                                                words.set, words.clear));
  }
  auto state = read_state(platform_hooks(options));
  if (!state)
    return boost::outcome_v2::failure(state.error());
  const std::string key = make_key(words.kind, options.arguments[1]);
  const change_plan plan = plan_flag(state.value(), key, verb == words.set);
  if (plan.entries.empty()) {
    fmt::print("{} is already so\n", key);
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
  return run_flag(options, {key_kind::zone_out, "out", "in"});
}

result<void> run_target(const cli_options& options) {
  return run_flag(options, {key_kind::target_drain, "drain", "undrain"});
}

result<void> run_instance(const cli_options& options) {
  return run_flag(options, {key_kind::instance_drain, "drain", "undrain"});
}

}  // namespace turmeric::cli
