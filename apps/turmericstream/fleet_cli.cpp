/** @file fleet_cli.cpp status, metrics and log-level: calls to balancers. */
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
constexpr time_us wait_limit = 30 * us_per_s;

void print_status(const Json::Value& v) {
  const int64_t age = v["ms_since_platform"].asInt64();
  std::string members;
  for (const auto& m : v["members"]) {
    members +=
        fmt::format(" {}({})", m["name"].asString(), m["state"].asString());
  }
  fmt::print(
      "{}: in force {}, known {}, platform {}{}, members{}\n",
      v["name"].asString(), v["in_force"].asUInt64(), v["known"].asUInt64(),
      age < 0 ? "never reached" : fmt::format("reached {} ms ago", age),
      v["blocked_by_format"].asBool() ? ", BLOCKED by a newer format" : "",
      members);
}

/** Calls @p method on all balancers and prints one JSON object each. */
result<void> call_all(const cli_options& options,
                      const std::string& method,
                      const Json::Value& arguments) {
  auto context = signing_context(options);
  if (!context)
    return boost::outcome_v2::failure(context.error());
  std::string silent;
  for (const auto& balancer : options.balancers) {
    auto answer = call_admin(balancer, context.value(), method, arguments);
    if (!answer) {
      silent +=
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
  if (!silent.empty())
    return fail(result_code::balancer_unreachable, "no answer from" + silent);
  return boost::outcome_v2::success();
}

}  // namespace

result<codec_context> signing_context(const cli_options& options) {
  if (options.key.empty())
    return fail(result_code::usage, "the cluster's key is missing (--key)");
  return make_codec_context(options.cluster, options.key);
}

result<void> wait_in_force(const cli_options& options, revision wanted) {
  auto context = signing_context(options);
  if (!context)
    return boost::outcome_v2::failure(context.error());
  const time_us end = steady_now() + wait_limit;
  std::string behind;
  while (steady_now() < end) {
    behind.clear();
    for (const auto& balancer : options.balancers) {
      auto status = call_admin(balancer, context.value(), "status");
      const bool there =
          status && status.value()["in_force"].asUInt64() >= wanted;
      if (!there)
        behind += " " + to_text(balancer);
    }
    if (behind.empty())
      return boost::outcome_v2::success();
    std::this_thread::sleep_for(poll_interval);
  }
  return fail(result_code::balancer_unreachable,
              fmt::format("revision {} is accepted, but not in force on{}",
                          wanted, behind));
}

result<void> run_status(const cli_options& options) {
  return call_all(options, "status", Json::objectValue);
}

result<void> run_metrics(const cli_options& options) {
  return call_all(options, "metrics", Json::objectValue);
}

result<void> run_log_level(const cli_options& options) {
  if (options.arguments.size() != 2)
    return fail(result_code::usage, "expected a category and a level");
  Json::Value arguments;
  arguments["category"] = options.arguments[0];
  arguments["level"] = options.arguments[1];
  return call_all(options, "set_log_level", arguments);
}

}  // namespace turmeric::cli
