/** @file flow_steering.cpp Placement of flows and questions to owners. */
#include "turmeric/coordination/flow_steering_base.h"

#include <algorithm>
#include <cmath>

namespace turmeric {
namespace {

uint64_t owner_key(service_id service, uint32_t bucket) {
  return hash_pair(service.value, bucket);
}

}  // namespace

const member_record* owner_contact(const route_table& table, uint64_t key) {
  const std::vector<zone_id> zones = table.zones_by(key);
  if (zones.empty())
    return nullptr;
  if (zones.front() == table.self.zone)
    return table.owner_in_zone(key, 0);
  return table.usable_contact_in(zones.front(), key);
}

flow_steering::flow_steering(flow_options options,
                             member_record self,
                             flow_plants plants)
    : options_(options), self_(std::move(self)), plants_(plants) {}

bool flow_steering::young(time_us now) const {
  return now - started_ < options_.flow_timeout;
}

const flow_steering::moving_bucket* flow_steering::moving_in(
    service_id service,
    uint32_t bucket) const {
  const auto found = moving_.find(service);
  if (found == moving_.end())
    return nullptr;
  const auto it = found->second.find(bucket);
  return it == found->second.end() ? nullptr : &it->second;
}

bool flow_steering::in_motion(service_id service, uint32_t bucket) const {
  return !synced_ || moving_in(service, bucket) != nullptr ||
         announced_move(service, bucket);
}

bool flow_steering::announced_move(service_id service, uint32_t bucket) const {
  if (table_->announced == table_->index)
    return false;
  const auto now = table_->index->buckets.find(service);
  const auto next = table_->announced->buckets.find(service);
  const bool both = now != table_->index->buckets.end() &&
                    next != table_->announced->buckets.end();
  if (!both || now->second == next->second)
    return false;
  return next->second->targets[bucket] != now->second->targets[bucket];
}

std::optional<flow_steering::bucket_place> flow_steering::place_of(
    service_id service,
    flow_id flow) const {
  const auto found = table_->index->buckets.find(service);
  if (found == table_->index->buckets.end())
    return std::nullopt;
  const uint32_t bucket = found->second->bucket_of(flow);
  return bucket_place{bucket, found->second->targets[bucket],
                      in_motion(service, bucket)};
}

const target_place* flow_steering::settled_target(service_id service,
                                                  flow_id flow) const {
  const auto place = place_of(service, flow);
  const bool settled = place && !place->in_motion;
  return settled ? table_->index->find(service, place->current) : nullptr;
}

void flow_steering::steer(time_us now,
                          datagram m,
                          traffic_metrics* metrics,
                          actions* out) {
  const auto found = place_of(m.service, m.flow);
  if (!found) {
    metrics->count(result_code::refused_unknown_service);
    return;
  }
  const uint32_t bucket = found->bucket;
  if (!found->in_motion || plants_.forget_moving) {
    send_to_target(now, std::move(m), found->current, metrics, out);
    return;
  }
  const flow_key key{m.service, m.flow};
  if (placement* known = find(key)) {
    known->used = ticks(now);
    const target_id target = known->target;
    const time_us told = static_cast<time_us>(known->refreshed) * compact_tick;
    if (now - started_ - told > 2 * options_.flow_timeout) {
      known->refreshed = ticks(now);
      if (known->opened)
        tell_owner(key, *known);
    }
    note_use(now, m.service, bucket, target);
    send_to_target(now, std::move(m), target, metrics, out);
    return;
  }
  flow_query query;
  query.service = m.service;
  query.inner = std::move(m);
  query.asker = self_.peer;
  const uint64_t owned = owner_key(query.service, bucket);
  const member_record* owner = owner_contact(*table_, owned);
  if (!synced_ && (owner == nullptr || owner->id == self_.id)) {
    // This balancer cannot tell yet whether it owns the bucket.
    const next_owner peer = runner_up(owned);
    if (peer.member == nullptr)
      metrics->count(result_code::no_route);
    else
      pass_on(std::move(query), peer.member, metrics, out);
    return;
  }
  if (owner == nullptr || owner->id == self_.id)
    on(now, std::move(query), metrics, out);
  else
    pass_on(std::move(query), owner, metrics, out);
}

flow_steering::next_owner flow_steering::runner_up(uint64_t key) const {
  const member_record* second = table_->owner_in_zone(key, 1);
  if (second != nullptr)
    return {second, true};
  // A zone with one balancer has its runner-up in another zone.
  for (const zone_id zone : table_->zones_by(key)) {
    if (zone != self_.zone)
      return {table_->usable_contact_in(zone, key), false};
  }
  return {};
}

void flow_steering::pass_on(flow_query m,
                            const member_record* to,
                            traffic_metrics* metrics,
                            actions* out) {
  if (m.hops >= options_.max_hops) {
    metrics->count(result_code::hop_limit);
    return;
  }
  ++m.hops;
  metrics->count_packet_forwarded();
  out->emplace_back(send_packet{to->peer, packet(std::move(m)), true});
}

void flow_steering::on(time_us now,
                       flow_query m,
                       traffic_metrics* metrics,
                       actions* out) {
  const auto found = place_of(m.service, m.inner.flow);
  if (!found) {
    metrics->count(result_code::refused_unknown_service);
    return;
  }
  const uint32_t bucket = found->bucket;
  const uint64_t key = owner_key(m.service, bucket);
  const member_record* owner =
      m.last ? table_->owner_in_zone(key, 0) : owner_contact(*table_, key);
  const bool mine = m.here || owner == nullptr || owner->id == self_.id;
  if (!mine) {
    pass_on(std::move(m), owner, metrics, out);
    return;
  }
  const bool known = find({m.service, m.inner.flow}) != nullptr;
  // An owner that has not been up for a flow's time-out asks the balancer that
  // owned the bucket before.
  const next_owner before = runner_up(key);
  const bool unsure = !synced_ || (young(now) && found->in_motion);
  const bool ask = !known && !m.last && !m.inner.opens && unsure;
  if (ask && before.member != nullptr) {
    m.last = true;
    m.here = before.here;
    pass_on(std::move(m), before.member, metrics, out);
    return;
  }
  if (ask && !synced_) {
    metrics->count(result_code::no_route);
    return;
  }
  const target_id target = place(now, m.inner, bucket, found->current);
  if (!(m.asker == self_.peer)) {
    const placement* placed = find({m.service, m.inner.flow});
    const bool opened = placed != nullptr && placed->opened;
    const flow_hint hint{m.service, m.inner.flow,     target,
                         opened,    found->in_motion, table_->index->in_force};
    hint_bytes_ += sizeof(hint);
    send(m.asker, packet(hint), 0, out);
  }
  send_to_target(now, std::move(m.inner), target, metrics, out);
}

target_id flow_steering::place(time_us now,
                               const datagram& m,
                               uint32_t bucket,
                               target_id current) {
  const flow_key key{m.service, m.flow};
  if (placement* known = find(key)) {
    known->used = ticks(now);
    note_use(now, m.service, bucket, known->target);
    return known->target;
  }
  const moving_bucket* moving = moving_in(m.service, bucket);
  target_id target = current;
  if (m.opens) {
    target = place_new(now, m, current);
    tell_owner(key, placement{target, ticks(now), ticks(now), true});
  } else if (moving != nullptr) {
    target = moving->oldest;
    note_use(now, m.service, bucket, target);
  }
  remember(now, key, target, m.opens);
  return target;
}

bool flow_steering::cold_open_allowed(time_us now, target_id target) {
  const auto added = added_.find(target);
  if (added == added_.end())
    return true;
  const double age = static_cast<double>(now - added->second);
  const double doublings = age / static_cast<double>(options_.cold_doubling);
  if (doublings >= options_.cold_doublings) {
    added_.erase(added);
    opened_.erase(target);
    return true;
  }
  // Opens allowed so far: the integral of a rate that doubles steadily,
  // shared by all the balancers that may own buckets of the target.
  const double seconds = static_cast<double>(options_.cold_doubling) / us_per_s;
  const double whole = options_.cold_opens * seconds / std::log(2.0) *
                       (std::exp2(doublings) - 1.0);
  const auto owners = std::max<size_t>(1, table_->members.size());
  double& used = opened_[target];
  if (used + 1 > 1 + whole / static_cast<double>(owners))
    return false;
  used += 1;
  return true;
}

target_id flow_steering::place_new(time_us now,
                                   const datagram& m,
                                   target_id current) {
  // A withdrawal is heeded as soon as it is announced: what opens on a target
  // that gets no packets any more would be opened twice.
  const target_place* place = table_->index->find(m.service, current);
  const bool withdrawn =
      place != nullptr && !table_->announced->reachable(*place->target);
  if (withdrawn && !plants_.ignore_zone_out) {
    const auto next = table_->announced->buckets.find(m.service);
    if (next != table_->announced->buckets.end())
      return next->second->targets[next->second->bucket_of(m.flow)];
  }
  if (!current.valid() || cold_open_allowed(now, current))
    return current;
  // The flow is recorded, so it may go to any target that takes new flows.
  const auto& service = *table_->index->services.at(m.service);
  target_id best = current;
  uint64_t best_score = 0;
  for (const auto& target : service.targets) {
    const bool warm = added_.count(target.id) == 0;
    const uint64_t score = hash_pair(m.flow.value, target.id.value);
    if (table_->index->takes_new_flows(target) && warm && score >= best_score) {
      best = target.id;
      best_score = score;
    }
  }
  return best;
}

void flow_steering::remember(time_us now,
                             const flow_key& key,
                             target_id target,
                             bool opened) {
  if (remembered_ >= options_.max_records)
    return;
  const uint32_t tick = ticks(now);
  const auto [it, is_new] = placements_[key.service].try_emplace(
      key.flow, placement{target, tick, tick, opened});
  placement& placed = it->second;
  remembered_ += is_new ? 1 : 0;
  // An opening goes before a default, which was decided without knowing of it;
  // among openings the first one stands.
  if (!is_new && opened && !placed.opened) {
    placed.target = target;
    placed.opened = true;
  }
  placed.used = tick;
  placed.refreshed = tick;
}

uint32_t flow_steering::ticks(time_us now) const {
  return static_cast<uint32_t>((now - started_) / compact_tick);
}

flow_steering::placement* flow_steering::find(const flow_key& key) {
  const auto flows = placements_.find(key.service);
  if (flows == placements_.end())
    return nullptr;
  const auto it = flows->second.find(key.flow);
  return it == flows->second.end() ? nullptr : &it->second;
}

void flow_steering::tell_owner(const flow_key& key, const placement& placed) {
  flow_records& batch = uncopied_[key.service];
  batch.service = key.service;
  batch.flows.push_back(key.flow);
  batch.targets.push_back(placed.target);
  batch.opened.push_back(placed.opened);
}

void flow_steering::send_to_target(time_us now,
                                   datagram m,
                                   target_id target,
                                   traffic_metrics* metrics,
                                   actions* out) {
  const target_place* place = table_->index->find(m.service, target);
  if (place == nullptr) {
    metrics->count(result_code::wrong_service);
    metrics->record_broken_flow(now, m.service, self_.zone);
    return;
  }
  const bool reachable =
      table_->index->reachable(*place->target) &&
      table_->announced->zones_out.count(place->target->zone) == 0;
  if (!reachable && !plants_.ignore_zone_out) {
    metrics->count(result_code::refused_target_gone);
    return;
  }
  out->emplace_back(
      send_packet{place->target->address, packet(std::move(m)), false});
}

}  // namespace turmeric
