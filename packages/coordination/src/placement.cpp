/** @file placement.cpp Choice of targets for new flows. */
#include "turmeric/coordination/placement_base.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace turmeric {
namespace {

/** Doublings after which a suspicion grows no further. Also bounds the failures
 * that add to a target's cost and those that one report adds. */
constexpr uint32_t max_doublings = 8;
/** Balancers that may send flows to one cold target; one is left if the other
 * has stopped. */
constexpr int cold_owners = 2;
/** Divides a cold target's bound among its owners. While balancers differ on
 * which of them are alive, two views together may name four owners; the fifth
 * share covers a flow that arrives a little late. */
constexpr double cold_divisor = 5.0;
/** Reports kept until taken. More arise only when many targets fail at once,
 * and then each balancer detects the failures by itself. */
constexpr size_t max_reports = 64;

}  // namespace

placement::placement(placement_options options, random_source random)
    : options_(std::move(options)),
      random_(std::move(random)),
      weights_(options_.weights) {}

bool placement::prefers(time_us now, const forwarding_target& target) const {
  // While the own zone has room, its targets are divided among its balancers
  // only; beyond that all targets are divided among all balancers.
  const bool in_zone_only = other_zone_cost_ > 0;
  const bool own_zone = target.entry.zone == options_.zone;
  return !zone_restarts_unknown(now, target.entry.zone) &&
         (own_zone || !in_zone_only) &&
         owns_slot(target, in_zone_only ? zone_others_ : others_);
}

double placement::pass_of(const forwarding_target& target) const {
  const auto passes = last_passes_.find(target.entry.service);
  const double last = passes == last_passes_.end() ? 0.0 : passes->second;
  const auto it = targets_.find(target.token);
  // A target that was busy or new meanwhile is one flow behind at most.
  return std::max(last - 1.0, it == targets_.end() ? 0.0 : it->second.pass);
}

double placement::cost_of(time_us now,
                          const forwarding_target& target,
                          bool preferred,
                          double weight) const {
  double cost = target.entry.zone == options_.zone ? 0.0 : other_zone_cost_;
  if (preferred)
    cost -= options_.slot_owner_discount;
  if (zone_suspected(now, target.entry.zone))
    cost += options_.unreachable_zone_cost;
  const auto it = targets_.find(target.token);
  if (it == targets_.end())
    return cost;
  const target_state& state = it->second;
  cost +=
      static_cast<double>(state.active_flows) / (target.entry.slots * weight);
  return cost + health_cost(now, state);
}

double placement::health_cost(time_us now, const target_state& state) const {
  double cost = 0.0;
  if (now < state.suspected_until || state.probing)
    cost += options_.suspect_cost * std::min(state.failures, max_doublings);
  // Reports cost as much as an own failure only when confirmed: a single
  // unanswered opening may be one lost packet.
  if (now < state.peer_suspected_until ||
      (state.probing && state.peer_failures != 0))
    cost += silence_confirmed(state) ? options_.suspect_cost
                                     : options_.reported_cost;
  if (now < state.recovering_until)
    cost += state.was_down ? options_.recovering_cost : light_recovery_cost_;
  return cost;
}

double placement::light_recovery_cost(
    time_us now,
    const std::vector<const forwarding_target*>& candidates) const {
  if (candidates.empty())
    return 0.0;
  const auto recovering = std::count_if(
      candidates.begin(), candidates.end(), [&](const auto* target) {
        const auto it = targets_.find(target->token);
        return it != targets_.end() && now < it->second.recovering_until;
      });
  const double share =
      static_cast<double>(recovering) / static_cast<double>(candidates.size());
  return options_.reported_cost * (1.0 - share);
}

bool placement::silence_confirmed(const target_state& state) const {
  return state.failures + state.peer_failures >= options_.confirmed_failures;
}

void placement::penalize_recovery(time_us now,
                                  time_us duration,
                                  bool was_down,
                                  target_state* state) const {
  const bool penalized = now < state->recovering_until;
  state->was_down = was_down || (penalized && state->was_down);
  state->recovering_until = std::max(state->recovering_until, now + duration);
}

bool placement::zone_restarts_unknown(time_us now,
                                      const std::string& zone) const {
  const auto it = zones_.find(zone);
  return it != zones_.end() && now < it->second.restarts_unknown_until;
}

void placement::add_report(const forwarding_target& target,
                           target_observation news,
                           time_us age,
                           time_us left,
                           uint32_t failures) {
  if (reports_.size() < max_reports)
    reports_.push_back({target.token, news, age, left, failures});
}

const forwarding_target* placement::cheapest(
    time_us now,
    const std::vector<const forwarding_target*>& candidates,
    bool cold,
    flow_token avoid,
    double* cost) {
  const forwarding_target* best = nullptr;
  uint64_t ties = 0;
  double least_pass = 0.0;  ///< Of the targets of least cost.
  *cost = std::numeric_limits<double>::infinity();
  for (const auto* target : candidates) {
    if (now >= target->eligible_until || target->token == avoid)
      continue;
    if (cold != is_cold(now, *target))
      continue;
    if (cold && !cold_allowed(now, *target))
      continue;
    const double target_weight = weight(now, *target);
    // A slow target is preferred for its share of the flows.
    const bool preferred = divides_slots_ && prefers(now, *target) &&
                           (target_weight >= 1.0 || drawn(target_weight));
    const double target_cost = cost_of(now, *target, preferred, target_weight);
    if (target_cost > *cost)
      continue;
    const bool cheaper = target_cost < *cost;
    const double pass = pass_of(*target);
    if (!cheaper && pass > least_pass)
      continue;
    ties = cheaper || pass < least_pass ? 1 : ties + 1;
    least_pass = pass;
    *cost = target_cost;
    if (ties == 1 || random_() % ties == 0) {
      best = target;
      chosen_as_owner_ = preferred;
    }
  }
  return best;
}

const forwarding_target* placement::hook_choice(
    time_us now,
    const std::vector<const forwarding_target*>& candidates) const {
  std::vector<const forwarding_target*> warm;
  for (const auto* target : candidates) {
    if (now < target->eligible_until && now >= target->entry.cold_until)
      warm.push_back(target);
  }
  if (warm.empty())
    return nullptr;
  return options_.pick(
      warm, [this](flow_token token) { return active_flows(token); });
}

void placement::add_load(time_us now,
                         const forwarding_target& target,
                         int change) {
  if (target.entry.zone != options_.zone)
    return;
  zone_load& load = loads_[target.entry.service];
  const double elapsed = static_cast<double>(now - load.updated) /
                         static_cast<double>(options_.load_average_time);
  const double decay = std::exp(-std::max(elapsed, 0.0));
  load.average = load.average * decay + load.active_flows * (1.0 - decay);
  load.updated = now;
  if (change > 0 || load.active_flows != 0)
    load.active_flows += static_cast<uint32_t>(change);
}

double placement::own_zone_utilization(
    time_us now,
    const std::string& service,
    const std::vector<const forwarding_target*>& candidates) const {
  const auto it = loads_.find(service);
  if (it == loads_.end())
    return 0.0;
  double slots = 0.0;
  for (const auto* target : candidates) {
    if (target->entry.zone == options_.zone && now < target->eligible_until)
      slots += target->entry.slots;
  }
  // Routers spread the zone's callers evenly over its balancers, so each has
  // about as many flows as this one.
  const double zone_flows =
      it->second.average * static_cast<double>(zone_others_.size() + 1);
  return slots == 0.0 ? 0.0 : zone_flows / slots;
}

bool placement::owns_slot(const forwarding_target& target,
                          const std::vector<uint64_t>& others) const {
  for (uint64_t slot = 0; slot < target.entry.slots; ++slot) {
    const uint64_t key = hash_pair(target.token, slot);
    const uint64_t own = hash_pair(key, self_);
    const bool owner = std::none_of(
        others.begin(), others.end(),
        [&](uint64_t other) { return hash_pair(key, other) < own; });
    if (owner)
      return true;
  }
  return false;
}

void placement::set_zone_balancers(std::vector<uint64_t> others) {
  zone_others_ = std::move(others);
}

bool placement::owns_cold_target(flow_token token) const {
  const uint64_t own = hash_pair(token, self_);
  const auto precedes = [&](uint64_t other) {
    return hash_pair(token, other) < own;
  };
  return std::count_if(others_.begin(), others_.end(), precedes) < cold_owners;
}

time_us placement::cold_interval(const forwarding_target& target) const {
  const double bound =
      target.cold_per_s * options_.cold_overage + options_.cold_slack;
  const double rate = bound / cold_divisor;
  // Above one flow a second, a fraction of a flow more would let each owner
  // open a whole one more within some seconds.
  const double flows_per_s = rate < 1 ? rate : std::floor(rate);
  return flows_per_s <= 0 ? INT64_MAX / 2
                          : static_cast<time_us>(us_per_s / flows_per_s);
}

bool placement::is_cold(time_us now, const forwarding_target& target) const {
  if (now < target.entry.cold_until)
    return true;
  const auto it = targets_.find(target.token);
  return it != targets_.end() && now < it->second.presumed_cold_until;
}

bool placement::cold_allowed(time_us now, const forwarding_target& target) {
  const auto it = targets_.find(target.token);
  const bool due = it == targets_.end() || now >= it->second.cold_next;
  return due && owns_cold_target(target.token);
}

void placement::set_balancers(uint64_t self, std::vector<uint64_t> others) {
  self_ = self;
  others_ = std::move(others);
}

placement_choice placement::choose(time_us now,
                                   const forwarding_table& table,
                                   const std::string& service,
                                   flow_token avoid,
                                   bool slots_are_scarce) {
  placement_choice choice;
  divides_slots_ = slots_are_scarce;
  chosen_as_owner_ = false;
  const auto& candidates = table.eligible_targets(service);
  choice.candidates = candidates.size();
  if (options_.pick) {
    choice.target = hook_choice(now, candidates);
    return choice;
  }
  const double utilization = own_zone_utilization(now, service, candidates);
  other_zone_cost_ =
      options_.other_zone_cost * std::max(0.0, 1.0 - utilization);
  light_recovery_cost_ = light_recovery_cost(now, candidates);
  choice.target = cheapest(now, candidates, false, avoid, &choice.cost);
  if (choice.target == nullptr && avoid != 0)
    choice.target = cheapest(now, candidates, false, 0, &choice.cost);
  if (choice.target != nullptr)
    return choice;
  choice.target = cheapest(now, candidates, true, 0, &choice.cost);
  if (choice.target != nullptr)
    targets_[choice.target->token].cold_next =
        now + cold_interval(*choice.target);
  return choice;
}

bool placement::zone_suspected(time_us now, const std::string& zone) const {
  if (silent_zones_.count(zone) != 0)
    return true;
  const auto it = zones_.find(zone);
  return it != zones_.end() &&
         it->second.silent.size() >= options_.min_silent_targets &&
         (it->second.probing || now < it->second.suspected_until);
}

void placement::on_flow_opened(time_us now, const forwarding_target& target) {
  target_state& state = targets_[target.token];
  ++state.active_flows;
  double& last = last_passes_[target.entry.service];
  last = std::max(last, pass_of(target));
  // Owners have drawn a slow target for its share already.
  state.pass =
      pass_of(target) + (chosen_as_owner_ ? 1.0 : 1.0 / weight(now, target));
  add_load(now, target, 1);
  if (state.failures + state.peer_failures != 0 &&
      now >= std::max(state.suspected_until, state.peer_suspected_until))
    state.probing = true;
  zone_state& zone = zones_[target.entry.zone];
  if (zone.silent.size() >= options_.min_silent_targets &&
      now >= zone.suspected_until)
    zone.probing = true;
}

void placement::on_flow_ended(time_us now, const forwarding_target& target) {
  target_state& state = targets_[target.token];
  if (state.active_flows == 0)
    return;
  --state.active_flows;
  add_load(now, target, -1);
}

void placement::on_flow_resumed(time_us now, const forwarding_target& target) {
  ++targets_[target.token].active_flows;
  add_load(now, target, 1);
}

bool placement::ends_silence(flow_token token, time_us alive_at) const {
  const auto it = targets_.find(token);
  return it != targets_.end() &&
         it->second.failures + it->second.peer_failures != 0 &&
         alive_at >= it->second.silent_since;
}

void placement::on_answer(time_us now,
                          const forwarding_target& target,
                          time_us alive_at) {
  target_state& state = targets_[target.token];
  // A caller repeats a lost acknowledgement for seconds, so that the answer may
  // be older than the target's silence.
  if (state.failures + state.peer_failures != 0 &&
      alive_at < state.silent_since)
    return;
  zone_state& zone = zones_[target.entry.zone];
  zone.last_answer = now;
  if (zone.silent.size() >= options_.min_silent_targets) {
    // The path to the zone was cut, so the failures of the silent targets do
    // not count.
    zone.restarts_unknown_until = now + options_.recovering_time;
    for (const flow_token token : zone.silent) {
      target_state& other = targets_[token];
      other.failures = other.unreported = 0;
      other.probing = false;
    }
  }
  zone.silent.clear();
  zone.probing = false;
  // While the registry is lost, the entry may not show that a restarted target
  // is cold, so any unanswered opening may mean a restart.
  const bool was_down = silence_confirmed(state) || registry_lost_;
  const bool reported =
      state.unreported < state.failures || state.peer_failures != 0;
  if (silence_confirmed(state) && restarts_may_be_unseen())
    state.presumed_cold_until = now + options_.recovering_time;
  if (state.failures + state.peer_failures != 0) {
    penalize_recovery(now, options_.recovering_time,
                      was_down || state.failures >= options_.down_failures,
                      &state);
    if (reported) {
      add_report(target, target_observation::recovered, 0,
                 options_.recovering_time, was_down ? 1 : 0);
    }
  }
  state.last_answer = now;
  state.failures = state.unreported = state.peer_failures = 0;
  state.suspected_until = state.peer_suspected_until = state.silent_since = 0;
  state.probing = false;
}

void placement::on_unanswered(time_us now,
                              const forwarding_target& target,
                              time_us opened,
                              bool report) {
  zone_state& zone = zones_[target.entry.zone];
  if (zone.last_answer < opened) {
    zone.silent.insert(target.token);
    zone.probing = false;
    zone.suspected_until = now + options_.zone_probe_interval;
  }
  target_state& state = targets_[target.token];
  ++state.failures;
  state.silent_since = std::max(state.silent_since, opened);
  state.probing = false;
  const uint32_t doublings = std::min(state.failures - 1, max_doublings);
  const time_us duration = std::min(options_.suspicion_time << doublings,
                                    options_.max_suspicion_time);
  state.suspected_until = now + duration;
  if (report)
    add_silence_report(now, target, opened, duration);
  else
    ++state.unreported;
}

void placement::report_silence(time_us now,
                               const forwarding_target& target,
                               time_us opened) {
  target_state& state = targets_[target.token];
  if (state.unreported == 0)
    return;  // The target has answered since.
  --state.unreported;
  add_silence_report(now, target, opened, options_.suspicion_time);
}

void placement::add_silence_report(time_us now,
                                   const forwarding_target& target,
                                   time_us opened,
                                   time_us left) {
  // A cut path is not reported: peers reach the zone by paths of their own.
  if (now >= reports_from_ && !zone_suspected(now, target.entry.zone))
    add_report(target, target_observation::silent, now - opened, left, 1);
}

void placement::on_report(time_us now,
                          const forwarding_target& target,
                          const target_report& report) {
  target_state& state = targets_[target.token];
  const time_us remaining =
      std::clamp<time_us>(report.remaining, 0, options_.max_suspicion_time);
  if (report.observation == target_observation::recovered) {
    if (silence_confirmed(state) && restarts_may_be_unseen())
      state.presumed_cold_until = now + remaining;
    state.failures = state.unreported = state.peer_failures = 0;
    state.suspected_until = state.peer_suspected_until = state.silent_since = 0;
    state.probing = false;
    penalize_recovery(now, remaining, report.failures != 0, &state);
    return;
  }
  if (state.last_answer >= now - std::max<time_us>(report.age, 0))
    return;  // It has answered this balancer since.
  state.silent_since =
      std::max(state.silent_since, now - std::max<time_us>(report.age, 0));
  state.peer_failures += std::min(report.failures, max_doublings);
  state.peer_suspected_until =
      std::max(state.peer_suspected_until,
               now + remaining + options_.reporter_probe_delay);
}

uint32_t placement::reported_failures(flow_token token) const {
  const auto it = targets_.find(token);
  return it == targets_.end() ? 0 : it->second.peer_failures;
}

uint32_t placement::active_flows(flow_token token) const {
  const auto it = targets_.find(token);
  return it == targets_.end() ? 0 : it->second.active_flows;
}

uint32_t placement::failures(flow_token token) const {
  const auto it = targets_.find(token);
  return it == targets_.end() ? 0 : it->second.failures;
}

bool placement::drawn(double probability) const {
  constexpr uint64_t steps = uint64_t{1} << 32;
  return random_() % steps <
         static_cast<uint64_t>(probability * static_cast<double>(steps));
}

void placement::retain(const forwarding_table& table) {
  weights_.retain(table);
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (table.target_of(it->first) == nullptr)
      it = targets_.erase(it);
    else
      ++it;
  }
}

}  // namespace turmeric
