/** @file emu_rules.cpp Checkers of the invariants. */
#include <algorithm>

#include "emu_world.h"

namespace turmeric::tests {
namespace {

/** Limit of recorded violations; one fails the run. */
constexpr size_t max_violations = 20;
/** Consecutive segments of an open flow at other targets that are a
 * violation. */
constexpr int astray_limit = 3;
/** Time after the last disruption from which service is checked. */
constexpr time_us settle_time = 5 * us_per_s;
/** Share of the requests of undisturbed seconds that must be in time; random
 * queueing delays a few. */
constexpr double service_share = 0.97;

}  // namespace

void emu_world::record_violation(emu_invariant rule, const std::string& what) {
  if (report_.violations.size() < max_violations)
    report_.violations.push_back({rule, clock_.now(), what});
}

bool emu_world::must_be_current(const balancer& b) const {
  const time_us now = clock_.now();
  const bool connected =
      !b.isolated && !b.refused_by_store && !zone_disturbed(b.zone);
  return b.running && !b.frozen && b.slowdowns == 0 && connected &&
         now - b.disturbed_at >= emu_grace_period && !store_down_ &&
         !store_silent_ && now - store_disturbed_at_ >= emu_grace_period;
}

bool emu_world::undisturbed(const target& t) const {
  return t.alive && !zone_disturbed(t.zone) &&
         clock_.now() - t.disturbed_at >= emu_grace_period;
}

void emu_world::check_opening(const balancer& from,
                              target* t,
                              uint64_t flow_number,
                              const segment& s) {
  const time_us now = clock_.now();
  if (t->flows.count(flow_number) == 0)
    log_followed(*t, "opening from " + from.name);
  const auto route = std::find_if(
      routing_.routes.begin(), routing_.routes.end(),
      [&](const route_entry& r) { return r.address == s.destination; });
  if (route != routing_.routes.end() &&
      route->services.front().service != t->service)
    record_violation(emu_invariant::service_isolation,
                     t->name + " serves " + t->service);
  if (must_be_current(from) && t->closed_at != INT64_MAX &&
      now - t->closed_at > emu_drain_bound)
    record_violation(emu_invariant::draining,
                     from.name + " opened a flow at " + t->name);
  const auto withdrawn =
      withdrawn_since_.find("zone-" + std::to_string(t->zone));
  if (must_be_current(from) && withdrawn != withdrawn_since_.end() &&
      now - withdrawn->second > emu_withdraw_bound)
    record_violation(emu_invariant::withdrawal,
                     from.name + " opened a flow at " + t->name);
  check_configuration(from);
  if (now >= t->cold_until || t->flows.count(flow_number) != 0)
    return;
  t->cold_openings.push_back(now);
  while (now - t->cold_openings.front() >= us_per_s)
    t->cold_openings.pop_front();
  if (static_cast<double>(t->cold_openings.size()) >
      options_.shape.max_cold_openings_per_s)
    record_violation(emu_invariant::cold_start, t->name);
}

void emu_world::check_misrouted(const target& t, flow* f) {
  if (f->open_target == nullptr || f->ended || !f->open_target->alive ||
      f->open_target->name != f->open_target_name)
    return;
  if (f->open_target == &t) {
    f->misrouted_segments = 0;
    return;
  }
  if (!undisturbed(*f->open_target))
    return;
  if (++f->misrouted_segments >= astray_limit)
    record_violation(
        emu_invariant::open_flow,
        "segments of a flow at " + f->open_target_name + " went to " + t.name);
}

void emu_world::check_configuration(const balancer& b) {
  if (!must_be_current(b))
    return;
  for (const auto& [version, since] : routing_versions_) {
    if (b.routing_version < version &&
        clock_.now() - since > emu_config_bound) {
      record_violation(emu_invariant::configuration,
                       b.name + " uses version " +
                           std::to_string(b.routing_version) + " long after " +
                           std::to_string(version));
      return;
    }
  }
}

void emu_world::measure_imbalance() {
  const auto targets = static_cast<double>(options_.shape.services[0].targets);
  double sum = 0;
  for (const auto& [second, counts] : openings_by_second_) {
    uint64_t total = 0;
    uint64_t most = 0;
    for (const auto& [name, count] : counts) {
      total += count;
      most = std::max(most, count);
    }
    sum += static_cast<double>(most) * targets / static_cast<double>(total);
  }
  if (!openings_by_second_.empty())
    report_.imbalance = sum / static_cast<double>(openings_by_second_.size());
}

void emu_world::check_service() {
  uint64_t requests = 0;
  uint64_t served = 0;
  const auto first = static_cast<size_t>(
      (last_event_end_ + settle_time - first_request_at_) / us_per_s + 1);
  // The last seconds contain requests that are still in flight.
  for (size_t i = first; i + 4 < report_.by_second.size(); ++i) {
    requests += report_.by_second[i].first;
    served += report_.by_second[i].second;
  }
  if (requests != 0 && static_cast<double>(served) <
                           service_share * static_cast<double>(requests))
    record_violation(emu_invariant::service, std::to_string(served) + " of " +
                                                 std::to_string(requests) +
                                                 " in time");
}

}  // namespace turmeric::tests
