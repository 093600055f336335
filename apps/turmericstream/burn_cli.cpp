/** @file burn_cli.cpp The subcommand `report burn`: burn rates and error
 * budgets from the counts of all balancers. */
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

service_counts counts_from_json(const Json::Value& v) {
  service_counts s;
  s.answered = v["answered"].asUInt64();
  s.refused = v["refused"].asUInt64();
  s.unknown = v["unknown"].asUInt64();
  s.interactive = v["interactive"].asUInt64();
  s.in_time = v["in_time"].asUInt64();
  s.broken_flows = v["broken_flows"].asUInt64();
  return s;
}

/** Sums the counts of the balancers that answered. */
class burn_collector {
 public:
  /** @param v A balancer's reply to `metrics`. */
  void add_balancer(const Json::Value& v) {
    for (const auto& service : v["services"])
      services_by_id_[service["id"].asUInt64()] = service;
    for (const auto& s : v["fine"])
      add(&inputs_by_service_and_zone_[key_of(s)].fine[s["age"].asInt64()],
          counts_from_json(s));
    for (const auto& s : v["coarse"])
      add(&inputs_by_service_and_zone_[key_of(s)].coarse[s["age"].asInt64()],
          counts_from_json(s));
    for (const auto& t : v["starts"])
      starts_by_target_[t["target"].asUInt64()] += t["count"].asUInt64();
  }

  /** @return A row for each service and availability zone with targets. */
  std::vector<burn_row> rows() {
    std::vector<burn_row> out;
    for (const auto& [id, service] : services_by_id_) {
      std::map<uint64_t, std::string> zones;
      std::vector<uint64_t> loads;
      for (const auto& t : service["targets"]) {
        const std::string zone_suffix = t["zone_out"].asBool() ? " (out)" : "";
        zones[t["zone_id"].asUInt64()] = t["zone"].asString() + zone_suffix;
        loads.push_back(starts_by_target_[t["id"].asUInt64()]);
      }
      for (const auto& [zone, zone_name] : zones) {
        burn_input input = inputs_by_service_and_zone_[{id, zone}];
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
  using service_and_zone = std::pair<uint64_t, uint64_t>;

  static service_and_zone key_of(const Json::Value& s) {
    return {s["service"].asUInt64(), s["zone"].asUInt64()};
  }

  std::map<uint64_t, Json::Value> services_by_id_;
  std::map<service_and_zone, burn_input> inputs_by_service_and_zone_;
  std::map<uint64_t, uint64_t> starts_by_target_;
};

}  // namespace

result<void> run_report(const cli_options& options) {
  if (options.arguments.size() != 1 || options.arguments[0] != "burn")
    return fail(result_code::usage, "expected: report burn");
  auto context = signing_context(options);
  if (!context)
    return boost::outcome_v2::failure(context.error());
  burn_collector collected;
  burn_report report;
  for (const auto& balancer : options.balancers) {
    auto response = call_admin(balancer, context.value(), "metrics");
    if (!response) {
      report.unreachable.push_back(to_text(balancer));
      continue;
    }
    const int64_t uptime = response.value()["uptime_s"].asInt64();
    if (uptime < length_of(burn_window::days_3) / us_per_s)
      ++report.recently_started;
    collected.add_balancer(response.value());
  }
  report.balancers_asked = options.balancers.size();
  report.rows = collected.rows();
  if (options.json)
    fmt::print("{}\n", json_text(report_to_json(report)));
  else
    fmt::print("{}", report_to_text(report));
  if (!options.output.empty()) {
    std::ofstream file(options.output);
    file << report_to_html(report);
    if (!file)
      return fail(result_code::file_unreadable, "the report cannot be written",
                  options.output);
  }
  return boost::outcome_v2::success();
}

}  // namespace turmeric::cli
