/** @file burn_cli.cpp report burn: error budgets from all balancers. */
#include <fmt/format.h>
#include <json/json.h>

#include <fstream>
#include <map>

#include "burn_page.h"
#include "cli_base.h"
#include "turmeric/state/json_func.h"
#include "turmeric/transport/admin_base.h"

namespace turmeric::cli {
namespace {

service_counts slice_from_json(const Json::Value& v) {
  service_counts s;
  s.answered = v["answered"].asUInt64();
  s.refused = v["refused"].asUInt64();
  s.unknown = v["unknown"].asUInt64();
  s.interactive = v["interactive"].asUInt64();
  s.in_time = v["in_time"].asUInt64();
  s.broken_flows = v["broken_flows"].asUInt64();
  return s;
}

/** Everything merged over the balancers that answered. */
class collector {
 public:
  void add_balancer(const Json::Value& v) {
    for (const auto& service : v["services"])
      services_[service["id"].asUInt64()] = service;
    for (const auto& s : v["fine"])
      add(&inputs_[key_of(s)].fine[s["age"].asInt64()], slice_from_json(s));
    for (const auto& s : v["coarse"])
      add(&inputs_[key_of(s)].coarse[s["age"].asInt64()], slice_from_json(s));
    for (const auto& t : v["starts"])
      starts_[t["target"].asUInt64()] += t["count"].asUInt64();
  }

  std::vector<burn_row> rows() {
    std::vector<burn_row> out;
    for (const auto& [id, service] : services_) {
      std::map<uint64_t, std::string> zones;
      std::vector<uint64_t> loads;
      for (const auto& t : service["targets"]) {
        const std::string note = t["zone_out"].asBool() ? " (out)" : "";
        zones[t["zone_id"].asUInt64()] = t["zone"].asString() + note;
        loads.push_back(starts_[t["id"].asUInt64()]);
      }
      for (const auto& [zone, zone_name] : zones) {
        burn_input input = inputs_[{id, zone}];
        input.objective.availability = service["availability"].asDouble();
        input.objective.latency_ms = service["latency_ms"].asUInt();
        input.objective.latency_share = service["latency_share"].asDouble();
        burn_row row;
        row.account = service["account"].asString();
        row.service = service["name"].asString();
        row.zone = zone_name;
        row.burn = burn_of(input);
        row.imbalance = imbalance_of(loads);
        out.push_back(std::move(row));
      }
    }
    return out;
  }

 private:
  using input_key = std::pair<uint64_t, uint64_t>;  // service and zone

  static input_key key_of(const Json::Value& s) {
    return {s["service"].asUInt64(), s["zone"].asUInt64()};
  }

  std::map<uint64_t, Json::Value> services_;
  std::map<input_key, burn_input> inputs_;
  std::map<uint64_t, uint64_t> starts_;
};

}  // namespace

result<void> run_report(const cli_options& options) {
  if (options.arguments.size() != 1 || options.arguments[0] != "burn")
    return fail(result_code::usage, "expected: report burn");
  auto context = signing_context(options);
  if (!context)
    return boost::outcome_v2::failure(context.error());
  collector all;
  burn_report report;
  for (const auto& balancer : options.balancers) {
    auto answer = call_admin(balancer, context.value(), "metrics");
    if (!answer) {
      report.missing.push_back(to_text(balancer));
      continue;
    }
    const int64_t uptime = answer.value()["uptime_s"].asInt64();
    if (uptime < length_of(burn_window::days_3) / us_per_s)
      ++report.young;
    all.add_balancer(answer.value());
  }
  report.asked = options.balancers.size();
  report.rows = all.rows();
  if (options.json)
    fmt::print("{}\n", json_text(report_to_json(report)));
  else
    fmt::print("{}", report_to_text(report));
  if (!options.output.empty()) {
    std::ofstream file(options.output);
    file << report_to_html(report);
    if (!file)
      return fail(result_code::file_unreadable, "cannot be written",
                  options.output);
  }
  return boost::outcome_v2::success();
}

}  // namespace turmeric::cli
