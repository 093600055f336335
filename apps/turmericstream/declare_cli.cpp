/** @file declare_cli.cpp The subcommands plan, apply and get, and commits of
 * changes. */
#include <fmt/format.h>
#include <json/json.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

#include "cli_base.h"
#include "turmeric/coordination/declaration_func.h"
#include "turmeric/state/json_func.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/platform_client_func.h"

namespace turmeric::cli {
namespace {

result<std::string> read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return fail(result_code::file_unreadable, "cannot be read", path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

using template_map = std::map<std::string, template_declaration>;

/** Parses the template files of the command line.
 * @return The templates by name, or the first error. */
result<template_map> read_templates(const cli_options& options) {
  template_map out;
  for (const auto& path : options.templates) {
    auto text = read_file(path);
    if (!text)
      return boost::outcome_v2::failure(text.error());
    auto parsed = parse_template(text.value(), path);
    if (!parsed)
      return boost::outcome_v2::failure(parsed.error());
    out[parsed.value().name] = parsed.value();
  }
  return out;
}

/** Renders the account files of the command line and plans their changes on
 * @p state. An error in one file fails the whole plan, so that nothing is
 * applied in part. */
result<change_plan> plan_accounts(const cli_options& options,
                                  const config_state& state) {
  auto templates = read_templates(options);
  if (!templates)
    return boost::outcome_v2::failure(templates.error());
  if (options.arguments.empty())
    return fail(result_code::usage, "expected at least one account file");
  change_plan combined;
  combined.base = state.current_revision();
  for (const auto& path : options.arguments) {
    auto text = read_file(path);
    if (!text)
      return boost::outcome_v2::failure(text.error());
    auto account = parse_account(text.value(), path);
    if (!account)
      return boost::outcome_v2::failure(account.error());
    auto services = render(templates.value(), account.value());
    if (!services)
      return boost::outcome_v2::failure(services.error());
    auto plan = plan_account(state, account.value().name, services.value());
    if (!plan) {
      error e = plan.error();
      e.file = path;
      return boost::outcome_v2::failure(e);
    }
    for (auto& entry : plan.value().entries)
      combined.entries.push_back(std::move(entry));
    for (auto& line : plan.value().lines)
      combined.lines.push_back(std::move(line));
  }
  return combined;
}

void print_plan(const cli_options& options, const change_plan& plan) {
  if (!options.json) {
    fmt::print("based on revision {}, {} changes\n", plan.base,
               plan.lines.size());
    for (const auto& line : plan.lines)
      fmt::print("  {} {}: {}\n", line.sign, line.key, line.detail);
    return;
  }
  Json::Value v;
  v["base"] = Json::UInt64(plan.base);
  v["changes"] = Json::arrayValue;
  for (const auto& line : plan.lines) {
    Json::Value l;
    l["sign"] = std::string(1, line.sign);
    l["key"] = line.key;
    l["detail"] = line.detail;
    v["changes"].append(l);
  }
  fmt::print("{}\n", json_text(v));
}

/** Reads the configuration from the platform, plans the changes of all account
 * files and prints them. */
result<change_plan> make_and_print_plan(const cli_options& options) {
  auto state = read_state(platform_hooks(options));
  if (!state)
    return boost::outcome_v2::failure(state.error());
  auto plan = plan_accounts(options, state.value());
  if (plan)
    print_plan(options, plan.value());
  return plan;
}

}  // namespace

operator_hooks platform_hooks(const cli_options& options) {
  operator_hooks hooks;
  const endpoint platform = options.platform;
  hooks.call = [platform](const platform_call& call) {
    return call_platform(platform, call);
  };
  hooks.sleep = [](time_us wait) {
    std::this_thread::sleep_for(std::chrono::microseconds(wait));
  };
  hooks.random = system_random();
  return hooks;
}

result<revision> commit_plan(const cli_options& options,
                             revision base,
                             std::vector<config_entry> entries) {
  const operator_hooks hooks = platform_hooks(options);
  auto committed = commit(hooks, base, options.author, std::move(entries));
  if (!committed)
    return committed;
  if (committed.value() % changes_per_snapshot == 0) {
    auto state = read_state(hooks);
    // The change is committed even if the snapshot fails; a later commit writes
    // the next one.
    auto written =
        state ? write_snapshot(hooks, state.value())
              : result<void>(boost::outcome_v2::failure(state.error()));
    if (!written)
      fmt::print(stderr,
                 "the change is committed, but no snapshot was written: {}\n",
                 to_text(written.error()));
  }
  if (options.wait) {
    auto waited = wait_in_force(options, committed.value());
    if (!waited)
      return boost::outcome_v2::failure(waited.error());
  }
  return committed;
}

result<void> run_plan(const cli_options& options) {
  auto plan = make_and_print_plan(options);
  if (!plan)
    return boost::outcome_v2::failure(plan.error());
  return boost::outcome_v2::success();
}

result<void> run_apply(const cli_options& options) {
  auto plan = make_and_print_plan(options);
  if (!plan)
    return boost::outcome_v2::failure(plan.error());
  if (plan.value().entries.empty())
    return boost::outcome_v2::success();
  auto committed =
      commit_plan(options, plan.value().base, plan.value().entries);
  if (!committed)
    return boost::outcome_v2::failure(committed.error());
  if (options.json)
    fmt::print("{{\"revision\":{}}}\n", committed.value());
  else
    fmt::print("committed as revision {}{}\n", committed.value(),
               options.wait ? ", in force on every balancer" : "");
  return boost::outcome_v2::success();
}

result<void> run_get(const cli_options& options) {
  auto state = read_state(platform_hooks(options));
  if (!state)
    return boost::outcome_v2::failure(state.error());
  const std::string prefix =
      options.arguments.empty() ? "" : options.arguments.front();
  Json::Value v;
  v["revision"] = Json::UInt64(state.value().current_revision());
  v["entries"] = Json::objectValue;
  for (const auto& [key, entry] : state.value().entries()) {
    if (key.rfind(prefix, 0) != 0 || entry.value.empty())
      continue;
    if (!options.json)
      fmt::print("{} (revision {}): {}\n", key, entry.changed_revision,
                 entry.value);
    Json::Value parsed;
    v["entries"][key] =
        json_parse(entry.value, &parsed) ? parsed : Json::Value(entry.value);
  }
  if (options.json)
    fmt::print("{}\n", json_text(v));
  else
    fmt::print("revision {}\n", state.value().current_revision());
  return boost::outcome_v2::success();
}

}  // namespace turmeric::cli
