/** @file bench_state.cpp Cost of configuration and flow state.
 *
 * Endpoints: memory of the configuration and its index, time to build the
 * whole index and to apply one change, and time to select the home balancers
 * of the targets. Flows: memory per tracked flow, and the rate of steering
 * decisions compared with bare hash look-ups.
 */
#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <random>
#include <unordered_map>

#include "bench_common.h"
#include "turmeric/coordination/flow_steering_base.h"
#include "turmeric/state/change_func.h"
#include "turmeric/state/config_key_func.h"

namespace turmeric::bench {
namespace {

constexpr int targets_per_service = 9;
constexpr int zone_count = 12;
constexpr int members_per_zone = 617;
constexpr size_t lookup_count = 2000000;
/** Limits: least decisions a second, and most bytes per tracked flow. */
constexpr double min_decisions_per_s = 5e6;
constexpr double max_flow_bytes = 64;

double to_ms(double seconds) {
  return seconds * 1000;
}

void measure_endpoints(int endpoint_count,
                       double* memory_mb,
                       double* build_ms) {
  const double before = allocated_bytes();
  config_state state =
      make_config_state(endpoint_count, targets_per_service, zone_count);
  index_builder builder;
  double started = thread_cpu_seconds();
  auto index = builder.build(state);
  *build_ms = to_ms(thread_cpu_seconds() - started);
  *memory_mb = (allocated_bytes() - before) / 1e6;
  config_change change;
  change.number = 2;
  service_config changed_service =
      make_service(3, targets_per_service, zone_count);
  changed_service.slots = 5;
  change.entries.push_back(
      {make_key(key_kind::service, full_name(changed_service)),
       to_json(changed_service), 0});
  started = thread_cpu_seconds();
  state.apply(change);
  const auto changed_index = builder.build(state);
  const double change_ms = to_ms(thread_cpu_seconds() - started);
  const auto table = make_route_table(changed_index, members_per_zone, 0);
  started = thread_cpu_seconds();
  bool all_have_homes = true;
  for (const auto& [id, indexed_target] : changed_index->targets) {
    if (indexed_target.target->zone == table->self.zone)
      all_have_homes =
          all_have_homes && table->home_of(*indexed_target.target).valid();
  }
  const double homes_ms = to_ms(thread_cpu_seconds() - started);
  if (!all_have_homes)
    fmt::print("a target of zone0 has no home balancer\n");
  size_t snapshot_bytes = 0;
  for (const auto& part : snapshot_parts(state, 512 * 1024))
    snapshot_bytes += part.size();
  fmt::print("{:>10}{:>10.1f}{:>12.1f}{:>12.2f}{:>12.1f}{:>14.2f}\n",
             endpoint_count, *memory_mb, *build_ms, change_ms, homes_ms,
             static_cast<double>(snapshot_bytes) / 1e6);
}

datagram make_datagram(service_id service, uint64_t flow) {
  datagram message;
  message.service = service;
  message.flow = flow_id{flow};
  return message;
}

/** @return Bytes that a balancer holds per tracked flow, as it does while the
 * bucket of the flow moves. */
double bytes_per_flow(size_t flows) {
  config_state state =
      make_config_state(targets_per_service, targets_per_service, 1);
  index_builder builder;
  const auto before = make_route_table(builder.build(state), 1, 0);
  const auto& service = *before->index->services.begin()->second;
  config_change drain_change;
  drain_change.number = 2;
  const std::string key =
      make_key(key_kind::target_drain, service.targets.front().name);
  drain_change.entries.push_back({key, "1", 0});
  state.apply(drain_change);
  const auto after = make_route_table(builder.build(state), 1, 0);
  flow_options options;
  options.no_peer_timeout = 0;
  flow_steering steering(options, before->self, {});
  traffic_metrics metrics;
  std::vector<traffic_action> out;
  steering.update_routes(0, before);
  steering.tick(1, &out);
  steering.update_routes(2, after);
  std::mt19937_64 random(1);
  const double bytes_before = allocated_bytes();
  for (time_us now = 3; steering.tracked_flows() < flows; ++now) {
    datagram message = make_datagram(service.id, random());
    message.opens = true;
    steering.steer(now, std::move(message), &metrics, &out);
    out.clear();
    if (now % 1000 == 0)
      steering.tick(now, &out);
  }
  steering.tick(us_per_s, &out);
  out = {};
  return (allocated_bytes() - bytes_before) / static_cast<double>(flows);
}

/** Measures steering decisions a second on buckets that do not move, and bare
 * hash look-ups a second. */
void decision_rates(double* decisions_per_s, double* bare_lookups_per_s) {
  const config_state state = make_config_state(1000, targets_per_service, 1);
  index_builder builder;
  const auto table = make_route_table(builder.build(state), 6, 0);
  std::vector<service_id> services;
  for (const auto& [id, service] : table->index->services)
    services.push_back(id);
  flow_options options;
  options.flow_timeout = 1;
  options.no_peer_timeout = 0;
  flow_steering steering(options, table->self, {});
  steering.update_routes(0, table);
  moving_buckets_reply no_moving_buckets;
  no_moving_buckets.in_force = table->index->in_force;
  steering.on(1, no_moving_buckets);
  std::mt19937_64 random(1);
  std::vector<uint64_t> flows(1 << 16);
  for (auto& flow : flows)
    flow = random();
  uint64_t checksum = 0;
  const auto now = std::chrono::steady_clock::now;
  auto started = now();
  for (size_t i = 0; i < lookup_count; ++i) {
    const uint64_t flow = flows[i & (flows.size() - 1)];
    const indexed_target* indexed_target =
        steering.settled_target(services[i % services.size()], flow_id{flow});
    checksum += indexed_target->target->address.port;
  }
  *decisions_per_s = static_cast<double>(lookup_count) /
                     std::chrono::duration<double>(now() - started).count();
  std::unordered_map<uint64_t, uint64_t> bare_table;
  for (const uint64_t flow : flows)
    bare_table[flow] = flow >> 1;
  started = now();
  for (size_t i = 0; i < lookup_count; ++i)
    checksum += bare_table.find(flows[i & (flows.size() - 1)])->second;
  *bare_lookups_per_s = static_cast<double>(lookup_count) /
                        std::chrono::duration<double>(now() - started).count();
  // Uses the sum, so that the compiler cannot remove the loops.
  if (checksum == 42)
    fmt::print(" ");
}

int run() {
  constexpr int endpoint_counts[] = {1000, 10000, 44000};
  double counts[3], memory_sizes_mb[3], build_times_ms[3];
  fmt::print("{:>10}{:>10}{:>12}{:>12}{:>12}{:>14}\n", "endpoints", "MB",
             "build ms", "change ms", "homes ms", "snapshot MB");
  for (size_t i = 0; i < 3; ++i) {
    counts[i] = endpoint_counts[i];
    measure_endpoints(endpoint_counts[i], &memory_sizes_mb[i],
                      &build_times_ms[i]);
  }
  const line_fit memory_fit = fit_line(counts, memory_sizes_mb, 3);
  const line_fit build_fit = fit_line(counts, build_times_ms, 3);
  fmt::print(
      "per 1,000 endpoints: {:.2f} MB, build {:.2f} ms (largest error "
      "of the fitted lines: {:.0f} %, {:.0f} %)\n",
      memory_fit.slope * 1000, build_fit.slope * 1000,
      memory_fit.max_relative_error * 100, build_fit.max_relative_error * 100);
  double max_bytes = 0;
  for (const size_t flows : {30000, 100000, 300000}) {
    const double bytes = bytes_per_flow(flows);
    max_bytes = std::max(max_bytes, bytes);
    fmt::print("{:>10} tracked flows: {:.1f} bytes each\n", flows, bytes);
  }
  double decisions_per_s = 0, bare_lookups_per_s = 0;
  decision_rates(&decisions_per_s, &bare_lookups_per_s);
  fmt::print(
      "decisions on buckets that do not move: {:.1f} M/s, bare hash look-up: "
      "{:.1f} M/s\n",
      decisions_per_s / 1e6, bare_lookups_per_s / 1e6);
  fmt::print(
      "{{\"bench\":\"state\",\"memory_mb_44000\":{:.1f},"
      "\"build_ms_44000\":{:.1f},\"bytes_per_flow_of_limit\":{:.2f},"
      "\"decisions_of_target\":{:.2f},\"decisions_of_bare\":{:.2f}}}\n",
      memory_sizes_mb[2], build_times_ms[2], max_bytes / max_flow_bytes,
      decisions_per_s / min_decisions_per_s,
      decisions_per_s / bare_lookups_per_s);
  return 0;
}

}  // namespace
}  // namespace turmeric::bench

int main() {
  return turmeric::bench::run();
}
