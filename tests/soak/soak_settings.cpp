/** @file soak_settings.cpp Settings, routing configuration and load. */
#include "soak_settings.h"

#include <fmt/format.h>

#include "turmeric/state/service_type.h"

namespace turmeric::tests {
namespace {

constexpr uint32_t first_balancer_ip = 0x7f0a0001;  // 127.10.0.1

/** @return Calm load that keeps a third of the slots busy, and load phases that
 * ask for three times the slots. One thread plays all targets and callers, so
 * that work takes longer in a large fleet. */
soak_load overload_of(const soak_options& options) {
  const time_us service_time =
      options.large() ? 80 * us_per_ms : 20 * us_per_ms;
  constexpr int64_t slots_per_target = 2;
  constexpr size_t target_queue = 6;
  const size_t long_flows_per_target = options.large() ? 2 : 4;
  const time_us capacity_interval =
      service_time / slots_per_target / static_cast<int64_t>(options.targets());
  soak_load load{
      5 * capacity_interval, long_flows_per_target * options.targets(),
      service_time,          options.plant,
      capacity_interval / 3, target_queue};
  // Beside the short flows there are long ones, spread unevenly, with pauses.
  load.target_flows =
      slots_per_target + target_queue + 2 * long_flows_per_target;
  return load;
}

}  // namespace

soak_load load_of(const soak_options& options) {
  constexpr time_us default_open_interval = 5 * us_per_ms;
  constexpr size_t default_long_flows = 24;
  if (options.overload)
    return overload_of(options);
  if (!options.large())
    return {default_open_interval, default_long_flows, 0, options.plant};
  // The two slots of a target are busy for three quarters of the time, half of
  // it for short flows, so that some requests wait.
  constexpr int64_t openings_per_target = 12;
  constexpr size_t long_flows_per_target = 5;
  const auto targets = static_cast<int64_t>(options.targets());
  return {us_per_s / (openings_per_target * targets),
          long_flows_per_target * options.targets(), 80 * us_per_ms,
          options.plant};
}

endpoint balancer_address(size_t i, uint16_t port) {
  return {first_balancer_ip + static_cast<uint32_t>(i), port};
}

std::string routing_text(int version, bool overload, size_t idle_routes) {
  constexpr size_t first_idle_port = 2000;
  std::string further_routes =
      overload ? R"(,{"name":"r2","host":"198.18.0.1","path_prefix":"/444/",)"
                 R"("route_type":"safe","service":"notes","priority":1})"
               : "";
  // The one that is left out changes with the version.
  for (size_t i = 0; i < idle_routes; ++i) {
    if (i == static_cast<size_t>(version) % idle_routes)
      continue;
    further_routes += fmt::format(
        R"(,{{"name":"idle-{}","host":"198.18.0.1","path_prefix":"/{}/",)"
        R"("route_type":"safe","service":"notes"}})",
        i, first_idle_port + i);
  }
  return fmt::format(
      R"({{"version":{},"routes":[{{"name":"r","host":"198.18.0.1",)"
      R"("path_prefix":"/443/","route_type":"safe","service":"notes"}}{}],)"
      R"("services":[{{"name":"notes","max_conns":2000}}],)"
      R"("limits":{{"idle_timeout_ms":15000}}}})",
      version, further_routes);
}

std::string target_text(endpoint address, size_t i, bool draining) {
  return fmt::format(
      R"({{"service":"notes","address":"{}","zone":"zone-{}","slots":2,)"
      R"("state":"{}","cold_left_ms":0,"seq":1}})",
      to_text(address), i % 2, draining ? "draining" : "ready");
}

std::string settings_text(size_t i,
                          uint16_t port_offset,
                          uint16_t registry_port,
                          time_us stop_grace,
                          bool overload) {
  const auto address = [port_offset](size_t balancer, uint16_t first_port) {
    return to_text(balancer_address(
        balancer, static_cast<uint16_t>(first_port + port_offset)));
  };
  return fmt::format(
      "[instance]\nmode = forwarding\nname = b{}\nzone = zone-{}\n"
      "cluster = soak\nkey = {:064x}\n[forwarding]\npackets = {}\n"
      "ready = {}\npeers = {}\nseeds = {}\nregistry = 127.0.0.1:{}\n"
      "metrics = {}\ngrace = {}\n{}",
      i, i % 2, 42, address(i, first_packet_port), address(i, first_ready_port),
      address(i, first_peer_port), address(0, first_peer_port), registry_port,
      address(i, first_metrics_port), stop_grace / us_per_s,
      overload ? "[overload]\nfull_targets = true\ntarget_weights = true\n"
                 "admission = true\nmax_wait = 50\ncaller_shares = true\n"
               : "");
}

}  // namespace turmeric::tests
