/** @file forwarding_core_checks.cpp Timers of flows: openings and requests
 * without an answer, and flows that no longer keep a target busy. */
#include <algorithm>

#include "turmeric/coordination/forwarding_core_base.h"

namespace turmeric {

void forwarding_core::schedule_quiet_check(time_us now,
                                           const flow_key& key,
                                           flow_state* flow) {
  if (std::exchange(flow->quiet_check_pending, true))
    return;
  quiet_checks_.push_back({now + options_.active_timeout, key});
}

void forwarding_core::schedule_request_check(time_us now, const flow_key& key) {
  const time_us lost_after = loads_.lost_after(key.service);
  if (lost_after == 0)
    return;
  const time_us due = now + std::min(lost_after, options_.active_timeout);
  request_checks_.push({due, now, key});
}

void forwarding_core::tick(time_us now) {
  check_answers(now);
  check_requests(now);
  check_answered(now);
  check_quiet(now);
  check_idle(now);
}

void forwarding_core::check_answers(time_us now) {
  while (!answer_checks_.empty() && answer_checks_.front().due <= now) {
    const flow_check due_check = answer_checks_.front();
    answer_checks_.pop_front();
    const auto it = flows_.find(due_check.key);
    if (it != flows_.end() &&
        it->second.opened <= due_check.due - options_.answer_timeout)
      count_unanswered(now, due_check.key, &it->second, false);
  }
}

void forwarding_core::check_requests(time_us now) {
  while (!request_checks_.empty() && request_checks_.top().due <= now) {
    const request_check check = request_checks_.top();
    request_checks_.pop();
    const auto it = flows_.find(check.key);
    if (it == flows_.end() || it->second.request_started != check.started)
      continue;
    const forwarding_target* target = table_->target_of(it->second.token);
    set_in_flight(now, &it->second, nullptr);
    if (target == nullptr)
      continue;
    ++counters_.requests_lost;
    placement_.on_request_lost(*target);
    loads_.add_reset(now, target->entry.service);
    adapt_admission(now, target->entry.service, false);
  }
}

void forwarding_core::check_answered(time_us now) {
  while (!answered_checks_.empty() && answered_checks_.front().due <= now) {
    const flow_check due_check = answered_checks_.front();
    answered_checks_.pop_front();
    const auto it = flows_.find(due_check.key);
    if (it == flows_.end())
      continue;
    flow_state& flow = it->second;
    flow.answered_check_pending = false;
    if (!flow.active || flow.awaits_answer)
      continue;
    if (now - flow.last_segment >= options_.answered_timeout) {
      set_active(now, &flow, false);
    } else {
      flow.answered_check_pending = true;
      answered_checks_.push_back(
          {now + options_.answered_timeout, due_check.key});
    }
  }
}

void forwarding_core::check_quiet(time_us now) {
  while (!quiet_checks_.empty() && quiet_checks_.front().due <= now) {
    const flow_check due_check = quiet_checks_.front();
    quiet_checks_.pop_front();
    const auto it = flows_.find(due_check.key);
    if (it == flows_.end())
      continue;
    if (now - it->second.last_segment < options_.active_timeout) {
      quiet_checks_.push_back({now + options_.active_timeout, due_check.key});
      continue;
    }
    it->second.quiet_check_pending = false;
    end_request(now, due_check.key, &it->second);
    set_active(now, &it->second, false);
    idle_checks_.push_back({now + options_.flow_idle_timeout, due_check.key});
  }
}

void forwarding_core::check_idle(time_us now) {
  while (!idle_checks_.empty() && idle_checks_.front().due <= now) {
    const flow_check due_check = idle_checks_.front();
    idle_checks_.pop_front();
    const auto it = flows_.find(due_check.key);
    // A flow that continues gets a new check when it turns quiet again.
    if (it == flows_.end() || it->second.quiet_check_pending)
      continue;
    if (now - it->second.last_segment >= options_.flow_idle_timeout) {
      end_flow(now, due_check.key);
    } else {
      idle_checks_.push_back({now + options_.flow_idle_timeout, due_check.key});
    }
  }
}

time_us forwarding_core::next_tick() const {
  time_us next = INT64_MAX;
  if (!answer_checks_.empty())
    next = std::min(next, answer_checks_.front().due);
  if (!request_checks_.empty())
    next = std::min(next, request_checks_.top().due);
  if (!answered_checks_.empty())
    next = std::min(next, answered_checks_.front().due);
  if (!quiet_checks_.empty())
    next = std::min(next, quiet_checks_.front().due);
  if (!idle_checks_.empty())
    next = std::min(next, idle_checks_.front().due);
  return std::min(next, admission_.next_due());
}

}  // namespace turmeric
