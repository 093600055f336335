/** @file flow_steering.cpp Placement of flows and queries to bucket owners. */
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
  const std::vector<zone_id> zones = table.zones_ranked_by(key);
  if (zones.empty())
    return nullptr;
  if (zones.front() == table.self.zone)
    return table.owner_in_zone(key, 0);
  return table.usable_member_in_zone(zones.front(), key);
}

flow_steering::flow_steering(flow_options options,
                             member_record self,
                             flow_injected_faults faults)
    : options_(options), self_(std::move(self)), faults_(faults) {}

bool flow_steering::started_recently(time_us now) const {
  return now - started_ < options_.flow_timeout;
}

const flow_steering::moving_bucket* flow_steering::find_moving(
    service_id service,
    uint32_t bucket) const {
  const auto found = moving_.find(service);
  if (found == moving_.end())
    return nullptr;
  const auto it = found->second.find(bucket);
  return it == found->second.end() ? nullptr : &it->second;
}

bool flow_steering::is_moving(service_id service, uint32_t bucket) const {
  return !synced_ || find_moving(service, bucket) != nullptr ||
         announced_move(service, bucket);
}

bool flow_steering::announced_move(service_id service, uint32_t bucket) const {
  if (table_->announced == table_->index)
    return false;
  const auto in_force_buckets = table_->index->buckets.find(service);
  const auto next = table_->announced->buckets.find(service);
  const bool in_both = in_force_buckets != table_->index->buckets.end() &&
                       next != table_->announced->buckets.end();
  if (!in_both || in_force_buckets->second == next->second)
    return false;
  return next->second->targets[bucket] !=
         in_force_buckets->second->targets[bucket];
}

std::optional<flow_steering::bucket_assignment> flow_steering::find_bucket(
    service_id service,
    flow_id flow) const {
  const auto found = table_->index->buckets.find(service);
  if (found == table_->index->buckets.end())
    return std::nullopt;
  const uint32_t bucket = found->second->bucket_of(flow);
  return bucket_assignment{bucket, found->second->targets[bucket],
                           is_moving(service, bucket)};
}

const indexed_target* flow_steering::settled_target(service_id service,
                                                    flow_id flow) const {
  const auto assigned = find_bucket(service, flow);
  const bool settled = assigned && !assigned->is_moving;
  return settled ? table_->index->find(service, assigned->current) : nullptr;
}

void flow_steering::steer(time_us now,
                          datagram m,
                          traffic_metrics* metrics,
                          actions* out) {
  const auto found = find_bucket(m.service, m.flow);
  if (!found) {
    metrics->count(result_code::refused_unknown_service);
    return;
  }
  const uint32_t bucket = found->bucket;
  if (!found->is_moving || faults_.ignore_moving_buckets) {
    send_to_target(now, std::move(m), found->current, metrics, out);
    return;
  }
  const flow_key key{m.service, m.flow};
  if (placement* stored = find(key)) {
    stored->last_used = compact_time(now);
    const target_id target = stored->target;
    const time_us reported_at =
        static_cast<time_us>(stored->last_reported) * compact_time_unit;
    if (now - started_ - reported_at > 2 * options_.flow_timeout) {
      stored->last_reported = compact_time(now);
      if (stored->opened)
        queue_record(key, *stored);
    }
    mark_older_target_used(now, m.service, bucket, target);
    send_to_target(now, std::move(m), target, metrics, out);
    return;
  }
  flow_query query;
  query.service = m.service;
  query.inner = std::move(m);
  query.requester = self_.peer;
  const uint64_t bucket_key = owner_key(query.service, bucket);
  const member_record* owner = owner_contact(*table_, bucket_key);
  if (!synced_ && (owner == nullptr || owner->id == self_.id)) {
    // Before the first sync, this balancer cannot determine whether it owns the
    // bucket, so the standby owner decides.
    const receiver peer = standby_owner(bucket_key);
    if (peer.member == nullptr)
      metrics->count(result_code::no_route);
    else
      forward_query(std::move(query), peer.member, metrics, out);
    return;
  }
  if (owner == nullptr || owner->id == self_.id)
    on(now, std::move(query), metrics, out);
  else
    forward_query(std::move(query), owner, metrics, out);
}

flow_steering::receiver flow_steering::standby_owner(uint64_t key) const {
  const member_record* second = table_->owner_in_zone(key, 1);
  if (second != nullptr)
    return {second, true};
  // The standby owner of a zone with one balancer is in another zone.
  for (const zone_id zone : table_->zones_ranked_by(key)) {
    if (zone != self_.zone)
      return {table_->usable_member_in_zone(zone, key), false};
  }
  return {};
}

void flow_steering::forward_query(flow_query m,
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
  const auto found = find_bucket(m.service, m.inner.flow);
  if (!found) {
    metrics->count(result_code::refused_unknown_service);
    return;
  }
  const uint32_t bucket = found->bucket;
  const uint64_t key = owner_key(m.service, bucket);
  const member_record* owner = m.no_further_query
                                   ? table_->owner_in_zone(key, 0)
                                   : owner_contact(*table_, key);
  const bool for_this_balancer =
      m.receiver_decides || owner == nullptr || owner->id == self_.id;
  if (!for_this_balancer) {
    forward_query(std::move(m), owner, metrics, out);
    return;
  }
  const bool is_stored = find({m.service, m.inner.flow}) != nullptr;
  // An owner that started less than flow_timeout ago may lack records of flows
  // that are still open, so it queries the balancer that owned the bucket
  // before.
  const receiver previous = standby_owner(key);
  const bool may_lack_record =
      !synced_ || (started_recently(now) && found->is_moving);
  const bool query_standby =
      !is_stored && !m.no_further_query && !m.inner.opens && may_lack_record;
  if (query_standby && previous.member != nullptr) {
    m.no_further_query = true;
    m.receiver_decides = previous.here;
    forward_query(std::move(m), previous.member, metrics, out);
    return;
  }
  if (query_standby && !synced_) {
    metrics->count(result_code::no_route);
    return;
  }
  const target_id target = place_flow(now, m.inner, bucket, found->current);
  if (!(m.requester == self_.peer)) {
    const placement* placed = find({m.service, m.inner.flow});
    const bool opened = placed != nullptr && placed->opened;
    const flow_hint hint{m.service, m.inner.flow,     target,
                         opened,    found->is_moving, table_->index->in_force};
    hint_bytes_ += sizeof(hint);
    send(m.requester, packet(hint), 0, out);
  }
  send_to_target(now, std::move(m.inner), target, metrics, out);
}

target_id flow_steering::place_flow(time_us now,
                                    const datagram& m,
                                    uint32_t bucket,
                                    target_id current) {
  const flow_key key{m.service, m.flow};
  if (placement* stored = find(key)) {
    stored->last_used = compact_time(now);
    mark_older_target_used(now, m.service, bucket, stored->target);
    return stored->target;
  }
  const moving_bucket* moving = find_moving(m.service, bucket);
  target_id target = current;
  if (m.opens) {
    target = place_new_flow(now, m, current);
    queue_record(key,
                 placement{target, compact_time(now), compact_time(now), true});
  } else if (moving != nullptr) {
    target = moving->oldest;
    mark_older_target_used(now, m.service, bucket, target);
  }
  store_placement(now, key, target, m.opens);
  return target;
}

bool flow_steering::cold_open_allowed(time_us now, target_id target) {
  const auto added = cold_since_.find(target);
  if (added == cold_since_.end())
    return true;
  const double age = static_cast<double>(now - added->second);
  const double doublings =
      age / static_cast<double>(options_.cold_doubling_time);
  if (doublings >= options_.warm_after_doublings) {
    cold_since_.erase(added);
    cold_opens_used_.erase(target);
    return true;
  }
  // Opens allowed so far: the integral of a rate that doubles every
  // cold_doubling_time, divided among all balancers, since each of them may own
  // buckets of the target.
  const double doubling_seconds =
      static_cast<double>(options_.cold_doubling_time) / us_per_s;
  const double total_opens = options_.cold_opens_per_s * doubling_seconds /
                             std::log(2.0) * (std::exp2(doublings) - 1.0);
  const auto owners = std::max<size_t>(1, table_->members.size());
  double& opens_used = cold_opens_used_[target];
  if (opens_used + 1 > 1 + total_opens / static_cast<double>(owners))
    return false;
  opens_used += 1;
  return true;
}

target_id flow_steering::place_new_flow(time_us now,
                                        const datagram& m,
                                        target_id current) {
  // A withdrawal applies as soon as it is announced, before it is in force: a
  // flow opened on a target that no longer gets packets would have to be opened
  // again.
  const indexed_target* place = table_->index->find(m.service, current);
  const bool withdrawn =
      place != nullptr && !table_->announced->accepts_traffic(*place->target);
  if (withdrawn && !faults_.ignore_zone_out) {
    const auto next = table_->announced->buckets.find(m.service);
    if (next != table_->announced->buckets.end())
      return next->second->targets[next->second->bucket_of(m.flow)];
  }
  if (!current.valid() || cold_open_allowed(now, current))
    return current;
  // The owner records the flow, so it may go to any target that takes
  // new flows.
  const auto& service = *table_->index->services.at(m.service);
  target_id best = current;
  uint64_t best_score = 0;
  for (const auto& target : service.targets) {
    const bool warm = cold_since_.count(target.id) == 0;
    const uint64_t score = hash_pair(m.flow.value, target.id.value);
    if (table_->index->accepts_new_flows(target) && warm &&
        score >= best_score) {
      best = target.id;
      best_score = score;
    }
  }
  return best;
}

void flow_steering::store_placement(time_us now,
                                    const flow_key& key,
                                    target_id target,
                                    bool opened) {
  if (tracked_flows_ >= options_.max_records)
    return;
  const uint32_t stored_time = compact_time(now);
  const auto [it, is_new] = placements_[key.service].try_emplace(
      key.flow, placement{target, stored_time, stored_time, opened});
  placement& placed = it->second;
  tracked_flows_ += is_new ? 1 : 0;
  // An opening replaces a default, which was chosen without a record of the
  // opening; of several openings, the first one stays.
  if (!is_new && opened && !placed.opened) {
    placed.target = target;
    placed.opened = true;
  }
  placed.last_used = stored_time;
  placed.last_reported = stored_time;
}

uint32_t flow_steering::compact_time(time_us now) const {
  return static_cast<uint32_t>((now - started_) / compact_time_unit);
}

flow_steering::placement* flow_steering::find(const flow_key& key) {
  const auto flows = placements_.find(key.service);
  if (flows == placements_.end())
    return nullptr;
  const auto it = flows->second.find(key.flow);
  return it == flows->second.end() ? nullptr : &it->second;
}

void flow_steering::queue_record(const flow_key& key, const placement& placed) {
  flow_records& batch = pending_records_[key.service];
  batch.service = key.service;
  batch.flows.push_back(key.flow);
  batch.targets.push_back(placed.target);
  batch.placed_at_opening.push_back(placed.opened);
}

void flow_steering::send_to_target(time_us now,
                                   datagram m,
                                   target_id target,
                                   traffic_metrics* metrics,
                                   actions* out) {
  const indexed_target* place = table_->index->find(m.service, target);
  if (place == nullptr) {
    metrics->count(result_code::wrong_service);
    metrics->record_broken_flow(now, m.service, self_.zone);
    return;
  }
  const bool reachable =
      table_->index->accepts_traffic(*place->target) &&
      table_->announced->withdrawn_zones.count(place->target->zone) == 0;
  if (!reachable && !faults_.ignore_zone_out) {
    metrics->count(result_code::refused_target_gone);
    return;
  }
  out->emplace_back(
      send_packet{place->target->address, packet(std::move(m)), false});
}

}  // namespace turmeric
