/** @file traffic_core.cpp Entry points, forwarding and timers. */
#include <algorithm>
#include <utility>

#include "traffic_core_internal.h"
#include "turmeric/coordination/checksum_func.h"

namespace turmeric {
traffic_core::traffic_core(traffic_options options,
                           member_record self,
                           random_source random,
                           traffic_injected_faults injected_faults)
    : options_(std::move(options)),
      self_(std::move(self)),
      random_(std::move(random)),
      injected_faults_(injected_faults),
      flows_(options_.flows, self_, injected_faults_.flows) {}

std::vector<traffic_action> traffic_core::update_routes(
    time_us now,
    std::shared_ptr<const route_table> table) {
  actions out;
  if (started_ < 0)
    started_ = now;
  table_ = std::move(table);
  flows_.update_routes(now, table_);
  table_stale_ = false;
  last_active_ = now;
  // A drain applies to requests as soon as it is announced. Only opaque flows
  // wait until all balancers agree on it.
  const auto& draining = table_->announced->draining;
  for (const target_id target : draining)
    drained_at_.emplace(target, now);
  for (auto it = drained_at_.begin(); it != drained_at_.end();) {
    const bool still_draining = draining.count(it->first) > 0;
    it = still_draining ? std::next(it) : drained_at_.erase(it);
  }
  release_moved_targets(now, &out);
  start_all_queued(now, &out);
  return out;
}

std::vector<traffic_action> traffic_core::receive_from_caller(time_us now,
                                                              endpoint from,
                                                              packet body) {
  actions out;
  metrics_.count_packet_in();
  const bool accepted = std::visit(
      [&](auto& m) {
        using message = std::decay_t<decltype(m)>;
        constexpr bool from_callers = std::is_same_v<message, permit_request> ||
                                      std::is_same_v<message, run_request> ||
                                      std::is_same_v<message, cancel_request> ||
                                      std::is_same_v<message, datagram>;
        if constexpr (from_callers) {
          m.reply_to = from;
          m.hops = 0;
        }
        return from_callers;
      },
      body);
  if (accepted)
    handle(now, std::move(body), &out);
  else
    count(result_code::bad_packet);  // Only balancers may send these types.
  return out;
}

std::vector<traffic_action> traffic_core::receive_from_peer(time_us now,
                                                            packet body) {
  actions out;
  metrics_.count_packet_in();
  handle(now, std::move(body), &out);
  return out;
}

void traffic_core::handle(time_us now, packet body, actions* out) {
  if (last_active_ >= 0 && now - last_active_ > options_.pause_threshold)
    table_stale_ = true;
  if (!table_) {
    count(result_code::no_route);
    return;
  }
  std::visit([&](auto& m) { on(now, std::move(m), out); }, body);
}

void traffic_core::on(time_us, const permit_grant&, actions*) {
  count(result_code::bad_packet);
}

void traffic_core::on(time_us, const answer_part&, actions*) {
  count(result_code::bad_packet);
}

void traffic_core::on(time_us, const request_pending&, actions*) {
  count(result_code::bad_packet);
}

void traffic_core::on(time_us now, permit_request m, actions* out) {
  const auto found = table_->index->services.find(m.service);
  // Without a configuration this balancer lacks the list of services, so a peer
  // decides.
  if (table_->index->in_force == 0) {
    forward(std::move(m), table_->any_peer(random_()), out);
    return;
  }
  if (found == table_->index->services.end()) {
    refuse_permit(m, result_code::refused_unknown_service,
                  options_.no_target_retry_after, out);
    return;
  }
  const target_config* target = pick_target(*found->second, m);
  if (target == nullptr) {
    refuse_permit(m, result_code::refused_no_target,
                  options_.no_target_retry_after, out);
    return;
  }
  m.reassignable = m.reassignable || m.previous != target->id;
  m.previous = target->id;
  const bool is_home =
      target->zone == self_.zone && table_->home_of(*target) == self_.id;
  if (is_home && m.reassignable) {
    target = least_loaded(*found->second, m.flow, target);
    m.previous = target->id;
    m.reassignable = false;
  }
  if (target->zone != self_.zone) {
    forward(std::move(m),
            table_->member_in_zone(target->zone, target->id.value), out);
    return;
  }
  const member_id home = table_->home_of(*target);
  if (home != self_.id) {
    if (!home.valid())
      refuse_permit(m, result_code::refused_no_target,
                    options_.no_target_retry_after, out);
    else
      forward(std::move(m), table_->find_member(home), out);
    return;
  }
  if (stopping_ || table_stale_ || attempts_.size() >= options_.max_attempts) {
    refuse_permit(m, result_code::refused_stopping, us_per_ms, out);
    return;
  }
  permit_grant grant{m.service, m.flow, m.request, {}};
  grant.granted = issue_permit(now, m.service, m.flow, m.request, target->id);
  out->emplace_back(send_packet{m.reply_to, packet(std::move(grant)), false});
}

const target_config* traffic_core::pick_target(const service_config& service,
                                               const permit_request& m) const {
  const service_index& index = *table_->index;
  const indexed_target* place = index.find(m.service, m.previous);
  if (place != nullptr && is_eligible(*place->target))
    return place->target;
  return choose_target(service, m.flow, [this](const target_config& target) {
    return is_eligible(target);
  });
}

bool traffic_core::withdrawn(const target_config& target) const {
  if (injected_faults_.ignore_zone_out)
    return false;
  return !table_->index->accepts_traffic(target) ||
         !table_->announced->accepts_traffic(target);
}

bool traffic_core::is_eligible(const target_config& target) const {
  const bool draining = table_->index->draining.count(target.id) > 0 ||
                        table_->announced->draining.count(target.id) > 0;
  return !withdrawn(target) && (!draining || injected_faults_.ignore_drain);
}

void traffic_core::refuse_permit(const permit_request& m,
                                 result_code code,
                                 time_us retry_after,
                                 actions* out) {
  count(code);
  answer_part part;
  part.service = m.service;
  part.request = m.request;
  part.code = code;
  part.retry_after_ms = static_cast<uint32_t>(retry_after / us_per_ms);
  out->emplace_back(send_packet{m.reply_to, packet(std::move(part)), false});
}

void traffic_core::send_unknown_outcome(const run_request& m, actions* out) {
  count(result_code::unknown_outcome);
  answer_part part;
  part.service = m.service;
  part.request = m.request;
  part.serial = m.granted_permit.serial;
  part.nonce = m.granted_permit.nonce;
  part.code = result_code::unknown_outcome;
  part.checksum = checksum(part.body);
  out->emplace_back(send_packet{m.reply_to, packet(std::move(part)), false});
}

void traffic_core::on(time_us now, datagram m, actions* out) {
  // The table may lack withdrawals that happened during the pause.
  if (table_stale_)
    count(result_code::no_route);
  else
    flows_.steer(now, std::move(m), &metrics_, out);
}

void traffic_core::on(time_us now, flow_query m, actions* out) {
  if (table_stale_)
    count(result_code::no_route);
  else
    flows_.on(now, std::move(m), &metrics_, out);
}

void traffic_core::on(time_us now, const flow_hint& m, actions*) {
  flows_.on(now, m);
}

void traffic_core::on(time_us now, flow_records m, actions* out) {
  flows_.on(now, std::move(m), out);
}

void traffic_core::on(time_us now, moving_buckets m, actions* out) {
  flows_.on(now, std::move(m), out);
}

void traffic_core::on(time_us now,
                      const moving_buckets_request& m,
                      actions* out) {
  flows_.on(now, m, out);
}

void traffic_core::on(time_us now, const moving_buckets_reply& m, actions*) {
  flows_.on(now, m);
}

void traffic_core::stop(time_us now) {
  if (!std::exchange(stopping_, true))
    stop_began_ = now;
}

bool traffic_core::may_end(time_us now) const {
  const bool expired = now - stop_began_ >= options_.permit_lifetime;
  return stopping_ && expired && unfinished_requests_ == 0;
}

std::vector<traffic_action> traffic_core::tick(time_us now) {
  actions out;
  if (last_active_ >= 0 && now - last_active_ > options_.pause_threshold)
    table_stale_ = true;
  last_active_ = now;
  start_all_queued(now, &out);
  cancel_overdue(now, &out);
  flows_.tick(now, &out);
  sample_loads(now, &out);
  evict_expired(now);
  return out;
}

void traffic_core::evict_expired(time_us now) {
  while (!serials_by_age_.empty()) {
    const auto it = attempts_.find(serials_by_age_.front());
    if (it != attempts_.end()) {
      const attempt& a = it->second;
      const bool in_progress = a.state == attempt_state::waiting ||
                               a.state == attempt_state::running;
      const bool over_limit = result_bytes_ > options_.max_result_bytes;
      if (in_progress || (now < a.retain_until && !over_limit))
        return;
      result_bytes_ -= a.state == attempt_state::done ? a.body.size() : 0;
      attempts_.erase(it);
    }
    serials_by_age_.pop_front();
  }
}

}  // namespace turmeric
