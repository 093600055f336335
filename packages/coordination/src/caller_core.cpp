/** @file caller_core.cpp Permits, retransmission, assembly and retries. */
#include "turmeric/coordination/caller_core_base.h"

#include <algorithm>

#include "turmeric/coordination/checksum_func.h"

namespace turmeric {
namespace {

bool is_retryable(result_code code) {
  switch (code) {
    case result_code::refused_unknown_service:
    case result_code::too_large:
    case result_code::cancelled:
    case result_code::deadline_passed:
      return false;
    default:
      return says_not_run(code);
  }
}

}  // namespace

caller_core::caller_core(caller_options options, random_source random)
    : options_(options),
      random_(std::move(random)),
      retry_tokens_(options.retry_burst) {}

std::vector<caller_action> caller_core::submit(time_us now,
                                               caller_request request) {
  actions out;
  retry_tokens_ =
      std::min(options_.retry_burst, retry_tokens_ + options_.retry_ratio);
  const request_id id = request.id;
  call& c = calls_[id];
  c.request = std::move(request);
  c.submitted = now;
  request_permit(now, &c, &out);
  return out;
}

void caller_core::request_permit(time_us now, call* c, actions* out) {
  c->state = call_state::awaiting_permit;
  c->current_permit.reset();
  c->parts.clear();
  c->parts_expected = 0;
  c->rto = options_.initial_rto;
  c->last_progress = now;
  const flow_key key{c->request.service, c->request.flow};
  const auto entry = cached_permits_.find(key);
  if (entry != cached_permits_.end()) {
    const cached_permit cached = entry->second;
    cached_permits_.erase(entry);
    const time_us half_lifetime = cached.unused.lifetime_ms * us_per_ms / 2;
    if (now - cached.received < half_lifetime) {
      c->current_permit = cached.unused;
      send_run(now, c, out);
      return;
    }
  }
  transmit(now, c, out);
}

void caller_core::send_run(time_us now, call* c, actions* out) {
  c->state = call_state::awaiting_result;
  ++c->attempts;
  c->rto = options_.initial_rto;
  c->last_progress = now;
  transmit(now, c, out);
}

void caller_core::transmit(time_us now, call* c, actions* out) {
  c->last_sent = now;
  const caller_request& r = c->request;
  if (c->state == call_state::awaiting_permit) {
    permit_request message;
    message.service = r.service;
    message.flow = r.flow;
    message.request = r.id;
    const auto last_target = last_targets_.find({r.service, r.flow});
    if (last_target != last_targets_.end())
      message.previous = last_target->second;
    out->emplace_back(caller_send{packet(std::move(message))});
    return;
  }
  run_request run;
  run.service = r.service;
  run.flow = r.flow;
  run.request = r.id;
  run.granted_permit = *c->current_permit;
  run.repeatable = r.repeatable;
  run.priority = r.work;
  run.deadline_ms =
      static_cast<uint32_t>(std::max<time_us>(0, r.deadline - now) / us_per_ms);
  run.body = r.body;
  if (!c->parts.empty()) {
    for (uint16_t i = 0; i < c->parts_expected; ++i) {
      if (c->parts.count(i) == 0)
        run.missing_parts.push_back(i);
    }
  }
  out->emplace_back(caller_send{packet(std::move(run))});
}

std::vector<caller_action> caller_core::receive(time_us now,
                                                const packet& body) {
  actions out;
  if (const auto* grant = std::get_if<permit_grant>(&body))
    on_grant(now, *grant, &out);
  else if (const auto* part = std::get_if<answer_part>(&body))
    on_answer(now, *part, &out);
  else if (const auto* pending = std::get_if<request_pending>(&body))
    on_pending(now, *pending);
  return out;
}

void caller_core::on_pending(time_us now, const request_pending& m) {
  const auto it = calls_.find(m.request);
  if (it == calls_.end() || !it->second.current_permit)
    return;
  const permit& expected = *it->second.current_permit;
  if (expected.serial == m.serial && expected.nonce == m.nonce)
    it->second.last_progress = now;
}

void caller_core::on_grant(time_us now, const permit_grant& m, actions* out) {
  const auto it = calls_.find(m.request);
  if (it == calls_.end())
    return;
  call& c = it->second;
  const bool same_flow =
      c.request.service == m.service && c.request.flow == m.flow;
  if (c.state != call_state::awaiting_permit || !same_flow)
    return;
  last_targets_[{m.service, m.flow}] = m.granted.target;
  // More than half of the time is over and little is left, so the answer would
  // probably miss the deadline and leave the outcome unknown. If no earlier
  // attempt may have run, ending the request unsent reports it as not run.
  const time_us remaining = c.request.deadline - now;
  const bool too_late =
      remaining < options_.min_retry_time / 2 && now - c.submitted > remaining;
  if (too_late) {
    finish(c, c.may_have_run ? result_code::unknown_outcome : c.last_refusal,
           "", out);
    return;
  }
  c.current_permit = m.granted;
  send_run(now, &c, out);
}

void caller_core::on_answer(time_us now, const answer_part& m, actions* out) {
  const auto it = calls_.find(m.request);
  if (it == calls_.end() || it->second.request.service != m.service)
    return;
  call& c = it->second;
  if (m.serial == 0) {
    if (c.state == call_state::awaiting_permit)
      on_final_result(now, &c, m, "", out);
    return;
  }
  // Drops parts of other attempts, so that they never mix with this one's.
  const bool current = c.state == call_state::awaiting_result &&
                       c.current_permit &&
                       c.current_permit->serial == m.serial &&
                       c.current_permit->nonce == m.nonce;
  if (!current || m.part >= m.parts)
    return;
  if (c.parts_expected != 0 && c.parts_expected != m.parts)
    return;
  c.parts_expected = m.parts;
  c.parts[m.part] = m.body;
  c.last_progress = now;
  if (c.parts.size() < m.parts)
    return;
  std::string body;
  for (const auto& [number, part] : c.parts)
    body += part;
  if (checksum(body) != m.checksum) {
    c.parts.clear();
    c.parts_expected = 0;
    return;
  }
  cache_permit(now, c, m);
  on_final_result(now, &c, m, std::move(body), out);
}

void caller_core::cache_permit(time_us now,
                               const call& c,
                               const answer_part& m) {
  const flow_key key{c.request.service, c.request.flow};
  if (m.next.empty())
    return;
  last_targets_[key] = m.next.front().target;
  cached_permits_[key] = cached_permit{m.next.front(), now};
}

void caller_core::on_final_result(time_us now,
                                  call* c,
                                  const answer_part& m,
                                  std::string body,
                                  actions* out) {
  if (m.code == result_code::ok) {
    finish(*c, m.code, std::move(body), out);
    return;
  }
  if (m.code == result_code::refused_target_gone)
    last_targets_.erase({c->request.service, c->request.flow});
  retry_or_finish(now, c, m.code, m.retry_after_ms * us_per_ms, out);
}

bool caller_core::take_retry_token() {
  if (retry_tokens_ < 1.0)
    return false;
  retry_tokens_ -= 1.0;
  return true;
}

void caller_core::retry_or_finish(time_us now,
                                  call* c,
                                  result_code code,
                                  time_us retry_after,
                                  actions* out) {
  const bool unknown = code == result_code::unknown_outcome;
  c->may_have_run = c->may_have_run || unknown;
  c->retry_after_ms = static_cast<uint32_t>(retry_after / us_per_ms);
  const bool may_repeat = unknown ? c->request.repeatable : is_retryable(code);
  if (!unknown)
    c->last_refusal = code;
  const auto jitter_range = static_cast<uint64_t>(retry_after / 2 + us_per_ms);
  time_us wait = retry_after + static_cast<time_us>(random_() % jitter_range);
  if (!options_.respect_retry_after)
    wait = 0;
  const bool in_time =
      now + wait + options_.min_retry_time < c->request.deadline;
  if (!may_repeat || !in_time || !take_retry_token()) {
    finish(*c, c->may_have_run ? result_code::unknown_outcome : code, "", out);
    return;
  }
  c->state = call_state::backing_off;
  c->retry_at = now + wait;
}

void caller_core::finish(const call& c,
                         result_code code,
                         std::string body,
                         actions* out) {
  caller_result r;
  r.id = c.request.id;
  r.code = code;
  r.body = std::move(body);
  r.attempts = c.attempts;
  r.retry_after_ms = c.retry_after_ms;
  calls_.erase(r.id);
  out->emplace_back(std::move(r));
}

std::vector<caller_action> caller_core::cancel(time_us, request_id id) {
  actions out;
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return out;
  const call& c = it->second;
  if (c.state == call_state::awaiting_result) {
    cancel_request m{c.request.service, id, *c.current_permit, {}, 0};
    out.emplace_back(caller_send{packet(std::move(m))});
    return out;
  }
  finish(c,
         c.may_have_run ? result_code::unknown_outcome : result_code::cancelled,
         "", &out);
  return out;
}

std::vector<caller_action> caller_core::tick(time_us now) {
  actions out;
  std::vector<request_id> ids;
  for (const auto& [id, c] : calls_)
    ids.push_back(id);
  bool path_silent = false;
  for (const request_id id : ids) {
    call& c = calls_.at(id);
    if (now >= c.request.deadline) {
      const bool may_run =
          c.state == call_state::awaiting_result || c.may_have_run;
      finish(c, may_run ? result_code::unknown_outcome : c.last_refusal, "",
             &out);
      continue;
    }
    if (c.state == call_state::backing_off) {
      if (now >= c.retry_at)
        request_permit(now, &c, &out);
      continue;
    }
    const bool is_silent = now - c.last_progress >= options_.path_timeout;
    path_silent = path_silent || is_silent;
    if (now - c.last_sent >= c.rto) {
      c.rto = std::min(options_.max_rto, c.rto * 2);
      transmit(now, &c, &out);
    }
  }
  if (path_silent && now - path_opened_ >= options_.path_timeout) {
    path_opened_ = now;
    out.insert(out.begin(), caller_new_path{});
  }
  return out;
}

}  // namespace turmeric
