/** @file flow_steering_table.cpp Moving buckets, notes, copies and expiry. */
#include <algorithm>
#include <set>
#include <utility>

#include "turmeric/coordination/flow_steering_base.h"

namespace turmeric {
namespace {

constexpr time_us forget_interval = us_per_s;
constexpr time_us pull_interval = 300 * us_per_ms;
constexpr size_t record_bytes = sizeof(flow_id) + sizeof(target_id);
constexpr size_t note_bytes = sizeof(uint32_t) + sizeof(target_id);
/** Records outlive the time after which balancers tell of them again. */
constexpr uint32_t record_lifetimes = 4;
/** Records in one copy; keeps the datagram below the usual path MTU. */
constexpr size_t records_per_copy = 64;

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
    tell_new_owners(*before);
  if (!before || before->index == table_->index)
    return;
  for (const auto& [service, after] : table_->index->buckets) {
    const auto old = before->index->buckets.find(service);
    if (old == before->index->buckets.end() || old->second == after)
      continue;
    compare(now, service, old->second.get(), after.get());
  }
  find_skipped_moves(now, *before->index);
  for (const auto& [target, place] : table_->index->targets) {
    const bool is_new = before->index->targets.count(target) == 0;
    const bool known_service =
        before->index->services.count(place.service->id) > 0;
    if (is_new && known_service)
      added_[target] = now;
  }
}

void flow_steering::find_skipped_moves(time_us now,
                                       const service_index& before) {
  // A flag that was set and cleared between two revisions taken into use leaves
  // no trace in the buckets, but other balancers may have opened flows
  // elsewhere meanwhile: the owner must be asked.
  const service_index& after = *table_->index;
  std::set<service_id> affected;
  for (const auto& [id, place] : after.targets) {
    const zone_id zone = place.target->zone;
    const auto zoned = after.zone_changed.find(zone);
    const auto drained = after.drain_changed.find(id);
    const bool zone_blinked =
        zoned != after.zone_changed.end() && zoned->second > before.in_force &&
        before.zones_out.count(zone) == after.zones_out.count(zone);
    const bool drain_blinked =
        drained != after.drain_changed.end() &&
        drained->second > before.in_force &&
        before.draining.count(id) == after.draining.count(id);
    if (zone_blinked || drain_blinked)
      affected.insert(place.service->id);
  }
  for (const service_id service : affected) {
    const auto& targets = after.buckets.at(service)->targets;
    for (uint32_t bucket = 0; bucket < targets.size(); ++bucket)
      learn_moving(now, service, bucket, targets[bucket]);
  }
}

void flow_steering::compare(time_us now,
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
    state.other_used = now;
  }
}

void flow_steering::note_use(time_us now,
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
  it->second.other_used = now;
  it->second.used_since_note = true;
}

void flow_steering::send(endpoint to, packet body, size_t bytes, actions* out) {
  control_bytes_ += bytes;
  out->emplace_back(send_packet{to, std::move(body), true});
}

void flow_steering::on(time_us now, const flow_hint& m) {
  const flow_key key{m.service, m.flow};
  remember(now, key, m.target, m.opened);
  // An owner that has not come as far cannot know of the newest move.
  if (m.moving || m.in_force < table_->announced->in_force)
    return;
  // The owner knows of no older target in use: the bucket is settled.
  const auto buckets = table_->index->buckets.find(m.service);
  const auto found = moving_.find(m.service);
  if (buckets != table_->index->buckets.end() && found != moving_.end())
    found->second.erase(buckets->second->bucket_of(m.flow));
}

void flow_steering::on(time_us now, flow_records m, actions* out) {
  const auto buckets = table_->index->buckets.find(m.service);
  // Records reach a balancer that started before its configuration does.
  const bool known = buckets != table_->index->buckets.end();
  const size_t count =
      std::min({m.flows.size(), m.targets.size(), m.opened.size()});
  std::map<endpoint, flow_records> elsewhere;
  for (size_t i = 0; i < count; ++i) {
    const member_record* owner = nullptr;
    if (known) {
      const uint32_t bucket = buckets->second->bucket_of(m.flows[i]);
      owner = table_->owner_in_zone(hash_pair(m.service.value, bucket), 0);
    }
    const bool mine = m.here || owner == nullptr || owner->id == self_.id;
    if (mine || m.hops >= options_.max_hops) {
      remember(now, {m.service, m.flows[i]}, m.targets[i], m.opened[i]);
      continue;
    }
    flow_records& batch = elsewhere[owner->peer];
    batch.service = m.service;
    batch.flows.push_back(m.flows[i]);
    batch.targets.push_back(m.targets[i]);
    batch.opened.push_back(m.opened[i]);
    batch.hops = static_cast<uint8_t>(m.hops + 1);
  }
  for (auto& [to, batch] : elsewhere) {
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
        tell_owner({service, flow}, placed);
    }
  }
}

void flow_steering::tell_new_owners(const route_table& before) {
  std::map<std::pair<service_id, uint32_t>, bool> changed;
  for (const auto& [service, flows] : placements_) {
    const auto buckets = table_->index->buckets.find(service);
    if (buckets == table_->index->buckets.end())
      continue;
    for (const auto& [flow, placed] : flows) {
      const uint32_t bucket = buckets->second->bucket_of(flow);
      if (!placed.opened || !in_motion(service, bucket))
        continue;
      const auto [it, is_new] = changed.try_emplace({service, bucket}, false);
      if (is_new) {
        const uint64_t key = hash_pair(service.value, bucket);
        const member_record* old = owner_contact(before, key);
        const member_record* now = owner_contact(*table_, key);
        const bool same = old != nullptr && now != nullptr &&
                          old->id == now->id &&
                          old->incarnation == now->incarnation;
        it->second = !same;
      }
      if (it->second)
        tell_owner({service, flow}, placed);
    }
  }
}

void flow_steering::pull_moving(time_us now, actions* out) {
  // Without a configuration there is nothing to hold the answer against.
  const bool ready =
      !table_->index->services.empty() && table_->index == table_->announced;
  if (synced_ || now < next_pull_ || !ready)
    return;
  next_pull_ = now + pull_interval;
  const member_record* peer =
      table_->owner_in_zone(hash_pair(self_.incarnation, now), 0);
  if (peer == nullptr || peer->id == self_.id)
    peer = table_->owner_in_zone(hash_pair(self_.incarnation, now), 1);
  for (const zone_id zone : table_->zones_by(static_cast<uint64_t>(now))) {
    if (peer == nullptr && zone != self_.zone)
      peer = table_->usable_contact_in(zone, static_cast<uint64_t>(now));
  }
  // A balancer that is alone for long has nobody to learn from.
  if (peer == nullptr)
    synced_ = now - started_ >= options_.no_peer_timeout;
  else
    send(peer->peer, packet(moving_pull{self_.peer}), sizeof(moving_pull), out);
}

void flow_steering::on(time_us now, const moving_pull& m, actions* out) {
  // Another newcomer knows no more than the asker.
  if (!synced_ && now - started_ < options_.flow_timeout)
    return;
  moving_list list;
  list.in_force = table_->index->in_force;
  size_t bytes = 0;
  for (const auto& [service, buckets] : moving_) {
    bucket_notes notes;
    notes.service = service;
    for (const auto& [bucket, state] : buckets) {
      notes.buckets.push_back(bucket);
      notes.oldest.push_back(state.oldest);
    }
    bytes += notes.buckets.size() * note_bytes;
    if (!notes.buckets.empty())
      list.services.push_back(std::move(notes));
  }
  send(m.asker, packet(std::move(list)), bytes, out);
}

void flow_steering::on(time_us now, const moving_list& m) {
  for (const auto& notes : m.services) {
    const size_t count = std::min(notes.buckets.size(), notes.oldest.size());
    for (size_t i = 0; i < count; ++i) {
      learn_moving(now, notes.service, notes.buckets[i], notes.oldest[i]);
      // The peer has seen more moves of the bucket than this balancer.
      const auto it = moving_[notes.service].find(notes.buckets[i]);
      if (it != moving_[notes.service].end())
        it->second.oldest = notes.oldest[i];
    }
  }
  // A peer that is behind does not know of the newest moves.
  synced_ = synced_ || m.in_force >= table_->index->in_force;
}

void flow_steering::learn_moving(time_us now,
                                 service_id service,
                                 uint32_t bucket,
                                 target_id oldest) {
  const auto buckets = table_->index->buckets.find(service);
  const bool known = buckets != table_->index->buckets.end() &&
                     bucket < buckets->second->targets.size();
  if (!known)
    return;
  const auto [it, is_new] = moving_[service].try_emplace(bucket);
  if (is_new)
    it->second = moving_bucket{oldest, now, now, now, false};
  it->second.other_used = now;
}

void flow_steering::on(time_us now, bucket_notes m, actions* out) {
  const size_t count = std::min(m.buckets.size(), m.oldest.size());
  std::map<endpoint, bucket_notes> elsewhere;
  for (size_t i = 0; i < count; ++i) {
    const uint32_t bucket = m.buckets[i];
    learn_moving(now, m.service, bucket, m.oldest[i]);
    const member_record* owner =
        table_->owner_in_zone(hash_pair(m.service.value, bucket), 0);
    if (owner == nullptr || owner->id == self_.id || m.hops > 0)
      continue;
    bucket_notes& note = elsewhere[owner->peer];
    note.service = m.service;
    note.buckets.push_back(bucket);
    note.oldest.push_back(m.oldest[i]);
    note.hops = 1;
  }
  for (auto& [to, note] : elsewhere)
    send(to, packet(note), note.buckets.size() * note_bytes, out);
}

void flow_steering::send_notes(time_us now, actions* out) {
  for (auto& [service, buckets] : moving_) {
    std::map<endpoint, bucket_notes> notes;
    for (auto& [bucket, state] : buckets) {
      if (!state.used_since_note || now - state.noted < options_.note_interval)
        continue;
      state.noted = now;
      state.used_since_note = false;
      const uint64_t key = hash_pair(service.value, bucket);
      const member_record* owner = owner_contact(*table_, key);
      if (owner == nullptr || owner->id == self_.id)
        continue;
      bucket_notes& note = notes[owner->peer];
      note.service = service;
      note.buckets.push_back(bucket);
      note.oldest.push_back(state.oldest);
    }
    for (auto& [to, note] : notes)
      send(to, packet(note), note.buckets.size() * note_bytes, out);
  }
}

void flow_steering::copy_records(actions* out) {
  for (auto& [service, batch] : uncopied_) {
    std::map<endpoint, flow_records> copies;
    const auto buckets = table_->index->buckets.find(service);
    if (buckets == table_->index->buckets.end())
      continue;
    for (size_t i = 0; i < batch.flows.size(); ++i) {
      const uint32_t bucket = buckets->second->bucket_of(batch.flows[i]);
      const uint64_t key = hash_pair(service.value, bucket);
      const member_record* owner = owner_contact(*table_, key);
      const bool own = owner == nullptr || owner->id == self_.id;
      const next_owner to = own ? runner_up(key) : next_owner{owner, false};
      if (to.member == nullptr)
        continue;
      flow_records& copy = copies[to.member->peer];
      copy.service = service;
      copy.here = to.here;
      copy.flows.push_back(batch.flows[i]);
      copy.targets.push_back(batch.targets[i]);
      copy.opened.push_back(batch.opened[i]);
      if (copy.flows.size() < records_per_copy)
        continue;
      send(to.member->peer, packet(std::move(copy)),
           records_per_copy * record_bytes, out);
      copies.erase(to.member->peer);
    }
    for (auto& [to, copy] : copies) {
      const size_t bytes = copy.flows.size() * record_bytes;
      send(to, packet(std::move(copy)), bytes, out);
    }
  }
  uncopied_.clear();
}

void flow_steering::forget_old(time_us now) {
  // A default can be worked out again; only openings must be remembered until
  // some balancer tells of them again.
  const auto short_life =
      static_cast<uint32_t>(options_.flow_timeout / compact_tick);
  const uint32_t now_ticks = ticks(now);
  for (auto& [service, flows] : placements_) {
    for (auto it = flows.begin(); it != flows.end();) {
      const uint32_t lifetime =
          it->second.opened ? record_lifetimes * short_life : short_life;
      const bool old = now_ticks - it->second.used > lifetime;
      it = old ? flows.erase(it) : std::next(it);
      remembered_ -= old ? 1 : 0;
    }
  }
  for (auto& [service, buckets] : moving_) {
    for (auto it = buckets.begin(); it != buckets.end();) {
      const uint64_t key = hash_pair(service.value, it->first);
      const member_record* owner = owner_contact(*table_, key);
      const bool own = owner == nullptr || owner->id == self_.id;
      // Other balancers hold a bucket as moving until its owner says that it
      // is settled.
      const bool settled =
          own && now - it->second.other_used > 2 * options_.flow_timeout;
      it = settled ? buckets.erase(it) : std::next(it);
    }
  }
}

void flow_steering::tick(time_us now, actions* out) {
  if (!table_)
    return;
  if (now >= next_flush_) {
    next_flush_ = now + options_.flush_interval;
    copy_records(out);
    send_notes(now, out);
    pull_moving(now, out);
  }
  if (now >= next_forget_) {
    next_forget_ = now + forget_interval;
    forget_old(now);
  }
}

}  // namespace turmeric
