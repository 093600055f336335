/** @file fleet_cli.cpp The subcommands status, metrics and log-level, which
 * call the admin servers of all balancers. */
#include <fmt/format.h>
#include <json/json.h>

#include <chrono>
#include <thread>

#include "cli_base.h"
#include "turmeric/state/json_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/admin_base.h"
#include "turmeric/transport/clock_func.h"

namespace turmeric::cli {
namespace {

constexpr auto poll_interval = std::chrono::milliseconds(100);
/** Longest wait until all balancers have a committed change in force. */
constexpr time_us in_force_timeout = 30 * us_per_s;

void print_status(const Json::Value& v) {
  const int64_t age = v["ms_since_platform"].asInt64();
  std::string members;
  for (const auto& m : v["members"]) {
    members +=
        fmt::format(" {}({})", m["name"].asString(), m["state"].asString());
  }
  fmt::print(
      "{}: in force {}, held {}, platform {}{}, members{}\n",
      v["name"].asString(), v["in_force"].asUInt64(), v["known"].asUInt64(),
      age < 0 ? "has not replied" : fmt::format("replied {} ms ago", age),
      v["blocked_by_format"].asBool() ? ", BLOCKED by a newer format" : "",
      members);
}

/** Calls @p method on all balancers and prints each reply, as a JSON object or,
 * for `status` without --json, as one line.
 * @return After all calls, `balancer_unreachable` with the balancers that did
 * not answer. */
result<void> call_all_balancers(const cli_options& options,
                                const std::string& method,
                                const Json::Value& arguments) {
  auto context = signing_context(options);
  if (!context)
    return boost::outcome_v2::failure(context.error());
  std::string unreachable;
  for (const auto& balancer : options.balancers) {
    auto answer = call_admin(balancer, context.value(), method, arguments);
    if (!answer) {
      unreachable +=
          fmt::format(" {} ({})", to_text(balancer), answer.error().message);
      continue;
    }
    if (method == "status" && !options.json) {
      print_status(answer.value());
      continue;
    }
    Json::Value v = answer.value();
    v["balancer"] = to_text(balancer);
    fmt::print("{}\n", json_text(v));
  }
  if (!unreachable.empty())
    return fail(result_code::balancer_unreachable,
                "no answer from balancers:" + unreachable);
  return boost::outcome_v2::success();
}

}  // namespace

result<codec_context> signing_context(const cli_options& options) {
  if (options.key.empty())
    return fail(result_code::usage,
                "the shared key of the cluster is missing (--key)");
  return make_codec_context(options.cluster, options.key);
}

result<void> wait_in_force(const cli_options& options, revision required) {
  auto context = signing_context(options);
  if (!context)
    return boost::outcome_v2::failure(context.error());
  const time_us deadline = steady_now() + in_force_timeout;
  std::string pending;
  while (steady_now() < deadline) {
    pending.clear();
    for (const auto& balancer : options.balancers) {
      auto status = call_admin(balancer, context.value(), "status");
      const bool in_force =
          status && status.value()["in_force"].asUInt64() >= required;
      if (!in_force)
        pending += " " + to_text(balancer);
    }
    if (pending.empty())
      return boost::outcome_v2::success();
    std::this_thread::sleep_for(poll_interval);
  }
  return fail(
      result_code::balancer_unreachable,
      fmt::format(
          "revision {} is committed, but not yet in force on balancers:{}",
          required, pending));
}

result<void> run_status(const cli_options& options) {
  return call_all_balancers(options, "status", Json::objectValue);
}

result<void> run_metrics(const cli_options& options) {
  return call_all_balancers(options, "metrics", Json::objectValue);
}

result<void> run_log_level(const cli_options& options) {
  if (options.arguments.size() != 2)
    return fail(result_code::usage, "expected: log-level CATEGORY|all LEVEL");
  Json::Value arguments;
  arguments["category"] = options.arguments[0];
  arguments["level"] = options.arguments[1];
  return call_all_balancers(options, "set_log_level", arguments);
}

}  // namespace turmeric::cli
