/** @file membership_probe.cpp Probing, suspicion and joining. */
#include <algorithm>

#include "turmeric/coordination/membership_base.h"

namespace turmeric {
namespace {

/** Every how many probes one goes to another zone, to a dead member or to a
 * seed, so that healed partitions are found. */
constexpr uint64_t remote_probe_every = 4;
constexpr uint64_t dead_probe_every = 5;
/** Indirect probing gets this many further probe timeouts. */
constexpr int indirect_timeouts = 2;

}  // namespace

member_id membership::next_probe_target() {
  ++ticks_;
  const bool remote = ticks_ % remote_probe_every == 0;
  const bool dead = ticks_ % dead_probe_every == 0;
  if (remote || dead) {
    std::vector<member_id> special;
    for (const auto& [id, p] : peers_) {
      const bool is_dead = p.record.state == member_state::dead;
      const bool is_remote = p.record.zone != self_.zone;
      if (dead ? is_dead : is_remote && !is_dead)
        special.push_back(id);
    }
    if (!special.empty())
      return special[random_() % special.size()];
  }
  if (round_.empty()) {
    for (const auto& [id, p] : peers_) {
      if (p.record.zone == self_.zone && p.record.state != member_state::dead)
        round_.push_back(id);
    }
    for (size_t i = round_.size(); i > 1; --i)
      std::swap(round_[i - 1], round_[random_() % i]);
  }
  if (round_.empty())
    return member_id{};
  const member_id next = round_.back();
  round_.pop_back();
  return next;
}

void membership::probe_next(time_us now, std::vector<outgoing_gossip>* out) {
  const member_id target = next_probe_target();
  const auto it = peers_.find(target);
  if (!target.valid() || it == peers_.end())
    return;
  const uint64_t sequence = ++sequence_;
  probes_[sequence] = probe{target, now, false, {}, 0};
  gossip_message ping = make(gossip_kind::ping, sequence);
  // What is held against the receiver travels first, so that it can refute.
  if (it->second.record.state != member_state::live)
    ping.updates.push_back(it->second.record);
  add_updates(&ping, it->second.record.zone);
  out->push_back({it->second.record.gossip, std::move(ping)});
}

void membership::check_probes(time_us now, std::vector<outgoing_gossip>* out) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    probe& p = it->second;
    const time_us age = now - p.sent;
    const bool own = p.their_sequence == 0;
    if (own && !p.indirect && age >= options_.probe_timeout) {
      p.indirect = true;
      for (const auto& helper : sample(options_.indirect_probes)) {
        if (helper.id == p.target)
          continue;
        gossip_message ask = make(gossip_kind::ping_request, it->first);
        ask.subject = p.target;
        out->push_back({helper.gossip, std::move(ask)});
      }
    }
    if (age < options_.probe_timeout * (1 + indirect_timeouts)) {
      ++it;
      continue;
    }
    const auto found = peers_.find(p.target);
    const bool live = found != peers_.end() &&
                      found->second.record.state == member_state::live;
    const bool leaving = found != peers_.end() &&
                         found->second.record.state == member_state::leaving;
    if (own && live) {
      found->second.record.state = member_state::suspect;
      found->second.suspect_since = now;
      mark_changed(&found->second);
    }
    if (own && leaving && found->second.silent_since == 0)
      found->second.silent_since = now;
    it = probes_.erase(it);
  }
}

void membership::check_suspects(time_us now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    peer& p = it->second;
    const bool suspect = p.record.state == member_state::suspect;
    // A leaving member still answers for its permits, so that its death must
    // be as sure as that of any other.
    const bool silent = p.record.state == member_state::leaving &&
                        p.silent_since > 0 &&
                        now - p.silent_since >= options_.suspicion_timeout;
    const bool overdue =
        suspect && now - p.suspect_since >= options_.suspicion_timeout;
    if (overdue || silent) {
      p.record.state = member_state::dead;
      p.dead_since = now;
      mark_changed(&p);
    }
    const bool forget = p.record.state == member_state::dead &&
                        now - p.dead_since >= options_.tombstone;
    if (forget) {
      it = peers_.erase(it);
      ++version_;
    } else {
      ++it;
    }
  }
}

void membership::probe_suspects(time_us now,
                                std::vector<outgoing_gossip>* out) {
  size_t sent = 0;
  for (auto& [id, p] : peers_) {
    const bool doubted =
        p.record.state == member_state::suspect ||
        (p.record.state == member_state::leaving && p.silent_since > 0);
    if (!doubted || sent >= options_.suspects_per_interval)
      continue;
    ++sent;
    const uint64_t sequence = ++sequence_;
    probes_[sequence] = probe{id, now, true, {}, 0};
    gossip_message ping = make(gossip_kind::ping, sequence);
    ping.updates.push_back(p.record);
    out->push_back({p.record.gossip, std::move(ping)});
  }
}

void membership::contact_seeds(std::vector<outgoing_gossip>* out) {
  const bool joining = ticks_ <= options_.join_intervals;
  if (!joining && ticks_ % dead_probe_every != 1)
    return;
  std::vector<endpoint> unknown;
  for (const endpoint seed : options_.seeds) {
    const bool known =
        std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
          return entry.second.record.gossip == seed &&
                 is_usable(entry.second.record);
        });
    if (!known && !(seed == self_.gossip))
      unknown.push_back(seed);
  }
  // A balancer that joins asks several at once, so that it is known soon.
  const size_t count =
      std::min<size_t>(joining ? options_.join_fanout : 1, unknown.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(unknown[i], unknown[i + random_() % (unknown.size() - i)]);
    out->push_back({unknown[i], make(gossip_kind::sync_request, ++sequence_)});
  }
}

std::vector<outgoing_gossip> membership::tick(time_us now) {
  std::vector<outgoing_gossip> out;
  check_probes(now, &out);
  check_suspects(now);
  if (now < next_probe_at_)
    return out;
  next_probe_at_ = now + options_.probe_interval;
  probe_next(now, &out);
  probe_suspects(now, &out);
  contact_seeds(&out);
  return out;
}

}  // namespace turmeric
