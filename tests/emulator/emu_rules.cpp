/** @file emu_rules.cpp Checkers of the promises. */
#include <algorithm>

#include "emu_world.h"

namespace turmeric::tests {
namespace {

/** Violations kept of a run; one is enough to fail it. */
constexpr size_t max_violations = 20;
/** Segments of an open flow at other targets, none at its own, that count. */
constexpr int astray_limit = 3;
/** Quiet time after the last trouble from which on service must be whole. */
constexpr time_us settle_time = 5 * us_per_s;
/** Share of the requests of undisturbed seconds that must be in time; random
 * queueing delays a few. */
constexpr double service_share = 0.97;

}  // namespace

void emu_world::violate(emu_rule rule, const std::string& what) {
  if (report_.violations.size() < max_violations)
    report_.violations.push_back({rule, clock_.now(), what});
}

bool emu_world::in_touch(const balancer& b) const {
  const time_us now = clock_.now();
  const bool connected = !b.cut && !b.refused && !disturbed_now(b.zone);
  return b.running && !b.frozen && connected &&
         now - b.disturbed >= emu_touch && !store_down_ && !store_silent_ &&
         now - store_disturbed_ >= emu_touch;
}

bool emu_world::undisturbed(const target& t) const {
  return t.alive && !disturbed_now(t.zone) &&
         clock_.now() - t.disturbed >= emu_touch;
}

void emu_world::check_opening(const balancer& from,
                              target* t,
                              uint64_t flow_number,
                              const segment& s) {
  const time_us now = clock_.now();
  if (t->flows.count(flow_number) == 0)
    follow(*t, "opening from " + from.name);
  const auto route = std::find_if(
      routing_.routes.begin(), routing_.routes.end(),
      [&](const route_entry& r) { return r.address == s.destination; });
  if (route != routing_.routes.end() &&
      route->services.front().service != t->service)
    violate(emu_rule::service_isolation, t->name + " serves " + t->service);
  if (in_touch(from) && t->closed_at != INT64_MAX &&
      now - t->closed_at > emu_drain_bound)
    violate(emu_rule::draining, from.name + " opened a flow at " + t->name);
  const auto withdrawn = withdrawn_.find("zone-" + std::to_string(t->zone));
  if (in_touch(from) && withdrawn != withdrawn_.end() &&
      now - withdrawn->second > emu_withdraw_bound)
    violate(emu_rule::withdrawal, from.name + " opened a flow at " + t->name);
  check_configuration(from);
  if (now >= t->cold_until || t->flows.count(flow_number) != 0)
    return;
  t->openings.push_back(now);
  while (now - t->openings.front() >= us_per_s)
    t->openings.pop_front();
  if (static_cast<double>(t->openings.size()) > options_.shape.cold_bound)
    violate(emu_rule::cold_start, t->name);
}

void emu_world::check_astray(const target& t, flow* f) {
  if (f->open_at == nullptr || f->over || !f->open_at->alive ||
      f->open_at->name != f->open_name)
    return;
  if (f->open_at == &t) {
    f->astray = 0;
    return;
  }
  if (!undisturbed(*f->open_at))
    return;
  if (++f->astray >= astray_limit)
    violate(emu_rule::open_flow,
            "segments of a flow at " + f->open_name + " went to " + t.name);
}

void emu_world::check_configuration(const balancer& b) {
  if (!in_touch(b))
    return;
  for (const auto& [version, since] : versions_) {
    if (b.routing_version < version &&
        clock_.now() - since > emu_config_bound) {
      violate(emu_rule::configuration,
              b.name + " uses version " + std::to_string(b.routing_version) +
                  " long after " + std::to_string(version));
      return;
    }
  }
}

void emu_world::measure_imbalance() {
  const auto targets = static_cast<double>(options_.shape.services[0].targets);
  double sum = 0;
  for (const auto& [second, counts] : openings_) {
    uint64_t total = 0;
    uint64_t most = 0;
    for (const auto& [name, count] : counts) {
      total += count;
      most = std::max(most, count);
    }
    sum += static_cast<double>(most) * targets / static_cast<double>(total);
  }
  if (!openings_.empty())
    report_.imbalance = sum / static_cast<double>(openings_.size());
}

void emu_world::check_service() {
  uint64_t asked = 0;
  uint64_t served = 0;
  const auto first =
      static_cast<size_t>((calm_since_ + settle_time - start_) / us_per_s + 1);
  // The last seconds hold requests that are still open.
  for (size_t i = first; i + 4 < report_.seconds.size(); ++i) {
    asked += report_.seconds[i].first;
    served += report_.seconds[i].second;
  }
  if (asked != 0 &&
      static_cast<double>(served) < service_share * static_cast<double>(asked))
    violate(emu_rule::service, std::to_string(served) + " of " +
                                   std::to_string(asked) + " in time");
}

}  // namespace turmeric::tests
