/** @file bench_state.cpp Cost of configuration and flow state.
 *
 * Endpoints: memory of the configuration and its index, time to build the
 * index whole and to follow one change, time to choose homes. Flows: memory of
 * a remembered flow and time of a steering decision against a bare look-up.
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

constexpr int per_service = 9;
constexpr int zones = 12;
constexpr int zone_members = 617;
constexpr size_t decisions = 2000000;
constexpr double min_decisions_per_s = 5e6;
constexpr double max_flow_bytes = 64;

double ms_of(double seconds) {
  return seconds * 1000;
}

void endpoints_row(int endpoints, double* memory_mb, double* build_ms) {
  const double before = allocated_bytes();
  config_state state = make_state(endpoints, per_service, zones);
  index_builder builder;
  double started = thread_seconds();
  auto index = builder.build(state);
  *build_ms = ms_of(thread_seconds() - started);
  *memory_mb = (allocated_bytes() - before) / 1e6;
  config_change c;
  c.number = 2;
  service_config s = make_service(3, per_service, zones);
  s.slots = 5;
  c.entries.push_back(
      {make_key(key_kind::service, full_name(s)), to_json(s), 0});
  started = thread_seconds();
  state.apply(c);
  const auto next = builder.build(state);
  const double change_ms = ms_of(thread_seconds() - started);
  const auto table = make_table(next, zone_members, 0);
  started = thread_seconds();
  bool all_valid = true;
  for (const auto& [id, place] : next->targets) {
    if (place.target->zone == table->self.zone)
      all_valid = all_valid && table->home_of(*place.target).valid();
  }
  const double homes_ms = ms_of(thread_seconds() - started);
  if (!all_valid)
    fmt::print("a target without a home\n");
  size_t snapshot = 0;
  for (const auto& part : snapshot_parts(state, 512 * 1024))
    snapshot += part.size();
  fmt::print("{:>10}{:>10.1f}{:>12.1f}{:>12.2f}{:>12.1f}{:>14.2f}\n", endpoints,
             *memory_mb, *build_ms, change_ms, homes_ms,
             static_cast<double>(snapshot) / 1e6);
}

datagram packet_of(service_id service, uint64_t flow) {
  datagram m;
  m.service = service;
  m.flow = flow_id{flow};
  return m;
}

/** Bytes of a flow that one balancer remembers while its bucket moves. */
double bytes_per_flow(size_t flows) {
  config_state state = make_state(per_service, per_service, 1);
  index_builder builder;
  const auto before = make_table(builder.build(state), 1, 0);
  const auto& service = *before->index->services.begin()->second;
  config_change drain;
  drain.number = 2;
  const std::string key =
      make_key(key_kind::target_drain, service.targets.front().name);
  drain.entries.push_back({key, "1", 0});
  state.apply(drain);
  const auto after = make_table(builder.build(state), 1, 0);
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
    datagram m = packet_of(service.id, random());
    m.opens = true;
    steering.steer(now, std::move(m), &metrics, &out);
    out.clear();
    if (now % 1000 == 0)
      steering.tick(now, &out);
  }
  steering.tick(us_per_s, &out);
  out = {};
  return (allocated_bytes() - bytes_before) / static_cast<double>(flows);
}

/** Decisions a second on settled buckets, and bare look-ups beside them. */
void decision_rates(double* ours, double* bare) {
  const config_state state = make_state(1000, per_service, 1);
  index_builder builder;
  const auto table = make_table(builder.build(state), 6, 0);
  std::vector<service_id> services;
  for (const auto& [id, service] : table->index->services)
    services.push_back(id);
  flow_options options;
  options.flow_timeout = 1;
  options.no_peer_timeout = 0;
  flow_steering steering(options, table->self, {});
  steering.update_routes(0, table);
  moving_buckets_reply none;
  none.in_force = table->index->in_force;
  steering.on(1, none);
  std::mt19937_64 random(1);
  std::vector<uint64_t> flows(1 << 16);
  for (auto& flow : flows)
    flow = random();
  uint64_t sum = 0;
  const auto now = std::chrono::steady_clock::now;
  auto started = now();
  for (size_t i = 0; i < decisions; ++i) {
    const uint64_t flow = flows[i & (flows.size() - 1)];
    const indexed_target* place =
        steering.settled_target(services[i % services.size()], flow_id{flow});
    sum += place->target->address.port;
  }
  *ours = static_cast<double>(decisions) /
          std::chrono::duration<double>(now() - started).count();
  std::unordered_map<uint64_t, uint64_t> map;
  for (const uint64_t flow : flows)
    map[flow] = flow >> 1;
  started = now();
  for (size_t i = 0; i < decisions; ++i)
    sum += map.find(flows[i & (flows.size() - 1)])->second;
  *bare = static_cast<double>(decisions) /
          std::chrono::duration<double>(now() - started).count();
  if (sum == 42)
    fmt::print(" ");
}

int run() {
  constexpr int sizes[] = {1000, 10000, 44000};
  double x[3], memory[3], build[3];
  fmt::print("{:>10}{:>10}{:>12}{:>12}{:>12}{:>14}\n", "endpoints", "MB",
             "build ms", "change ms", "homes ms", "snapshot MB");
  for (size_t i = 0; i < 3; ++i) {
    x[i] = sizes[i];
    endpoints_row(sizes[i], &memory[i], &build[i]);
  }
  const line_fit memory_fit = fit(x, memory, 3);
  const line_fit build_fit = fit(x, build, 3);
  fmt::print(
      "per 1,000 endpoints: {:.2f} MB, build {:.2f} ms (worst error of "
      "the lines: {:.0f} %, {:.0f} %)\n",
      memory_fit.slope * 1000, build_fit.slope * 1000,
      memory_fit.worst_error * 100, build_fit.worst_error * 100);
  double worst_bytes = 0;
  for (const size_t flows : {30000, 100000, 300000}) {
    const double bytes = bytes_per_flow(flows);
    worst_bytes = std::max(worst_bytes, bytes);
    fmt::print("{:>10} remembered flows: {:.1f} bytes each\n", flows, bytes);
  }
  double ours = 0, bare = 0;
  decision_rates(&ours, &bare);
  fmt::print(
      "decisions on settled buckets: {:.1f} M/s, bare hash look-up: "
      "{:.1f} M/s\n",
      ours / 1e6, bare / 1e6);
  fmt::print(
      "{{\"bench\":\"state\",\"memory_mb_44000\":{:.1f},"
      "\"build_ms_44000\":{:.1f},\"bytes_per_flow_of_limit\":{:.2f},"
      "\"decisions_of_target\":{:.2f},\"decisions_of_bare\":{:.2f}}}\n",
      memory[2], build[2], worst_bytes / max_flow_bytes,
      ours / min_decisions_per_s, ours / bare);
  return 0;
}

}  // namespace
}  // namespace turmeric::bench

int main() {
  return turmeric::bench::run();
}
