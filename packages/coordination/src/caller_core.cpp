/** @file caller_core.cpp Permits, retransmission, assembly and retries. */
#include "turmeric/coordination/caller_core_base.h"

#include <algorithm>

#include "turmeric/coordination/checksum_func.h"

namespace turmeric {
namespace {

bool worth_retrying(result_code code) {
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
      retries_(options.retry_burst) {}

std::vector<caller_action> caller_core::submit(time_us now,
                                               caller_request request) {
  actions out;
  retries_ = std::min(options_.retry_burst, retries_ + options_.retry_ratio);
  const request_id id = request.id;
  call& c = open_[id];
  c.request = std::move(request);
  c.submitted = now;
  ask(now, &c, &out);
  return out;
}

void caller_core::ask(time_us now, call* c, actions* out) {
  c->at = stage::asking;
  c->right.reset();
  c->parts.clear();
  c->parts_expected = 0;
  c->rto = options_.first_rto;
  c->first_sent = now;
  const flow_key key{c->request.service, c->request.flow};
  const auto spare = spares_.find(key);
  if (spare != spares_.end()) {
    const spare_permit kept = spare->second;
    spares_.erase(spare);
    const time_us half_life = kept.right.lifetime_ms * us_per_ms / 2;
    if (now - kept.received < half_life) {
      c->right = kept.right;
      send_run(now, c, out);
      return;
    }
  }
  transmit(now, c, out);
}

void caller_core::send_run(time_us now, call* c, actions* out) {
  c->at = stage::sent;
  ++c->attempts;
  c->rto = options_.first_rto;
  c->first_sent = now;
  transmit(now, c, out);
}

void caller_core::transmit(time_us now, call* c, actions* out) {
  c->sent = now;
  const caller_request& r = c->request;
  if (c->at == stage::asking) {
    permit_request ask;
    ask.service = r.service;
    ask.flow = r.flow;
    ask.request = r.id;
    const auto known = flow_targets_.find({r.service, r.flow});
    if (known != flow_targets_.end())
      ask.previous = known->second;
    out->emplace_back(caller_send{packet(std::move(ask))});
    return;
  }
  run_request run;
  run.service = r.service;
  run.flow = r.flow;
  run.request = r.id;
  run.right = *c->right;
  run.repeatable = r.repeatable;
  run.work = r.work;
  run.deadline_ms =
      static_cast<uint32_t>(std::max<time_us>(0, r.deadline - now) / us_per_ms);
  run.body = r.body;
  if (!c->parts.empty()) {
    for (uint16_t i = 0; i < c->parts_expected; ++i) {
      if (c->parts.count(i) == 0)
        run.missing.push_back(i);
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
  const auto it = open_.find(m.request);
  if (it == open_.end() || !it->second.right)
    return;
  const permit& right = *it->second.right;
  if (right.serial == m.serial && right.nonce == m.nonce)
    it->second.first_sent = now;
}

void caller_core::on_grant(time_us now, const permit_grant& m, actions* out) {
  const auto it = open_.find(m.request);
  if (it == open_.end())
    return;
  call& c = it->second;
  const bool own = c.request.service == m.service && c.request.flow == m.flow;
  if (c.at != stage::asking || !own)
    return;
  flow_targets_[{m.service, m.flow}] = m.granted.target;
  // With most of the time gone, a request that was not sent yet is better ended
  // as not run than left in doubt.
  const time_us left = c.request.deadline - now;
  const bool late = left < options_.least_time / 2 && now - c.submitted > left;
  if (late) {
    finish(c, c.maybe_ran ? result_code::unknown_outcome : c.last_refusal, "",
           out);
    return;
  }
  c.right = m.granted;
  send_run(now, &c, out);
}

void caller_core::on_answer(time_us now, const answer_part& m, actions* out) {
  const auto it = open_.find(m.request);
  if (it == open_.end() || it->second.request.service != m.service)
    return;
  call& c = it->second;
  if (m.serial == 0) {
    if (c.at == stage::asking)
      ended(now, &c, m, "", out);
    return;
  }
  // Parts of another attempt never mix with those of this one.
  const bool current = c.at == stage::sent && c.right &&
                       c.right->serial == m.serial && c.right->nonce == m.nonce;
  if (!current || m.part >= m.parts)
    return;
  if (c.parts_expected != 0 && c.parts_expected != m.parts)
    return;
  c.parts_expected = m.parts;
  c.parts[m.part] = m.body;
  c.first_sent = now;
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
  keep_spare(now, c, m);
  ended(now, &c, m, std::move(body), out);
}

void caller_core::keep_spare(time_us now, const call& c, const answer_part& m) {
  const flow_key key{c.request.service, c.request.flow};
  if (m.next.empty())
    return;
  flow_targets_[key] = m.next.front().target;
  spares_[key] = spare_permit{m.next.front(), now};
}

void caller_core::ended(time_us now,
                        call* c,
                        const answer_part& m,
                        std::string body,
                        actions* out) {
  if (m.code == result_code::ok) {
    finish(*c, m.code, std::move(body), out);
    return;
  }
  if (m.code == result_code::refused_target_gone)
    flow_targets_.erase({c->request.service, c->request.flow});
  retry_or_finish(now, c, m.code, m.retry_after_ms * us_per_ms, out);
}

bool caller_core::spend_retry() {
  if (retries_ < 1.0)
    return false;
  retries_ -= 1.0;
  return true;
}

void caller_core::retry_or_finish(time_us now,
                                  call* c,
                                  result_code code,
                                  time_us retry_after,
                                  actions* out) {
  const bool unknown = code == result_code::unknown_outcome;
  c->maybe_ran = c->maybe_ran || unknown;
  c->retry_after_ms = static_cast<uint32_t>(retry_after / us_per_ms);
  const bool may_repeat =
      unknown ? c->request.repeatable : worth_retrying(code);
  if (!unknown)
    c->last_refusal = code;
  const auto spread = static_cast<uint64_t>(retry_after / 2 + us_per_ms);
  time_us wait = retry_after + static_cast<time_us>(random_() % spread);
  if (!options_.respect_retry_after)
    wait = 0;
  const bool in_time = now + wait + options_.least_time < c->request.deadline;
  if (!may_repeat || !in_time || !spend_retry()) {
    finish(*c, c->maybe_ran ? result_code::unknown_outcome : code, "", out);
    return;
  }
  c->at = stage::backing_off;
  c->resume = now + wait;
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
  open_.erase(r.id);
  out->emplace_back(std::move(r));
}

std::vector<caller_action> caller_core::cancel(time_us, request_id id) {
  actions out;
  const auto it = open_.find(id);
  if (it == open_.end())
    return out;
  const call& c = it->second;
  if (c.at == stage::sent) {
    cancel_request m{c.request.service, id, *c.right, {}, 0};
    out.emplace_back(caller_send{packet(std::move(m))});
    return out;
  }
  finish(c, c.maybe_ran ? result_code::unknown_outcome : result_code::cancelled,
         "", &out);
  return out;
}

std::vector<caller_action> caller_core::tick(time_us now) {
  actions out;
  std::vector<request_id> ids;
  for (const auto& [id, c] : open_)
    ids.push_back(id);
  bool silent = false;
  for (const request_id id : ids) {
    call& c = open_.at(id);
    if (now >= c.request.deadline) {
      const bool may_run = c.at == stage::sent || c.maybe_ran;
      finish(c, may_run ? result_code::unknown_outcome : c.last_refusal, "",
             &out);
      continue;
    }
    if (c.at == stage::backing_off) {
      if (now >= c.resume)
        ask(now, &c, &out);
      continue;
    }
    const bool quiet = now - c.first_sent >= options_.silent_path;
    silent = silent || quiet;
    if (now - c.sent >= c.rto) {
      c.rto = std::min(options_.max_rto, c.rto * 2);
      transmit(now, &c, &out);
    }
  }
  if (silent && now - path_opened_ >= options_.silent_path) {
    path_opened_ = now;
    out.insert(out.begin(), caller_new_path{});
  }
  return out;
}

}  // namespace turmeric
