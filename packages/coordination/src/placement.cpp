/** @file placement.cpp Choice of targets for new flows. */
#include "turmeric/coordination/placement_base.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace turmeric {
namespace {

/** Doublings after which the time of a doubt grows no further. */
constexpr uint32_t max_doublings = 8;
/** Balancers that may send flows to one cold target. Two, so that one that is
 * gone leaves another. */
constexpr int cold_owners = 2;
/** Part of a cold target's bound that an owner uses: two views of who the
 * owners are together make four, and one flow may arrive a little late. */
constexpr double cold_divisor = 5.0;
/** Observations kept until they are told; more come only when much fails at
 * once, and then each balancer sees it by itself. */
constexpr size_t max_reports = 64;

}  // namespace

placement::placement(placement_options options, random_source random)
    : options_(std::move(options)), random_(std::move(random)) {}

double placement::cost_of(time_us now, const forwarding_target& target) const {
  const bool own_zone = target.entry.zone == options_.zone;
  double cost = own_zone ? 0.0 : zone_cost_;
  // While the own zone has room its balancers share its targets among them;
  // beyond that all balancers share all targets.
  const bool in_zone_only = zone_cost_ > 0;
  if (!zone_unsure(now, target.entry.zone) && (own_zone || !in_zone_only) &&
      shares(target, in_zone_only ? zone_others_ : others_))
    cost -= options_.share_discount;
  if (zone_doubted(now, target.entry.zone))
    cost += options_.silent_zone_cost;
  const auto it = evidence_.find(target.token);
  if (it == evidence_.end())
    return cost;
  const evidence& e = it->second;
  cost += static_cast<double>(e.in_hand) / target.entry.slots;
  return cost + evidence_cost(now, e);
}

double placement::evidence_cost(time_us now, const evidence& e) const {
  double cost = 0.0;
  if (now < e.doubted_until || e.probing)
    cost += options_.doubt_cost * std::min(e.failures, max_doublings);
  // What others saw counts as own once it is more than one lost packet.
  if (now < e.reported_until || (e.probing && e.reported != 0))
    cost += confirmed(e) ? options_.doubt_cost : options_.reported_cost;
  if (now < e.recovering_until)
    cost += e.recovering_cost;
  return cost;
}

bool placement::confirmed(const evidence& e) const {
  return e.failures + e.reported >= options_.confirmed_failures;
}

void placement::spare(time_us now, time_us time, bool gone, evidence* e) const {
  const double cost = gone ? options_.recovering_cost : options_.reported_cost;
  const bool spared = now < e->recovering_until;
  e->recovering_cost = spared ? std::max(e->recovering_cost, cost) : cost;
  e->recovering_until = std::max(e->recovering_until, now + time);
}

bool placement::zone_unsure(time_us now, const std::string& zone) const {
  const auto it = zones_.find(zone);
  return it != zones_.end() && now < it->second.unsure_until;
}

void placement::tell(const forwarding_target& target,
                     target_news news,
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
  *cost = std::numeric_limits<double>::infinity();
  for (const auto* target : candidates) {
    if (now >= target->eligible_until || target->token == avoid)
      continue;
    if (cold != (now < target->entry.cold_until))
      continue;
    if (cold && !cold_allowed(now, *target))
      continue;
    const double c = cost_of(now, *target);
    if (c > *cost)
      continue;
    ties = c < *cost ? 1 : ties + 1;
    *cost = c;
    if (ties == 1 || random_() % ties == 0)
      best = target;
  }
  return best;
}

const forwarding_target* placement::picked(
    time_us now,
    const std::vector<const forwarding_target*>& candidates) const {
  std::vector<const forwarding_target*> open;
  for (const auto* target : candidates) {
    if (now < target->eligible_until && now >= target->entry.cold_until)
      open.push_back(target);
  }
  if (open.empty())
    return nullptr;
  return options_.pick(
      open, [this](flow_token token) { return active_flows(token); });
}

void placement::add_load(time_us now,
                         const forwarding_target& target,
                         int change) {
  if (target.entry.zone != options_.zone)
    return;
  zone_load& load = loads_[target.entry.service];
  const double passed = static_cast<double>(now - load.updated) /
                        static_cast<double>(options_.load_time);
  const double kept = std::exp(-std::max(passed, 0.0));
  load.average = load.average * kept + load.in_hand * (1.0 - kept);
  load.updated = now;
  if (change > 0 || load.in_hand != 0)
    load.in_hand += static_cast<uint32_t>(change);
}

double placement::own_zone_use(
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
  // Routers spread the zone's callers evenly over its balancers.
  const double all =
      it->second.average * static_cast<double>(zone_others_.size() + 1);
  return slots == 0.0 ? 0.0 : all / slots;
}

bool placement::shares(const forwarding_target& target,
                       const std::vector<uint64_t>& others) const {
  for (uint64_t slot = 0; slot < target.entry.slots; ++slot) {
    const uint64_t key = hash_pair(target.token, slot);
    const uint64_t own = hash_pair(key, self_);
    const bool first = std::none_of(
        others.begin(), others.end(),
        [&](uint64_t other) { return hash_pair(key, other) < own; });
    if (first)
      return true;
  }
  return false;
}

void placement::set_zone_balancers(std::vector<uint64_t> others) {
  zone_others_ = std::move(others);
}

bool placement::owns_cold(flow_token token) const {
  const uint64_t own = hash_pair(token, self_);
  const auto before = [&](uint64_t other) {
    return hash_pair(token, other) < own;
  };
  return std::count_if(others_.begin(), others_.end(), before) < cold_owners;
}

time_us placement::cold_interval(const forwarding_target& target) const {
  const double bound =
      target.cold_per_s * options_.cold_overage + options_.cold_slack;
  const double rate = bound / cold_divisor;
  return rate <= 0 ? INT64_MAX / 2 : static_cast<time_us>(us_per_s / rate);
}

bool placement::cold_allowed(time_us now, const forwarding_target& target) {
  const auto it = evidence_.find(target.token);
  const bool due = it == evidence_.end() || now >= it->second.cold_next;
  return due && owns_cold(target.token);
}

void placement::set_balancers(uint64_t self, std::vector<uint64_t> others) {
  self_ = self;
  others_ = std::move(others);
}

placement_choice placement::choose(time_us now,
                                   const forwarding_table& table,
                                   const std::string& service,
                                   flow_token avoid) {
  placement_choice choice;
  const auto& candidates = table.eligible_targets(service);
  choice.candidates = candidates.size();
  if (options_.pick) {
    choice.target = picked(now, candidates);
    return choice;
  }
  const double use = own_zone_use(now, service, candidates);
  zone_cost_ = options_.other_zone_cost *
               std::max(0.0, 1.0 - use / options_.own_zone_limit);
  choice.target = cheapest(now, candidates, false, avoid, &choice.cost);
  if (choice.target == nullptr && avoid != 0)
    choice.target = cheapest(now, candidates, false, 0, &choice.cost);
  if (choice.target != nullptr)
    return choice;
  choice.target = cheapest(now, candidates, true, 0, &choice.cost);
  if (choice.target != nullptr)
    evidence_[choice.target->token].cold_next =
        now + cold_interval(*choice.target);
  return choice;
}

bool placement::zone_doubted(time_us now, const std::string& zone) const {
  if (silent_zones_.count(zone) != 0)
    return true;
  const auto it = zones_.find(zone);
  return it != zones_.end() &&
         it->second.silent.size() >= options_.min_silent_targets &&
         (it->second.probing || now < it->second.doubted_until);
}

void placement::flow_opened(time_us now, const forwarding_target& target) {
  evidence& e = evidence_[target.token];
  ++e.in_hand;
  add_load(now, target, 1);
  if (e.failures + e.reported != 0 &&
      now >= std::max(e.doubted_until, e.reported_until))
    e.probing = true;
  zone_evidence& zone = zones_[target.entry.zone];
  if (zone.silent.size() >= options_.min_silent_targets &&
      now >= zone.doubted_until)
    zone.probing = true;
}

void placement::flow_ended(time_us now, const forwarding_target& target) {
  evidence& e = evidence_[target.token];
  if (e.in_hand == 0)
    return;
  --e.in_hand;
  add_load(now, target, -1);
}

void placement::flow_resumed(time_us now, const forwarding_target& target) {
  ++evidence_[target.token].in_hand;
  add_load(now, target, 1);
}

void placement::answered(time_us now, const forwarding_target& target) {
  zone_evidence& zone = zones_[target.entry.zone];
  zone.answered = now;
  if (zone.silent.size() >= options_.min_silent_targets) {
    // The way was to blame for their silence.
    zone.unsure_until = now + options_.recovering_time;
    for (const flow_token token : zone.silent) {
      evidence& other = evidence_[token];
      other.failures = 0;
      other.probing = false;
    }
  }
  zone.silent.clear();
  zone.probing = false;
  evidence& e = evidence_[target.token];
  // Where its entry can't say that it is cold, any silence may mean it.
  const bool gone = confirmed(e) || registry_lost_;
  if (e.failures + e.reported != 0) {
    spare(now, options_.recovering_time,
          gone || e.failures >= options_.gone_failures, &e);
    tell(target, target_news::answers, 0, options_.recovering_time,
         gone ? 1 : 0);
  }
  e.answered = now;
  e.failures = e.reported = 0;
  e.doubted_until = e.reported_until = 0;
  e.probing = false;
}

void placement::unanswered(time_us now,
                           const forwarding_target& target,
                           time_us opened) {
  zone_evidence& zone = zones_[target.entry.zone];
  if (zone.answered < opened) {
    zone.silent.insert(target.token);
    zone.probing = false;
    zone.doubted_until = now + options_.zone_probe_time;
  }
  evidence& e = evidence_[target.token];
  ++e.failures;
  e.probing = false;
  const uint32_t doublings = std::min(e.failures - 1, max_doublings);
  const time_us doubt =
      std::min(options_.doubt_time << doublings, options_.max_doubt_time);
  e.doubted_until = now + doubt;
  // Where the way is to blame, others have their own.
  if (now >= tells_from_ && !zone_doubted(now, target.entry.zone))
    tell(target, target_news::silent, now - opened, doubt, 1);
}

void placement::reported(time_us now,
                         const forwarding_target& target,
                         const target_report& report) {
  evidence& e = evidence_[target.token];
  const time_us left =
      std::clamp<time_us>(report.left, 0, options_.max_doubt_time);
  if (report.news == target_news::answers) {
    e.failures = e.reported = 0;
    e.doubted_until = e.reported_until = 0;
    e.probing = false;
    spare(now, left, report.failures != 0, &e);
    return;
  }
  if (e.answered >= now - std::max<time_us>(report.age, 0))
    return;  // It has answered here since.
  e.reported += std::min(report.failures, max_doublings);
  e.reported_until =
      std::max(e.reported_until, now + left + options_.report_grace);
}

uint32_t placement::reported_failures(flow_token token) const {
  const auto it = evidence_.find(token);
  return it == evidence_.end() ? 0 : it->second.reported;
}

uint32_t placement::active_flows(flow_token token) const {
  const auto it = evidence_.find(token);
  return it == evidence_.end() ? 0 : it->second.in_hand;
}

uint32_t placement::failures(flow_token token) const {
  const auto it = evidence_.find(token);
  return it == evidence_.end() ? 0 : it->second.failures;
}

void placement::retain(const forwarding_table& table) {
  for (auto it = evidence_.begin(); it != evidence_.end();) {
    if (table.target_of(it->first) == nullptr)
      it = evidence_.erase(it);
    else
      ++it;
  }
}

}  // namespace turmeric
