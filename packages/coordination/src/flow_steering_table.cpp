/** @file flow_steering_table.cpp Moving buckets, notes, records and expiry. */
#include <algorithm>
#include <set>
#include <utility>

#include "turmeric/coordination/flow_steering_base.h"

namespace turmeric {
namespace {

constexpr time_us expiry_interval = us_per_s;
constexpr time_us pull_interval = 300 * us_per_ms;
constexpr size_t record_bytes = sizeof(flow_id) + sizeof(target_id);
constexpr size_t note_bytes = sizeof(uint32_t) + sizeof(target_id);
/** Lifetime of an opening's record as a multiple of flow_timeout; above 2,
 * since balancers report records in use again after twice flow_timeout. */
constexpr uint32_t record_lifetime_factor = 4;
/** Keeps a datagram of records below the usual path MTU. */
constexpr size_t max_records_per_message = 64;

}  // namespace

void flow_steering::update_routes(time_us now,
                                  std::shared_ptr<const route_table> table) {
  if (started_ < 0)
    started_ = now;
  const auto before = table_;
  table_ = std::move(table);
  if (table_->self.state == member_state::leaving)
    hand_over();
  else if (before)
    queue_records_for_new_owners(*before);
  if (!before || before->index == table_->index)
    return;
  for (const auto& [service, after] : table_->index->buckets) {
    const auto old = before->index->buckets.find(service);
    if (old == before->index->buckets.end() || old->second == after)
      continue;
    record_moved_buckets(now, service, old->second.get(), after.get());
  }
  find_skipped_moves(now, *before->index);
  for (const auto& [target, place] : table_->index->targets) {
    const bool is_new = before->index->targets.count(target) == 0;
    const bool known_service =
        before->index->services.count(place.service->id) > 0;
    if (is_new && known_service)
      cold_since_[target] = now;
  }
}

void flow_steering::find_skipped_moves(time_us now,
                                       const service_index& before) {
  // A zone or drain flag set and cleared again between the two revisions does
  // not show in the buckets. Other balancers may have opened flows on other
  // targets meanwhile, so the owner must be queried.
  const service_index& after = *table_->index;
  std::set<service_id> affected;
  for (const auto& [id, place] : after.targets) {
    const zone_id zone = place.target->zone;
    const auto zone_change = after.zone_changed.find(zone);
    const auto drain_change = after.drain_changed.find(id);
    const bool zone_toggled =
        zone_change != after.zone_changed.end() &&
        zone_change->second > before.in_force &&
        before.withdrawn_zones.count(zone) == after.withdrawn_zones.count(zone);
    const bool drain_toggled =
        drain_change != after.drain_changed.end() &&
        drain_change->second > before.in_force &&
        before.draining.count(id) == after.draining.count(id);
    if (zone_toggled || drain_toggled)
      affected.insert(place.service->id);
  }
  for (const service_id service : affected) {
    const auto& targets = after.buckets.at(service)->targets;
    for (uint32_t bucket = 0; bucket < targets.size(); ++bucket)
      add_moving_bucket(now, service, bucket, targets[bucket]);
  }
}

void flow_steering::record_moved_buckets(time_us now,
                                         service_id service,
                                         const bucket_table* before,
                                         const bucket_table* after) {
  bucket_map& moving = moving_[service];
  for (uint32_t bucket = 0; bucket < after->targets.size(); ++bucket) {
    const target_id old_target = before->targets[bucket];
    if (!old_target.valid() || old_target == after->targets[bucket])
      continue;
    const auto earlier = moving.find(bucket);
    const target_id oldest =
        earlier == moving.end() ? old_target : earlier->second.oldest;
    moving_bucket& state = moving[bucket];
    state.oldest = oldest;
    state.changed = now;
    state.older_last_used = now;
  }
}

void flow_steering::mark_older_target_used(time_us now,
                                           service_id service,
                                           uint32_t bucket,
                                           target_id target) {
  const auto found = moving_.find(service);
  if (found == moving_.end())
    return;
  const auto it = found->second.find(bucket);
  const target_id current = table_->index->buckets.at(service)->targets[bucket];
  if (it == found->second.end() || target == current)
    return;
  it->second.older_last_used = now;
  it->second.older_used_since_note = true;
}

void flow_steering::send(endpoint to, packet body, size_t bytes, actions* out) {
  control_bytes_ += bytes;
  out->emplace_back(send_packet{to, std::move(body), true});
}

void flow_steering::on(time_us now, const flow_hint& m) {
  const flow_key key{m.service, m.flow};
  store_placement(now, key, m.target, m.placed_at_opening);
  // An owner on an older revision has not applied the newest move.
  if (m.moving || m.in_force < table_->announced->in_force)
    return;
  // The owner has no older target in use, so the bucket is settled.
  const auto buckets = table_->index->buckets.find(m.service);
  const auto found = moving_.find(m.service);
  if (buckets != table_->index->buckets.end() && found != moving_.end())
    found->second.erase(buckets->second->bucket_of(m.flow));
}

void flow_steering::on(time_us now, flow_records m, actions* out) {
  const auto buckets = table_->index->buckets.find(m.service);
  // Records can reach a starting balancer before it has its configuration.
  const bool has_service = buckets != table_->index->buckets.end();
  const size_t count =
      std::min({m.flows.size(), m.targets.size(), m.placed_at_opening.size()});
  std::map<endpoint, flow_records> to_forward;
  for (size_t i = 0; i < count; ++i) {
    const member_record* owner = nullptr;
    if (has_service) {
      const uint32_t bucket = buckets->second->bucket_of(m.flows[i]);
      owner = table_->owner_in_zone(hash_pair(m.service.value, bucket), 0);
    }
    const bool for_this_balancer =
        m.for_receiver || owner == nullptr || owner->id == self_.id;
    if (for_this_balancer || m.hops >= options_.max_hops) {
      store_placement(now, {m.service, m.flows[i]}, m.targets[i],
                      m.placed_at_opening[i]);
      continue;
    }
    flow_records& batch = to_forward[owner->peer];
    batch.service = m.service;
    batch.flows.push_back(m.flows[i]);
    batch.targets.push_back(m.targets[i]);
    batch.placed_at_opening.push_back(m.placed_at_opening[i]);
    batch.hops = static_cast<uint8_t>(m.hops + 1);
  }
  for (auto& [to, batch] : to_forward) {
    const size_t bytes = batch.flows.size() * record_bytes;
    send(to, packet(std::move(batch)), bytes, out);
  }
}

void flow_steering::hand_over() {
  if (std::exchange(handed_over_, true))
    return;
  for (const auto& [service, flows] : placements_) {
    for (const auto& [flow, placed] : flows) {
      if (placed.opened)
        queue_record({service, flow}, placed);
    }
  }
}

void flow_steering::queue_records_for_new_owners(const route_table& before) {
  std::map<std::pair<service_id, uint32_t>, bool> changed;
  for (const auto& [service, flows] : placements_) {
    const auto buckets = table_->index->buckets.find(service);
    if (buckets == table_->index->buckets.end())
      continue;
    for (const auto& [flow, placed] : flows) {
      const uint32_t bucket = buckets->second->bucket_of(flow);
      if (!placed.opened || !is_moving(service, bucket))
        continue;
      const auto [it, is_new] = changed.try_emplace({service, bucket}, false);
      if (is_new) {
        const uint64_t key = hash_pair(service.value, bucket);
        const member_record* old_owner = owner_contact(before, key);
        const member_record* new_owner = owner_contact(*table_, key);
        const bool same_owner =
            old_owner != nullptr && new_owner != nullptr &&
            old_owner->id == new_owner->id &&
            old_owner->incarnation == new_owner->incarnation;
        it->second = !same_owner;
      }
      if (it->second)
        queue_record({service, flow}, placed);
    }
  }
}

void flow_steering::pull_moving_buckets(time_us now, actions* out) {
  // A reply applies only while the newest announced configuration is in force.
  const bool ready =
      !table_->index->services.empty() && table_->index == table_->announced;
  if (synced_ || now < next_pull_ || !ready)
    return;
  next_pull_ = now + pull_interval;
  const member_record* peer =
      table_->owner_in_zone(hash_pair(self_.incarnation, now), 0);
  if (peer == nullptr || peer->id == self_.id)
    peer = table_->owner_in_zone(hash_pair(self_.incarnation, now), 1);
  for (const zone_id zone :
       table_->zones_ranked_by(static_cast<uint64_t>(now))) {
    if (peer == nullptr && zone != self_.zone)
      peer = table_->usable_member_in_zone(zone, static_cast<uint64_t>(now));
  }
  // Without a peer to pull from, this balancer's state counts as complete after
  // no_peer_timeout.
  if (peer == nullptr)
    synced_ = now - started_ >= options_.no_peer_timeout;
  else
    send(peer->peer, packet(moving_buckets_request{self_.peer}),
         sizeof(moving_buckets_request), out);
}

void flow_steering::on(time_us now,
                       const moving_buckets_request& m,
                       actions* out) {
  // A balancer that has just started has no more state than the requester.
  if (!synced_ && now - started_ < options_.flow_timeout)
    return;
  moving_buckets_reply list;
  list.in_force = table_->index->in_force;
  size_t bytes = 0;
  for (const auto& [service, buckets] : moving_) {
    moving_buckets notes;
    notes.service = service;
    for (const auto& [bucket, state] : buckets) {
      notes.buckets.push_back(bucket);
      notes.oldest_targets.push_back(state.oldest);
    }
    bytes += notes.buckets.size() * note_bytes;
    if (!notes.buckets.empty())
      list.services.push_back(std::move(notes));
  }
  send(m.requester, packet(std::move(list)), bytes, out);
}

void flow_steering::on(time_us now, const moving_buckets_reply& m) {
  for (const auto& notes : m.services) {
    const size_t count =
        std::min(notes.buckets.size(), notes.oldest_targets.size());
    for (size_t i = 0; i < count; ++i) {
      add_moving_bucket(now, notes.service, notes.buckets[i],
                        notes.oldest_targets[i]);
      // The peer's oldest target replaces the local one, since the peer may
      // have applied moves of the bucket that this balancer has not.
      const auto it = moving_[notes.service].find(notes.buckets[i]);
      if (it != moving_[notes.service].end())
        it->second.oldest = notes.oldest_targets[i];
    }
  }
  // A peer on an older revision has not applied the newest moves.
  synced_ = synced_ || m.in_force >= table_->index->in_force;
}

void flow_steering::add_moving_bucket(time_us now,
                                      service_id service,
                                      uint32_t bucket,
                                      target_id oldest) {
  const auto buckets = table_->index->buckets.find(service);
  const bool bucket_exists = buckets != table_->index->buckets.end() &&
                             bucket < buckets->second->targets.size();
  if (!bucket_exists)
    return;
  const auto [it, is_new] = moving_[service].try_emplace(bucket);
  if (is_new)
    it->second = moving_bucket{oldest, now, now, now, false};
  it->second.older_last_used = now;
}

void flow_steering::on(time_us now, moving_buckets m, actions* out) {
  const size_t count = std::min(m.buckets.size(), m.oldest_targets.size());
  std::map<endpoint, moving_buckets> to_forward;
  for (size_t i = 0; i < count; ++i) {
    const uint32_t bucket = m.buckets[i];
    add_moving_bucket(now, m.service, bucket, m.oldest_targets[i]);
    const member_record* owner =
        table_->owner_in_zone(hash_pair(m.service.value, bucket), 0);
    if (owner == nullptr || owner->id == self_.id || m.hops > 0)
      continue;
    moving_buckets& note = to_forward[owner->peer];
    note.service = m.service;
    note.buckets.push_back(bucket);
    note.oldest_targets.push_back(m.oldest_targets[i]);
    note.hops = 1;
  }
  for (auto& [to, note] : to_forward)
    send(to, packet(note), note.buckets.size() * note_bytes, out);
}

void flow_steering::send_notes(time_us now, actions* out) {
  for (auto& [service, buckets] : moving_) {
    std::map<endpoint, moving_buckets> notes;
    for (auto& [bucket, state] : buckets) {
      if (!state.older_used_since_note ||
          now - state.last_note < options_.note_interval)
        continue;
      state.last_note = now;
      state.older_used_since_note = false;
      const uint64_t key = hash_pair(service.value, bucket);
      const member_record* owner = owner_contact(*table_, key);
      if (owner == nullptr || owner->id == self_.id)
        continue;
      moving_buckets& note = notes[owner->peer];
      note.service = service;
      note.buckets.push_back(bucket);
      note.oldest_targets.push_back(state.oldest);
    }
    for (auto& [to, note] : notes)
      send(to, packet(note), note.buckets.size() * note_bytes, out);
  }
}

void flow_steering::send_records(actions* out) {
  for (auto& [service, batch] : pending_records_) {
    std::map<endpoint, flow_records> messages;
    const auto buckets = table_->index->buckets.find(service);
    if (buckets == table_->index->buckets.end())
      continue;
    for (size_t i = 0; i < batch.flows.size(); ++i) {
      const uint32_t bucket = buckets->second->bucket_of(batch.flows[i]);
      const uint64_t key = hash_pair(service.value, bucket);
      const member_record* owner = owner_contact(*table_, key);
      const bool is_owner = owner == nullptr || owner->id == self_.id;
      const receiver to =
          is_owner ? standby_owner(key) : receiver{owner, false};
      if (to.member == nullptr)
        continue;
      flow_records& message = messages[to.member->peer];
      message.service = service;
      message.for_receiver = to.here;
      message.flows.push_back(batch.flows[i]);
      message.targets.push_back(batch.targets[i]);
      message.placed_at_opening.push_back(batch.placed_at_opening[i]);
      if (message.flows.size() < max_records_per_message)
        continue;
      send(to.member->peer, packet(std::move(message)),
           max_records_per_message * record_bytes, out);
      messages.erase(to.member->peer);
    }
    for (auto& [to, message] : messages) {
      const size_t bytes = message.flows.size() * record_bytes;
      send(to, packet(std::move(message)), bytes, out);
    }
  }
  pending_records_.clear();
}

void flow_steering::remove_expired(time_us now) {
  // A target assumed without a record of the opening can be computed again.
  // Only records of openings must be kept until a balancer that uses the flow
  // reports it again.
  const auto flow_lifetime =
      static_cast<uint32_t>(options_.flow_timeout / compact_time_unit);
  const uint32_t compact_now = compact_time(now);
  for (auto& [service, flows] : placements_) {
    for (auto it = flows.begin(); it != flows.end();) {
      const uint32_t lifetime = it->second.opened
                                    ? record_lifetime_factor * flow_lifetime
                                    : flow_lifetime;
      const bool expired = compact_now - it->second.last_used > lifetime;
      it = expired ? flows.erase(it) : std::next(it);
      tracked_flows_ -= expired ? 1 : 0;
    }
  }
  for (auto& [service, buckets] : moving_) {
    for (auto it = buckets.begin(); it != buckets.end();) {
      const uint64_t key = hash_pair(service.value, it->first);
      const member_record* owner = owner_contact(*table_, key);
      const bool is_owner = owner == nullptr || owner->id == self_.id;
      // On other balancers a bucket is moving until a hint from its owner says
      // that it is settled.
      const bool settled = is_owner && now - it->second.older_last_used >
                                           2 * options_.flow_timeout;
      it = settled ? buckets.erase(it) : std::next(it);
    }
  }
}

void flow_steering::tick(time_us now, actions* out) {
  if (!table_)
    return;
  if (now >= next_flush_) {
    next_flush_ = now + options_.flush_interval;
    send_records(out);
    send_notes(now, out);
    pull_moving_buckets(now, out);
  }
  if (now >= next_expiry_) {
    next_expiry_ = now + expiry_interval;
    remove_expired(now);
  }
}

}  // namespace turmeric
