/** @file membership_probe.cpp Probing, suspicion and joining. */
#include <algorithm>

#include "turmeric/coordination/membership_base.h"

namespace turmeric {
namespace {

/** Probe intervals between two probes of a member in another zone, and between
 * two probes of a dead member. A seed is contacted once per dead_probe_period.
 * Members that were declared dead during a network partition are found again
 * this way after it heals. */
constexpr uint64_t remote_probe_period = 4;
constexpr uint64_t dead_probe_period = 5;
/** Probe timeouts to wait for an ack after the one of the direct probe. */
constexpr int indirect_probe_timeouts = 2;

}  // namespace

member_id membership::next_probe_member() {
  ++probe_intervals_;
  const bool remote = probe_intervals_ % remote_probe_period == 0;
  const bool dead = probe_intervals_ % dead_probe_period == 0;
  if (remote || dead) {
    std::vector<member_id> candidates;
    for (const auto& [id, p] : peers_) {
      const bool is_dead = p.record.state == member_state::dead;
      const bool is_remote = p.record.zone != self_.zone;
      if (dead ? is_dead : is_remote && !is_dead)
        candidates.push_back(id);
    }
    if (!candidates.empty())
      return candidates[random_() % candidates.size()];
  }
  if (probe_order_.empty()) {
    for (const auto& [id, p] : peers_) {
      if (p.record.zone == self_.zone && p.record.state != member_state::dead)
        probe_order_.push_back(id);
    }
    for (size_t i = probe_order_.size(); i > 1; --i)
      std::swap(probe_order_[i - 1], probe_order_[random_() % i]);
  }
  if (probe_order_.empty())
    return member_id{};
  const member_id next = probe_order_.back();
  probe_order_.pop_back();
  return next;
}

void membership::probe_next(time_us now, std::vector<outgoing_gossip>* out) {
  const member_id member = next_probe_member();
  const auto it = peers_.find(member);
  if (!member.valid() || it == peers_.end())
    return;
  const uint64_t sequence = ++sequence_;
  probes_[sequence] = probe{member, now, false, {}, 0};
  gossip_message ping = make_message(gossip_kind::ping, sequence);
  // The record of a receiver that is not live comes first, so that the receiver
  // can refute it.
  if (it->second.record.state != member_state::live)
    ping.updates.push_back(it->second.record);
  add_updates(&ping, it->second.record.zone);
  out->push_back({it->second.record.gossip, std::move(ping)});
}

void membership::advance_probes(time_us now,
                                std::vector<outgoing_gossip>* out) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    probe& p = it->second;
    const time_us age = now - p.sent;
    const bool is_own_probe = p.requester_sequence == 0;
    if (is_own_probe && !p.indirect && age >= options_.probe_timeout) {
      p.indirect = true;
      for (const auto& relay : sample(options_.indirect_probe_fanout)) {
        if (relay.id == p.member)
          continue;
        gossip_message request =
            make_message(gossip_kind::ping_request, it->first);
        request.subject = p.member;
        out->push_back({relay.gossip, std::move(request)});
      }
    }
    if (age < options_.probe_timeout * (1 + indirect_probe_timeouts)) {
      ++it;
      continue;
    }
    const auto found = peers_.find(p.member);
    const bool live = found != peers_.end() &&
                      found->second.record.state == member_state::live;
    const bool leaving = found != peers_.end() &&
                         found->second.record.state == member_state::leaving;
    if (is_own_probe && live) {
      found->second.record.state = member_state::suspect;
      found->second.suspect_since = now;
      mark_changed(&found->second);
    }
    if (is_own_probe && leaving && found->second.unresponsive_since == 0)
      found->second.unresponsive_since = now;
    it = probes_.erase(it);
  }
}

void membership::expire_members(time_us now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    peer& p = it->second;
    const bool suspect = p.record.state == member_state::suspect;
    // A leaving member is still responsible for its permits, so it is declared
    // dead only after the same suspicion timeout as any other member.
    const bool unresponsive =
        p.record.state == member_state::leaving && p.unresponsive_since > 0 &&
        now - p.unresponsive_since >= options_.suspicion_timeout;
    const bool overdue =
        suspect && now - p.suspect_since >= options_.suspicion_timeout;
    if (overdue || unresponsive) {
      p.record.state = member_state::dead;
      p.dead_since = now;
      mark_changed(&p);
    }
    const bool expired = p.record.state == member_state::dead &&
                         now - p.dead_since >= options_.tombstone_retention;
    if (expired) {
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
    const bool suspected =
        p.record.state == member_state::suspect ||
        (p.record.state == member_state::leaving && p.unresponsive_since > 0);
    if (!suspected || sent >= options_.max_suspect_probes_per_interval)
      continue;
    ++sent;
    const uint64_t sequence = ++sequence_;
    // Marked as indirect, so that no ping requests follow.
    probes_[sequence] = probe{id, now, true, {}, 0};
    gossip_message ping = make_message(gossip_kind::ping, sequence);
    ping.updates.push_back(p.record);
    out->push_back({p.record.gossip, std::move(ping)});
  }
}

void membership::sync_with_seeds(std::vector<outgoing_gossip>* out) {
  const bool joining = probe_intervals_ <= options_.join_intervals;
  if (!joining && probe_intervals_ % dead_probe_period != 1)
    return;
  std::vector<endpoint> uncontacted;
  for (const endpoint seed : options_.seeds) {
    const bool is_member =
        std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
          return entry.second.record.gossip == seed &&
                 is_usable(entry.second.record);
        });
    if (!is_member && !(seed == self_.gossip))
      uncontacted.push_back(seed);
  }
  // A joining balancer contacts several seeds at once, so that the other
  // members get its record soon.
  const size_t count =
      std::min<size_t>(joining ? options_.join_fanout : 1, uncontacted.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(uncontacted[i],
              uncontacted[i + random_() % (uncontacted.size() - i)]);
    out->push_back(
        {uncontacted[i], make_message(gossip_kind::sync_request, ++sequence_)});
  }
}

std::vector<outgoing_gossip> membership::tick(time_us now) {
  std::vector<outgoing_gossip> out;
  advance_probes(now, &out);
  expire_members(now);
  if (now < next_probe_at_)
    return out;
  next_probe_at_ = now + options_.probe_interval;
  probe_next(now, &out);
  probe_suspects(now, &out);
  sync_with_seeds(&out);
  return out;
}

}  // namespace turmeric
