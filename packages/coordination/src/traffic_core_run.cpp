/** @file traffic_core_run.cpp Permits, admission and final results. */
#include <algorithm>

#include "traffic_core_internal.h"
#include "turmeric/coordination/checksum_func.h"

namespace turmeric {
namespace {

/** Bytes of an answer in one packet; below the usual path MTU. */
constexpr size_t part_bytes = 1200;

uint32_t to_ms(time_us t) {
  return static_cast<uint32_t>((t + us_per_ms - 1) / us_per_ms);
}

gate_evidence evidence_of(work_status status) {
  switch (status) {
    case work_status::answered:
      return gate_evidence::answered;
    case work_status::refused:
      return gate_evidence::refused;
    case work_status::unreachable:
      return gate_evidence::unreachable;
    default:
      return gate_evidence::broken;
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

permit traffic_core::issue(time_us now,
                           service_id service,
                           flow_id flow,
                           request_id request,
                           target_id target) {
  attempt a;
  a.right.zone = self_.zone;
  a.right.home = self_.id;
  a.right.incarnation = self_.incarnation;
  a.right.serial = next_serial_++;
  a.right.nonce = random_();
  a.right.target = target;
  a.right.lifetime_ms = to_ms(options_.permit_lifetime);
  a.service = service;
  a.flow = flow;
  a.request = request;
  a.expires = now + options_.permit_lifetime;
  a.forget = now + options_.result_retention;
  by_age_.push_back(a.right.serial);
  const permit right = a.right;
  attempts_.emplace(right.serial, std::move(a));
  return right;
}

void traffic_core::on(time_us now, run_request m, actions* out) {
  if (forward_to_issuer(now, &m, out))
    return;
  const auto it = attempts_.find(m.right.serial);
  if (it == attempts_.end()) {
    // Forgotten or never issued: whether it ran is not known any more.
    answer_unknown(m, out);
    return;
  }
  attempt& a = it->second;
  if (a.right.nonce != m.right.nonce) {
    count(result_code::bad_signature);
    return;
  }
  if (a.service != m.service) {
    count(result_code::wrong_service);
    return;
  }
  a.reply_to = m.reply_to;
  switch (a.at) {
    case stage::issued:
      run(now, m, &a, out);
      return;
    case stage::waiting:
      send_pending(a, out);
      return;
    case stage::running:
      send_pending(a, out);
      if (plants_.refuse_running)
        finish(now, &a, result_code::refused_busy, us_per_ms, "", out);
      return;
    case stage::done:
      if (a.request != m.request)
        count(result_code::bad_packet);
      else if (plants_.run_twice && a.code == result_code::ok)
        run(now, m, &a, out);
      else
        send_result(now, a, m.missing, out);
      return;
  }
}

void traffic_core::send_pending(const attempt& a, actions* out) {
  const request_pending pending{a.service, a.request, a.right.serial,
                                a.right.nonce};
  out->emplace_back(send_packet{a.reply_to, packet(pending), false});
}

result_code traffic_core::reason_to_refuse(time_us now,
                                           const run_request& m,
                                           const attempt& a) const {
  if (m.body.size() > options_.max_body)
    return result_code::too_large;
  if (now >= a.expires)
    return result_code::refused_expired;
  if (stopping_ || doubtful_)
    return result_code::refused_stopping;
  const target_place* place = table_->index->find(a.service, a.right.target);
  if (place == nullptr)
    return result_code::refused_target_gone;
  if (withdrawn(*place->target))
    return result_code::refused_target_gone;
  const auto drained = drained_at_.find(a.right.target);
  const bool drained_long = drained != drained_at_.end() &&
                            now - drained->second >= options_.drain_grace;
  if (drained_long && !plants_.ignore_drain)
    return result_code::refused_target_gone;
  if (table_->home_of(*place->target) != self_.id)
    return result_code::refused_moved;
  return result_code::ok;
}

void traffic_core::run(time_us now,
                       const run_request& m,
                       attempt* a,
                       actions* out) {
  ++unfinished_;
  a->at = stage::waiting;
  a->request = m.request;
  a->work = m.work;
  a->arrived = now;
  a->deadline = now + static_cast<time_us>(m.deadline_ms) * us_per_ms;
  a->forget = std::max(a->forget, a->deadline + options_.result_retention);
  a->body = m.body;
  const result_code refusal = reason_to_refuse(now, m, *a);
  if (refusal != result_code::ok) {
    finish(now, a, refusal, us_per_ms, "", out);
    return;
  }
  const target_id target = a->right.target;
  const target_place* place = table_->index->find(a->service, target);
  if (place == nullptr) {
    finish(now, a, result_code::refused_target_gone, us_per_ms, "", out);
    return;
  }
  target_gate& gate = gate_of(now, target, place->service->slots);
  const gate_decision decision =
      gate.offer(now, {a->right.serial, a->work, a->deadline});
  if (!decision.queued) {
    finish(now, a, result_code::refused_busy, decision.retry_after, "", out);
    return;
  }
  pump(now, target, out);
}

endpoint traffic_core::foreign_address(service_id service) const {
  for (const auto& [id, place] : table_->index->targets) {
    if (place.service->id != service)
      return place.target->address;
  }
  return {};
}

target_gate& traffic_core::gate_of(time_us now,
                                   target_id target,
                                   uint32_t slots) {
  const auto it = gates_.find(target);
  if (it != gates_.end())
    return it->second;
  gate_options options = options_.gate;
  options.slots = slots;
  if (plants_.no_limit)
    options.slots = slots * 1000;
  if (plants_.no_limit)
    options.warm_level = 0;
  if (plants_.no_ramp) {
    options.slots = slots * 4;
    options.warm_level = 0;
  }
  target_gate& gate =
      gates_.emplace(target, target_gate(options, now)).first->second;
  // An earlier home may still have requests running there.
  gate.assume_running(options.slots, now + options_.take_over_wait);
  return gate;
}

void traffic_core::pump(time_us now, target_id target, actions* out) {
  const auto found = gates_.find(target);
  if (found == gates_.end() || !table_)
    return;
  target_gate& gate = found->second;
  for (const gate_item& item : gate.expire(now)) {
    const auto it = attempts_.find(item.serial);
    if (it != attempts_.end())
      finish(now, &it->second, result_code::deadline_passed, 0, "", out);
  }
  const auto drained = drained_at_.find(target);
  const bool drained_long = drained != drained_at_.end() &&
                            now - drained->second >= options_.drain_grace;
  if (drained_long && !plants_.ignore_drain)
    refuse_waiting(now, &gate, result_code::refused_target_gone, out);
  if (doubtful_)
    return;
  while (const auto item = gate.start(now)) {
    const auto it = attempts_.find(item->serial);
    if (it == attempts_.end())
      continue;
    attempt& a = it->second;
    const target_place* place = table_->index->find(a.service, target);
    a.at = stage::running;
    running_.insert(item->serial);
    metrics_.started(target);
    start_work work;
    work.serial = a.right.serial;
    work.target = plants_.ignore_service ? foreign_address(a.service)
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

void traffic_core::pump_all(time_us now, actions* out) {
  for (const auto& [target, gate] : gates_)
    pump(now, target, out);
}

std::vector<traffic_action> traffic_core::handle_work_result(time_us now,
                                                             work_result end) {
  actions out;
  const auto it = attempts_.find(end.serial);
  if (it == attempts_.end() || it->second.at != stage::running)
    return out;
  attempt& a = it->second;
  running_.erase(end.serial);
  const target_id target = a.right.target;
  const auto gate = gates_.find(target);
  if (gate != gates_.end()) {
    gate->second.ended(now, end.serial, evidence_of(end.status));
    send_release(now, target, gate->second, &out);
  }
  time_us retry_after = end.retry_after_ms * us_per_ms;
  if (end.status == work_status::refused)
    retry_after = std::max(retry_after, options_.gate.cool_down);
  finish(now, &a, code_of(end.status), retry_after, std::move(end.body), &out);
  pump(now, target, &out);
  return out;
}

void traffic_core::finish(time_us now,
                          attempt* a,
                          result_code code,
                          time_us retry_after,
                          std::string body,
                          actions* out) {
  --unfinished_;
  a->at = stage::done;
  a->done = now;
  a->code = code;
  a->retry_after_ms = to_ms(retry_after);
  a->body = std::move(body);
  if (plants_.mix_answers && code == result_code::ok)
    std::swap(a->body, last_body_);
  running_.erase(a->right.serial);
  a->checksum = checksum(a->body);
  kept_bytes_ += a->body.size();
  const target_place* place = table_->index->find(a->service, a->right.target);
  const time_us objective =
      place == nullptr ? 0 : place->service->objective.latency_ms * us_per_ms;
  metrics_.ended(now, a->service, self_.zone, a->work, code, now - a->arrived,
                 objective);
  const bool may_continue = place != nullptr && !stopping_ && !doubtful_ &&
                            may_work_on(*place->target) &&
                            table_->home_of(*place->target) == self_.id &&
                            attempts_.size() < options_.max_attempts;
  // The next permit travels with the answer, ahead of need.
  std::vector<permit> next;
  if (may_continue) {
    next.push_back(
        issue(now, a->service, a->flow, request_id{}, a->right.target));
  }
  a->next = std::move(next);
  send_result(now, *a, {}, out);
}

void traffic_core::send_result(time_us now,
                               const attempt& a,
                               const std::vector<uint16_t>& missing,
                               actions* out) {
  const size_t parts =
      std::max<size_t>(1, (a.body.size() + part_bytes - 1) / part_bytes);
  for (size_t i = 0; i < parts; ++i) {
    const bool wanted =
        missing.empty() ||
        std::find(missing.begin(), missing.end(), i) != missing.end();
    if (!wanted)
      continue;
    answer_part part;
    part.service = a.service;
    part.request = a.request;
    part.serial = a.right.serial;
    part.nonce = a.right.nonce;
    part.code = a.code;
    part.retry_after_ms = a.retry_after_ms;
    part.part = static_cast<uint16_t>(i);
    part.parts = static_cast<uint16_t>(parts);
    part.checksum = a.checksum;
    part.body = a.body.substr(i * part_bytes, part_bytes);
    // A permit that has aged on the way would only be refused.
    if (now - a.done < options_.permit_lifetime / 2)
      part.next = a.next;
    out->emplace_back(send_packet{a.reply_to, packet(std::move(part)), false});
  }
}

void traffic_core::on(time_us now, cancel_request m, actions* out) {
  if (forward_to_issuer(now, &m, out))
    return;
  const auto it = attempts_.find(m.right.serial);
  if (it == attempts_.end() || it->second.right.nonce != m.right.nonce)
    return;
  attempt& a = it->second;
  if (a.at == stage::issued) {
    ++unfinished_;
    a.request = m.request;
    a.reply_to = m.reply_to;
    a.arrived = now;
    finish(now, &a, result_code::cancelled, 0, "", out);
    return;
  }
  const auto gate = gates_.find(a.right.target);
  if (a.at == stage::waiting) {
    if (gate != gates_.end())
      gate->second.remove(m.right.serial);
    finish(now, &a, result_code::cancelled, 0, "", out);
    return;
  }
  const target_place* place = table_->index->find(a.service, a.right.target);
  const bool known = place != nullptr && may_work_on(*place->target);
  if (a.at == stage::running && !a.cancelled && known) {
    a.cancelled = true;
    out->emplace_back(
        cancel_work{a.right.serial, place->target->address, a.request});
  }
}

}  // namespace turmeric
