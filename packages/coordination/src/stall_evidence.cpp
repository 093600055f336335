/** @file stall_evidence.cpp Counting of stalls and progress of targets. */
#include "turmeric/coordination/stall_evidence_base.h"

#include <algorithm>
#include <set>

namespace turmeric {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(loss_scope::end)>
    scope_names = {"none", "target", "zone"};
/** Reports and losses kept until taken; more arise only in a fault of the
 * whole network, which every balancer sees by itself. */
constexpr size_t max_pending = 64;

}  // namespace

std::string_view name_of(loss_scope scope) {
  return scope_names[static_cast<size_t>(scope)];
}

void stall_evidence::restart(time_us now) {
  counts_from_ = now + options_.startup_grace;
  for (auto& [name, zone] : zones_) {
    zone.stalls.clear();
    zone.loss = {};
  }
  for (auto& [token, target] : targets_)
    target.loss = {};
}

bool stall_evidence::others_progress_since(flow_token token, time_us at) const {
  return std::any_of(recent_.begin(), recent_.end(), [&](const auto& progress) {
    return progress.token != token && progress.at > at;
  });
}

stall_evidence::target_state& stall_evidence::state_of(
    const forwarding_target& target) {
  const auto [it, added] = targets_.try_emplace(target.token);
  if (added) {
    it->second.zone = hash_name(target.entry.zone);
    it->second.started_unix_ms = target.entry.started_unix_ms;
  }
  return it->second;
}

void stall_evidence::drop_old_stalls(time_us now, zone_state* zone) const {
  auto& stalls = zone->stalls;
  stalls.erase(std::remove_if(stalls.begin(), stalls.end(),
                              [&](const stall& s) {
                                return now - s.sent >= options_.stall_lifetime;
                              }),
               stalls.end());
}

void stall_evidence::add_stall(time_us now,
                               const forwarding_target& target,
                               stall added) {
  zone_state& zone = zones_[target.entry.zone];
  drop_old_stalls(now, &zone);
  const auto from_reporter = static_cast<size_t>(std::count_if(
      zone.stalls.begin(), zone.stalls.end(), [&](const stall& s) {
        return s.token == added.token && s.reporter == added.reporter;
      }));
  if (zone.stalls.size() < options_.max_zone_stalls &&
      from_reporter < options_.max_reporter_stalls)
    zone.stalls.push_back(added);
}

void stall_evidence::on_stall(time_us now,
                              const forwarding_target& target,
                              stall_kind kind,
                              uint32_t caller,
                              time_us sent) {
  if (sent < counts_from_ || !target_silent_since(target, sent))
    return;
  add_stall(now, target, {target.token, kind, caller, 0, sent, false, false});
  report_stalls(now, &zones_[target.entry.zone]);
  update_losses(now, target);
}

bool stall_evidence::target_silent_since(const forwarding_target& target,
                                         time_us at) const {
  const auto it = targets_.find(target.token);
  return it == targets_.end() ||
         std::max(it->second.progress, it->second.peer_progress) <= at;
}

void stall_evidence::report_stalls(time_us now, zone_state* zone) {
  for (stall& s : zone->stalls) {
    if (s.reporter != 0)
      continue;
    if (!s.qualified)
      s.qualified = others_progress_since(s.token, s.sent);
    if (!s.qualified || s.reported || !worth_reporting(*zone, s) ||
        reports_.size() >= max_pending)
      continue;
    s.reported = true;
    reports_.push_back({s.token, s.kind, now - s.sent, s.caller});
  }
}

bool stall_evidence::worth_reporting(const zone_state& zone,
                                     const stall& s) const {
  // One request in a hundred takes long enough to be repeated. Alone it is no
  // evidence, and it is not worth a message to all balancers.
  return s.kind == stall_kind::opening ||
         std::any_of(zone.stalls.begin(), zone.stalls.end(),
                     [&](const stall& other) {
                       return other.token != s.token ||
                              other.kind == stall_kind::opening;
                     });
}

void stall_evidence::on_progress(time_us now, const forwarding_target& target) {
  target_state& state = state_of(target);
  zone_state& zone = zones_[target.entry.zone];
  state.progress = zone.progress = now;
  zone.progressed = target.token;
  if (recent_[0].token != target.token)
    recent_[1] = recent_[0];
  recent_[0] = {target.token, now};
  const bool doubted =
      state.loss.complete_since != 0 || zone.loss.complete_since != 0;
  state.loss = zone.loss = {};
  if (doubted)
    report_progress(now, target.token, now);
}

void stall_evidence::report_progress(time_us now,
                                     flow_token token,
                                     time_us at) {
  target_state& state = targets_[token];
  if (reports_.size() >= max_pending ||
      (state.progress_reported != 0 &&
       now - state.progress_reported < options_.progress_interval))
    return;
  state.progress_reported = now;
  reports_.push_back({token, stall_kind::progress, now - at, 0});
}

void stall_evidence::on_report(time_us now,
                               const forwarding_target& target,
                               uint64_t reporter,
                               const stall_report& report) {
  target_state& state = state_of(target);
  zone_state& zone = zones_[target.entry.zone];
  const time_us seen =
      now - std::clamp<time_us>(report.age, 0, options_.stall_lifetime);
  if (report.kind == stall_kind::progress) {
    state.peer_progress = std::max(state.peer_progress, seen);
    zone.peer_progress = std::max(zone.peer_progress, seen);
    if (disproves(seen, state.loss))
      state.loss = {};
    if (disproves(seen, zone.loss))
      zone.loss = {};
    return;
  }
  add_stall(now, target,
            {target.token, report.kind, report.caller, reporter,
             seen - options_.report_delay, true, true});
  report_stalls(now, &zone);
  contradict_peers(now, target);
  if (state.progress > seen && disproofs_.size() < max_pending) {
    disproofs_.push_back({target.token, reporter, now - seen,
                          now - state.progress,
                          state.progress_reported >= state.progress});
  }
  update_losses(now, target);
}

void stall_evidence::contradict_peers(time_us now,
                                      const forwarding_target& target) {
  const target_state& state = state_of(target);
  const zone_state& zone = zones_[target.entry.zone];
  // Peers count the stalls since the last progress that they have seen.
  const auto target_since = [&](time_us at) {
    return target_complete(count(now, zone, target.token, at));
  };
  const auto zone_since = [&](time_us at) {
    return zone_complete(count(now, zone, 0, at));
  };
  if (state.progress > state.peer_progress &&
      target_since(state.peer_progress) && !target_since(state.progress))
    report_progress(now, target.token, state.progress);
  else if (zone.progress > zone.peer_progress &&
           zone_since(zone.peer_progress) && !zone_since(zone.progress))
    report_progress(now, zone.progressed, zone.progress);
}

void stall_evidence::on_zone_heartbeat(time_us now, const std::string& zone) {
  zone_state& state = zones_[zone];
  state.last_heartbeat = now;
  if (state.loss.complete_since == 0)
    return;
  // The zone is reachable again, and its targets may have lived all the time.
  state.loss = {};
  state.stalls.clear();
  const uint64_t id = hash_name(zone);
  for (auto& [token, target] : targets_) {
    if (target.zone == id)
      target.loss = {};
  }
}

stall_tally stall_evidence::count(time_us now,
                                  const zone_state& zone,
                                  flow_token token,
                                  time_us since) const {
  std::set<uint32_t> callers;
  std::set<uint64_t> reporters;
  std::set<flow_token> targets;
  stall_tally out;
  out.earliest = now;
  for (const stall& s : zone.stalls) {
    if (!s.qualified || s.sent <= since || (token != 0 && s.token != token) ||
        now - s.sent >= options_.stall_lifetime)
      continue;
    callers.insert(s.caller);
    reporters.insert(s.reporter);
    targets.insert(s.token);
    out.openings += s.kind == stall_kind::opening ? 1 : 0;
    out.own = out.own || s.reporter == 0;
    out.earliest = std::min(out.earliest, s.sent);
  }
  out.callers = callers.size();
  out.reporters = reporters.size();
  out.targets = targets.size();
  return out;
}

bool stall_evidence::enough_witnesses(const stall_tally& tally) const {
  const size_t wanted = std::min(options_.min_reporters, other_balancers_ + 1);
  return tally.callers >= options_.min_callers &&
         tally.reporters >= wanted + (tally.own ? 0 : 1);
}

bool stall_evidence::target_complete(const stall_tally& tally) const {
  return enough_witnesses(tally) && tally.openings != 0;
}

bool stall_evidence::zone_complete(const stall_tally& tally) const {
  return enough_witnesses(tally) && tally.targets >= options_.min_zone_targets;
}

void stall_evidence::update_losses(time_us now,
                                   const forwarding_target& target) {
  target_state& state = state_of(target);
  zone_state& zone = zones_[target.entry.zone];
  const stall_tally tally = count(
      now, zone, target.token, std::max(state.progress, state.peer_progress));
  update_loss(now, target_complete(tally), tally.earliest, &state.loss);
  // Heartbeats from the own zone say nothing about the way to its targets.
  if (target.entry.zone == zone_)
    return;
  const stall_tally zone_tally =
      count(now, zone, 0,
            std::max({zone.progress, zone.peer_progress, zone.last_heartbeat}));
  update_loss(now, zone_complete(zone_tally), zone_tally.earliest, &zone.loss);
}

void stall_evidence::update_loss(time_us now,
                                 bool complete,
                                 time_us earliest,
                                 loss_state* loss) const {
  const bool ended = now >= loss->until + options_.loss_time ||
                     (!loss->in_effect && now >= loss->until);
  if (ended)
    *loss = {};
  if (complete && loss->complete_since == 0) {
    loss->complete_since = now;
    loss->earliest = earliest;
  }
  // A loss in effect is renewed by any stall: progress would have ended it.
  if (complete || loss->in_effect)
    loss->until = now + options_.loss_time;
}

void stall_evidence::take_effect(time_us now,
                                 loss_scope scope,
                                 const forwarding_target& target,
                                 loss_state* loss) {
  if (loss->in_effect || loss->complete_since == 0 || now >= loss->until ||
      now - loss->complete_since < options_.contradiction_time)
    return;
  loss->in_effect = true;
  if (losses_.size() >= max_pending)
    return;
  const zone_state& zone = zones_[target.entry.zone];
  const flow_token token = scope == loss_scope::zone ? 0 : target.token;
  loss_event event{scope, target.token, target.entry.zone,
                   count(now, zone, token, 0),
                   counted_stalls(now, zone, token)};
  const target_state& state = state_of(target);
  const time_us own = token == 0 ? zone.progress : state.progress;
  const time_us peers = token == 0 ? zone.peer_progress : state.peer_progress;
  if (own != 0)
    event.progress_age = now - own;
  if (peers != 0)
    event.peer_progress_age = now - peers;
  losses_.push_back(std::move(event));
}

std::vector<counted_stall> stall_evidence::counted_stalls(
    time_us now,
    const zone_state& zone,
    flow_token token) const {
  std::vector<counted_stall> out;
  for (const stall& s : zone.stalls) {
    if (s.qualified && (token == 0 || s.token == token) &&
        now - s.sent < options_.stall_lifetime)
      out.push_back({s.kind, s.reporter, s.caller, now - s.sent});
  }
  return out;
}

loss_scope stall_evidence::loss_of(time_us now,
                                   const forwarding_target& target) {
  const auto zone = zones_.find(target.entry.zone);
  if (zone == zones_.end())
    return loss_scope::none;
  take_effect(now, loss_scope::zone, target, &zone->second.loss);
  if (zone->second.loss.in_effect && now < zone->second.loss.until)
    return loss_scope::zone;
  const auto it = targets_.find(target.token);
  if (it == targets_.end())
    return loss_scope::none;
  take_effect(now, loss_scope::target, target, &it->second.loss);
  return it->second.loss.in_effect && now < it->second.loss.until
             ? loss_scope::target
             : loss_scope::none;
}

void stall_evidence::retain(const forwarding_table& table) {
  for (auto it = targets_.begin(); it != targets_.end();) {
    const forwarding_target* target = table.target_of(it->first);
    // A target that restarted closes the flows of its last process by itself.
    const bool restarted =
        target != nullptr && it->second.started_unix_ms != 0 &&
        target->entry.started_unix_ms != it->second.started_unix_ms;
    if (target != nullptr && !restarted) {
      ++it;
      continue;
    }
    drop_stalls_of(it->first);
    it = targets_.erase(it);
  }
}

void stall_evidence::drop_stalls_of(flow_token token) {
  for (auto& [name, zone] : zones_) {
    zone.stalls.erase(
        std::remove_if(zone.stalls.begin(), zone.stalls.end(),
                       [&](const stall& s) { return s.token == token; }),
        zone.stalls.end());
  }
}

}  // namespace turmeric
