/** @file traffic_core_run.cpp Permits, admission and final results. */
#include <algorithm>

#include "traffic_core_internal.h"
#include "turmeric/coordination/checksum_func.h"

namespace turmeric {
namespace {

/** Answer body bytes per packet; keeps packets below the usual path MTU. */
constexpr size_t answer_part_bytes = 1200;

uint32_t to_ms(time_us t) {
  return static_cast<uint32_t>((t + us_per_ms - 1) / us_per_ms);
}

request_outcome outcome_of(work_status status) {
  switch (status) {
    case work_status::answered:
      return request_outcome::answered;
    case work_status::refused:
      return request_outcome::refused;
    case work_status::unreachable:
      return request_outcome::unreachable;
    default:
      return request_outcome::failed_after_send;
  }
}

result_code code_of(work_status status) {
  switch (status) {
    case work_status::answered:
      return result_code::ok;
    case work_status::refused:
      return result_code::refused_by_target;
    case work_status::unreachable:
      return result_code::refused_no_target;
    default:
      return result_code::unknown_outcome;
  }
}

}  // namespace

permit traffic_core::issue_permit(time_us now,
                                  service_id service,
                                  flow_id flow,
                                  request_id request,
                                  target_id target) {
  attempt a;
  a.own_permit.zone = self_.zone;
  a.own_permit.home = self_.id;
  a.own_permit.incarnation = self_.incarnation;
  a.own_permit.serial = next_serial_++;
  a.own_permit.nonce = random_();
  a.own_permit.target = target;
  a.own_permit.lifetime_ms = to_ms(options_.permit_lifetime);
  a.service = service;
  a.flow = flow;
  a.request = request;
  a.expires = now + options_.permit_lifetime;
  a.retain_until = now + options_.result_retention;
  serials_by_age_.push_back(a.own_permit.serial);
  const permit new_permit = a.own_permit;
  attempts_.emplace(new_permit.serial, std::move(a));
  return new_permit;
}

void traffic_core::on(time_us now, run_request m, actions* out) {
  if (forward_to_issuer(now, &m, out))
    return;
  const auto it = attempts_.find(m.granted_permit.serial);
  if (it == attempts_.end()) {
    // The record was evicted or never existed, so the outcome is unknown.
    send_unknown_outcome(m, out);
    return;
  }
  attempt& a = it->second;
  if (a.own_permit.nonce != m.granted_permit.nonce) {
    count(result_code::bad_signature);
    return;
  }
  if (a.service != m.service) {
    count(result_code::wrong_service);
    return;
  }
  a.reply_to = m.reply_to;
  switch (a.state) {
    case attempt_state::issued:
      admit(now, m, &a, out);
      return;
    case attempt_state::waiting:
      send_pending(a, out);
      return;
    case attempt_state::running:
      send_pending(a, out);
      if (injected_faults_.refuse_running)
        finish(now, &a, result_code::refused_busy, us_per_ms, "", out);
      return;
    case attempt_state::done:
      if (a.request != m.request)
        count(result_code::bad_packet);
      else if (injected_faults_.run_twice && a.code == result_code::ok)
        admit(now, m, &a, out);
      else
        send_result(now, a, m.missing_parts, out);
      return;
  }
}

void traffic_core::send_pending(const attempt& a, actions* out) {
  const request_pending pending{a.service, a.request, a.own_permit.serial,
                                a.own_permit.nonce};
  out->emplace_back(send_packet{a.reply_to, packet(pending), false});
}

result_code traffic_core::reason_to_refuse(time_us now,
                                           const run_request& m,
                                           const attempt& a) const {
  if (m.body.size() > options_.max_body)
    return result_code::too_large;
  if (now >= a.expires)
    return result_code::refused_expired;
  if (stopping_ || table_stale_)
    return result_code::refused_stopping;
  const indexed_target* place =
      table_->index->find(a.service, a.own_permit.target);
  if (place == nullptr)
    return result_code::refused_target_gone;
  if (withdrawn(*place->target))
    return result_code::refused_target_gone;
  const auto drained = drained_at_.find(a.own_permit.target);
  const bool drain_grace_over = drained != drained_at_.end() &&
                                now - drained->second >= options_.drain_grace;
  if (drain_grace_over && !injected_faults_.ignore_drain)
    return result_code::refused_target_gone;
  if (table_->home_of(*place->target) != self_.id)
    return result_code::refused_moved;
  return result_code::ok;
}

void traffic_core::admit(time_us now,
                         const run_request& m,
                         attempt* a,
                         actions* out) {
  ++unfinished_requests_;
  a->state = attempt_state::waiting;
  a->request = m.request;
  a->work = m.priority;
  a->arrived_at = now;
  a->deadline = now + static_cast<time_us>(m.deadline_ms) * us_per_ms;
  a->retain_until =
      std::max(a->retain_until, a->deadline + options_.result_retention);
  a->body = m.body;
  const result_code refusal = reason_to_refuse(now, m, *a);
  if (refusal != result_code::ok) {
    finish(now, a, refusal, us_per_ms, "", out);
    return;
  }
  const target_id target = a->own_permit.target;
  const indexed_target* place = table_->index->find(a->service, target);
  if (place == nullptr) {
    finish(now, a, result_code::refused_target_gone, us_per_ms, "", out);
    return;
  }
  target_gate& gate = gate_for(now, target, place->service->slots);
  const gate_decision decision =
      gate.offer(now, {a->own_permit.serial, a->work, a->deadline});
  if (!decision.queued) {
    finish(now, a, result_code::refused_busy, decision.retry_after, "", out);
    return;
  }
  start_queued(now, target, out);
}

endpoint traffic_core::other_service_address(service_id service) const {
  for (const auto& [id, place] : table_->index->targets) {
    if (place.service->id != service)
      return place.target->address;
  }
  return {};
}

target_gate& traffic_core::gate_for(time_us now,
                                    target_id target,
                                    uint32_t slots) {
  const auto it = gates_.find(target);
  if (it != gates_.end())
    return it->second;
  gate_options options = options_.gate;
  options.slots = slots;
  if (injected_faults_.no_limit)
    options.slots = slots * 1000;
  if (injected_faults_.no_limit)
    options.warm_level = 0;
  if (injected_faults_.no_ramp) {
    options.slots = slots * 4;
    options.warm_level = 0;
  }
  target_gate& gate =
      gates_.emplace(target, target_gate(options, now)).first->second;
  // An earlier home may still have requests running on all slots.
  gate.assume_running(options.slots, now + options_.take_over_wait);
  return gate;
}

void traffic_core::start_queued(time_us now, target_id target, actions* out) {
  const auto found = gates_.find(target);
  if (found == gates_.end() || !table_)
    return;
  target_gate& gate = found->second;
  for (const gate_request& expired : gate.expire(now)) {
    const auto it = attempts_.find(expired.serial);
    if (it != attempts_.end())
      finish(now, &it->second, result_code::deadline_passed, 0, "", out);
  }
  const auto drained = drained_at_.find(target);
  const bool drain_grace_over = drained != drained_at_.end() &&
                                now - drained->second >= options_.drain_grace;
  if (drain_grace_over && !injected_faults_.ignore_drain)
    refuse_waiting(now, &gate, result_code::refused_target_gone, out);
  if (table_stale_)
    return;
  while (const auto started = gate.start(now)) {
    const auto it = attempts_.find(started->serial);
    if (it == attempts_.end())
      continue;
    attempt& a = it->second;
    const indexed_target* place = table_->index->find(a.service, target);
    a.state = attempt_state::running;
    running_.insert(started->serial);
    metrics_.record_start(target);
    start_work work;
    work.serial = a.own_permit.serial;
    work.target = injected_faults_.ignore_service
                      ? other_service_address(a.service)
                      : place->target->address;
    work.service_name = full_name(*place->service);
    work.request = a.request;
    work.flow = a.flow;
    work.deadline_ms = to_ms(a.deadline - now);
    work.body = std::move(a.body);
    a.body.clear();
    out->emplace_back(std::move(work));
  }
}

void traffic_core::start_all_queued(time_us now, actions* out) {
  for (const auto& [target, gate] : gates_)
    start_queued(now, target, out);
}

std::vector<traffic_action> traffic_core::handle_work_result(time_us now,
                                                             work_result end) {
  actions out;
  const auto it = attempts_.find(end.serial);
  if (it == attempts_.end() || it->second.state != attempt_state::running)
    return out;
  attempt& a = it->second;
  running_.erase(end.serial);
  const target_id target = a.own_permit.target;
  const auto gate = gates_.find(target);
  if (gate != gates_.end()) {
    gate->second.record_outcome(now, end.serial, outcome_of(end.status));
    send_release(now, target, gate->second, &out);
  }
  time_us retry_after = end.retry_after_ms * us_per_ms;
  if (end.status == work_status::refused)
    retry_after = std::max(retry_after, options_.gate.failure_backoff);
  finish(now, &a, code_of(end.status), retry_after, std::move(end.body), &out);
  start_queued(now, target, &out);
  return out;
}

void traffic_core::finish(time_us now,
                          attempt* a,
                          result_code code,
                          time_us retry_after,
                          std::string body,
                          actions* out) {
  --unfinished_requests_;
  a->state = attempt_state::done;
  a->done_at = now;
  a->code = code;
  a->retry_after_ms = to_ms(retry_after);
  a->body = std::move(body);
  if (injected_faults_.mix_answers && code == result_code::ok)
    std::swap(a->body, swapped_body_);
  running_.erase(a->own_permit.serial);
  a->checksum = checksum(a->body);
  result_bytes_ += a->body.size();
  const indexed_target* place =
      table_->index->find(a->service, a->own_permit.target);
  const time_us objective =
      place == nullptr ? 0 : place->service->objective.latency_ms * us_per_ms;
  metrics_.record_result(now, a->service, self_.zone, a->work, code,
                         now - a->arrived_at, objective);
  const bool may_continue = place != nullptr && !stopping_ && !table_stale_ &&
                            is_eligible(*place->target) &&
                            table_->home_of(*place->target) == self_.id &&
                            attempts_.size() < options_.max_attempts;
  // Sends a permit for the flow's next request with the answer, which saves the
  // caller a round trip.
  std::vector<permit> next;
  if (may_continue) {
    next.push_back(issue_permit(now, a->service, a->flow, request_id{},
                                a->own_permit.target));
  }
  a->next = std::move(next);
  send_result(now, *a, {}, out);
}

void traffic_core::send_result(time_us now,
                               const attempt& a,
                               const std::vector<uint16_t>& missing,
                               actions* out) {
  const size_t parts = std::max<size_t>(
      1, (a.body.size() + answer_part_bytes - 1) / answer_part_bytes);
  for (size_t i = 0; i < parts; ++i) {
    const bool requested =
        missing.empty() ||
        std::find(missing.begin(), missing.end(), i) != missing.end();
    if (!requested)
      continue;
    answer_part part;
    part.service = a.service;
    part.request = a.request;
    part.serial = a.own_permit.serial;
    part.nonce = a.own_permit.nonce;
    part.code = a.code;
    part.retry_after_ms = a.retry_after_ms;
    part.part = static_cast<uint16_t>(i);
    part.parts = static_cast<uint16_t>(parts);
    part.checksum = a.checksum;
    part.body = a.body.substr(i * answer_part_bytes, answer_part_bytes);
    // A permit past half of its lifetime would probably be refused as expired.
    if (now - a.done_at < options_.permit_lifetime / 2)
      part.next = a.next;
    out->emplace_back(send_packet{a.reply_to, packet(std::move(part)), false});
  }
}

void traffic_core::on(time_us now, cancel_request m, actions* out) {
  if (forward_to_issuer(now, &m, out))
    return;
  const auto it = attempts_.find(m.granted_permit.serial);
  if (it == attempts_.end() ||
      it->second.own_permit.nonce != m.granted_permit.nonce)
    return;
  attempt& a = it->second;
  if (a.state == attempt_state::issued) {
    ++unfinished_requests_;
    a.request = m.request;
    a.reply_to = m.reply_to;
    a.arrived_at = now;
    finish(now, &a, result_code::cancelled, 0, "", out);
    return;
  }
  const auto gate = gates_.find(a.own_permit.target);
  if (a.state == attempt_state::waiting) {
    if (gate != gates_.end())
      gate->second.remove(m.granted_permit.serial);
    finish(now, &a, result_code::cancelled, 0, "", out);
    return;
  }
  const indexed_target* place =
      table_->index->find(a.service, a.own_permit.target);
  const bool eligible = place != nullptr && is_eligible(*place->target);
  if (a.state == attempt_state::running && !a.cancelled && eligible) {
    a.cancelled = true;
    out->emplace_back(
        cancel_work{a.own_permit.serial, place->target->address, a.request});
  }
}

}  // namespace turmeric
