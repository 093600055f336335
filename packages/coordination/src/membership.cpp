/** @file membership.cpp Member records and their spread by gossip. */
#include "turmeric/coordination/membership_base.h"

#include <algorithm>
#include <cstddef>

namespace turmeric {
namespace {

/** Random members from which those of the own zone are sent to a receiver in
 * another zone. */
constexpr size_t remote_sample_size = 2;
/** Records in one sync reply; the receiver gets the others piggybacked on later
 * messages. */
constexpr size_t max_sync_records = 128;
/** Piggyback transmissions of a record, per bit of the member count. */
constexpr unsigned retransmit_factor = 2;

/** @return Whether @p a overrides @p b, a record of the same member. */
bool supersedes(const member_record& a, const member_record& b) {
  if (a.incarnation != b.incarnation)
    return a.incarnation > b.incarnation;
  // Within an incarnation, only a refutation reverts leaving and dead.
  if (a.refutations != b.refutations)
    return a.refutations > b.refutations;
  return a.state > b.state;
}

}  // namespace

membership::membership(membership_options options,
                       member_record self,
                       random_source random)
    : options_(std::move(options)),
      self_(std::move(self)),
      random_(std::move(random)) {
  self_retransmits_left_ = retransmit_limit();
}

unsigned membership::retransmit_limit() const {
  unsigned log2 = 1;
  for (size_t n = peers_.size() + 1; n > 1; n /= 2)
    ++log2;
  return retransmit_factor * log2;
}

gossip_message membership::make_message(gossip_kind kind, uint64_t sequence) {
  gossip_message m;
  m.kind = kind;
  m.from = self_;
  m.sequence = sequence;
  m.held_revision = held_revision_;
  return m;
}

void membership::add_updates(gossip_message* message, zone_id receiver_zone) {
  std::vector<peer*> pending;
  for (auto& [id, p] : peers_) {
    const bool relevant =
        p.record.zone == receiver_zone || p.record.zone == self_.zone;
    if (p.retransmits_left > 0 && relevant)
      pending.push_back(&p);
  }
  const size_t count =
      std::min(options_.max_updates_per_message, pending.size());
  std::partial_sort(pending.begin(),
                    pending.begin() + static_cast<std::ptrdiff_t>(count),
                    pending.end(), [](const peer* a, const peer* b) {
                      return a->retransmits_left > b->retransmits_left;
                    });
  for (size_t i = 0; i < count; ++i) {
    message->updates.push_back(pending[i]->record);
    --pending[i]->retransmits_left;
  }
  if (receiver_zone != self_.zone)
    add_zone_sample(message);
}

void membership::add_zone_sample(gossip_message* message) {
  for (const auto& record : sample(remote_sample_size)) {
    if (record.zone == self_.zone)
      message->updates.push_back(record);
  }
}

std::vector<member_record> membership::view() const {
  std::vector<member_record> out = {self_};
  for (const auto& [id, p] : peers_)
    out.push_back(p.record);
  return out;
}

revision membership::held_revision_of(member_id id) const {
  const auto it = peers_.find(id);
  return it == peers_.end() ? 0 : it->second.held_revision;
}

bool membership::zone_holds(revision r) const {
  for (const auto& [id, p] : peers_) {
    if (p.record.zone == self_.zone && is_usable(p.record) &&
        p.held_revision < r)
      return false;
  }
  return held_revision_ >= r;
}

std::vector<member_record> membership::sample(size_t count) {
  std::vector<const peer*> candidates;
  for (const auto& [id, p] : peers_) {
    if (is_usable(p.record))
      candidates.push_back(&p);
  }
  std::vector<member_record> out;
  while (out.size() < count && !candidates.empty()) {
    const size_t i = random_() % candidates.size();
    out.push_back(candidates[i]->record);
    candidates[i] = candidates.back();
    candidates.pop_back();
  }
  return out;
}

bool membership::has_peers() const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [](const auto& p) { return is_usable(p.second.record); });
}

bool membership::is_selected_for(uint64_t role, size_t count) const {
  const uint64_t own_score = hash_pair(role, self_.id.value);
  size_t higher_scores = 0;
  for (const auto& [id, p] : peers_) {
    const bool candidate =
        p.record.zone == self_.zone && p.record.state == member_state::live;
    if (candidate && hash_pair(role, id.value) > own_score)
      ++higher_scores;
  }
  return higher_scores < count;
}

void membership::leave() {
  if (self_.state == member_state::leaving)
    return;
  self_.state = member_state::leaving;
  ++self_.refutations;
  self_retransmits_left_ = retransmit_limit();
  ++version_;
}

void membership::mark_changed(peer* p) {
  p->retransmits_left = retransmit_limit();
  ++version_;
}

bool membership::should_track(const member_record& record) const {
  if (record.zone == self_.zone)
    return true;
  if (record.state == member_state::dead)
    return false;
  size_t contacts = 0;
  for (const auto& [id, p] : peers_) {
    if (p.record.zone == record.zone && is_usable(p.record))
      ++contacts;
  }
  return contacts < options_.max_contacts_per_zone;
}

void membership::refute(const member_record& record) {
  const bool same_incarnation = record.incarnation == self_.incarnation;
  if (!same_incarnation || record.refutations < self_.refutations)
    return;
  if (record.state == self_.state || record.state == member_state::live)
    return;
  self_.refutations = record.refutations + 1;
  self_retransmits_left_ = retransmit_limit();
}

void membership::merge(time_us now, const member_record& record) {
  if (record.id == self_.id) {
    refute(record);
    return;
  }
  const auto it = peers_.find(record.id);
  if (it == peers_.end()) {
    if (!should_track(record))
      return;
    peer& p = peers_[record.id];
    p.record = record;
    p.suspect_since = now;
    p.dead_since = now;
    mark_changed(&p);
    return;
  }
  peer& p = it->second;
  if (!supersedes(record, p.record))
    return;
  if (record.incarnation != p.record.incarnation)
    p.held_revision = 0;
  p.record = record;
  if (record.state == member_state::suspect)
    p.suspect_since = now;
  if (record.state == member_state::dead)
    p.dead_since = now;
  mark_changed(&p);
}

void membership::merge_message(time_us now, const gossip_message& message) {
  // A direct message shows that the sender is alive, but within an incarnation
  // only the sender's own refutation overrides a worse state that others
  // reported.
  merge(now, message.from);
  const auto it = peers_.find(message.from.id);
  if (it != peers_.end() &&
      it->second.record.incarnation == message.from.incarnation) {
    it->second.held_revision =
        std::max(it->second.held_revision, message.held_revision);
    it->second.unresponsive_since = 0;
  }
  for (const auto& record : message.updates)
    merge(now, record);
}

std::vector<outgoing_gossip>
membership::receive(time_us now, endpoint from, const gossip_message& message) {
  std::vector<outgoing_gossip> out;
  merge_message(now, message);
  switch (message.kind) {
    case gossip_kind::ping: {
      gossip_message ack = make_message(gossip_kind::ack, message.sequence);
      // Includes the sender's record here if its state differs, so that the
      // sender can refute it.
      const auto it = peers_.find(message.from.id);
      if (it != peers_.end() && it->second.record.state != message.from.state)
        ack.updates.push_back(it->second.record);
      add_updates(&ack, message.from.zone);
      out.push_back({from, std::move(ack)});
      break;
    }
    case gossip_kind::ack: {
      const auto it = probes_.find(message.sequence);
      if (it == probes_.end())
        break;
      if (it->second.requester_sequence != 0) {
        gossip_message forwarded =
            make_message(gossip_kind::ack, it->second.requester_sequence);
        forwarded.updates.push_back(message.from);
        out.push_back({it->second.requester, std::move(forwarded)});
      }
      probes_.erase(it);
      break;
    }
    case gossip_kind::ping_request: {
      const auto it = peers_.find(message.subject);
      if (it == peers_.end())
        break;
      const uint64_t sequence = ++sequence_;
      probe p{message.subject, now, true, from, message.sequence};
      probes_[sequence] = p;
      out.push_back({it->second.record.gossip,
                     make_message(gossip_kind::ping, sequence)});
      break;
    }
    case gossip_kind::sync_request: {
      gossip_message reply =
          make_message(gossip_kind::sync_reply, message.sequence);
      for (const auto& record : view()) {
        const bool is_dead = record.state == member_state::dead;
        if (reply.updates.size() < max_sync_records && !is_dead)
          reply.updates.push_back(record);
      }
      out.push_back({from, std::move(reply)});
      break;
    }
    default:
      break;
  }
  return out;
}

}  // namespace turmeric
