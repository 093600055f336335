/** @file admission.cpp Limits, waits and refusals of openings. */
#include "turmeric/coordination/overload/admission_base.h"

#include <algorithm>
#include <iterator>

namespace turmeric {
namespace {

/** Time after which admission goes on if released openings were not started,
 * since no flow may be left whose end would release the next ones. */
constexpr time_us release_interval = us_per_ms;

}  // namespace

admission::admission(admission_options options)
    : options_(options), shares_(options.shares) {}

bool admission::over_share(time_us now,
                           const std::string& service,
                           uint32_t caller,
                           size_t waiting) const {
  return options_.fair_shares &&
         shares_.over_share(now, service, caller, waiting);
}

void admission::count_admitted(time_us now,
                               const std::string& service,
                               uint32_t caller) {
  if (options_.fair_shares)
    shares_.on_admitted(now, service, caller);
}

bool admission::has_room(const service_state& state) const {
  return state.limit.room(state.in_flight) > 0;
}

void admission::schedule_release(time_us now, const service_state& state) {
  if (!state.queue.empty() && has_room(state))
    due_ = std::min(due_, now);
}

admission_verdict admission::on_opening(time_us now,
                                        const std::string& service,
                                        const waiting_opening& opening,
                                        service_load load) {
  if (!options_.enabled)
    return admission_verdict::admit;
  if (is_waiting(key_of(opening.opening)))
    return admission_verdict::wait;
  const uint32_t caller = opening.opening.source.ip;
  const auto it = services_.find(service);
  if (it != services_.end() && it->second.limit.is_set()) {
    it->second.limit.lift_if_idle(now, load, options_.limit);
    it->second.limit.lift_if_stale(now, options_.limit);
    schedule_release(now, it->second);
  }
  // Another balancer may have opened the flow from a later copy.
  const bool is_first_copy = opening.opening.acknowledged == 0;
  if (it == services_.end() || !it->second.limit.is_set() || !is_first_copy) {
    count_admitted(now, service, caller);
    return admission_verdict::admit;
  }
  service_state& state = it->second;
  queued_opening entry;
  entry.over_share =
      over_share(now, service, caller, state.queue.waiting_of(caller));
  if ((state.queue.empty() && has_room(state)) ||
      (opening.highest_priority && !entry.over_share)) {
    count_admitted(now, service, caller);
    return admission_verdict::admit;
  }
  entry.what = opening;
  return enqueue(now, &state, entry);
}

admission_verdict admission::enqueue(time_us now,
                                     service_state* state,
                                     queued_opening entry) {
  state->limit.on_wait(now);
  time_us max_wait = options_.max_wait;
  if (entry.what.latency_objective > 0) {
    const double share = options_.objective_share *
                         static_cast<double>(entry.what.latency_objective);
    max_wait = std::min(max_wait, static_cast<time_us>(share));
  }
  if (entry.what.arrived != 0) {
    max_wait =
        std::min(max_wait, entry.what.arrived + options_.last_decision - now);
  }
  entry.since = now;
  entry.deadline = now + max_wait;
  entry.number = next_number_++;
  const bool has_turn =
      state->queue.size() < state->limit.room(state->in_flight);
  if (max_wait <= 0 ||
      (!has_turn && state->queue.expected_wait(now, entry) > max_wait) ||
      !make_place(now, entry))
    return admission_verdict::refuse;
  state->queue.insert(now, entry);
  waiting_.insert(key_of(entry.what.opening));
  due_ = std::min(due_, entry.deadline);
  schedule_release(now, *state);
  return admission_verdict::wait;
}

bool admission::make_place(time_us now, const queued_opening& entry) {
  if (waiting_.size() < options_.max_waiting)
    return true;
  service_state* last = nullptr;
  for (auto& item : services_) {
    opening_queue& queue = item.second.queue;
    if (!queue.empty() &&
        (last == nullptr || precedes(last->queue.back(), queue.back())))
      last = &item.second;
  }
  if (last == nullptr || !precedes(entry, last->queue.back()))
    return false;
  // Bounds what is kept if take_released() is not called in between.
  if (evicted_.size() >= options_.max_waiting)
    return false;
  finish_wait(now, last->queue.remove_back(), admission_verdict::refuse,
              &evicted_);
  due_ = std::min(due_, now);
  return true;
}

admission::service_state& admission::state_of(const std::string& service) {
  const auto it = services_.find(service);
  if (it != services_.end())
    return it->second;
  if (services_.size() >= options_.max_services) {
    for (auto old = services_.begin(); old != services_.end();) {
      const service_state& state = old->second;
      const bool idle =
          state.in_flight == 0 && !state.limit.is_set() && state.queue.empty();
      old = idle ? services_.erase(old) : std::next(old);
    }
  }
  return services_[service];
}

void admission::on_started(time_us, const std::string& service) {
  if (options_.enabled)
    ++state_of(service).in_flight;
}

void admission::on_finished(time_us now, const std::string& service) {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.in_flight == 0)
    return;
  --it->second.in_flight;
  schedule_release(now, it->second);
}

void admission::on_outcome(time_us now,
                           const std::string& service,
                           service_load load,
                           bool answered) {
  if (!options_.enabled)
    return;
  service_state& state = state_of(service);
  state.limit.on_outcome(now, load, answered, state.in_flight, options_.limit);
  schedule_release(now, state);
}

void admission::finish_wait(time_us now,
                            const queued_opening& entry,
                            admission_verdict verdict,
                            std::vector<released_opening>* out) {
  waiting_.erase(key_of(entry.what.opening));
  out->push_back(
      {entry.what.opening, verdict, now - entry.since, entry.what.arrived});
}

void admission::release(time_us now,
                        const std::string& service,
                        service_state* state,
                        std::vector<released_opening>* out) {
  opening_queue& queue = state->queue;
  state->limit.lift_if_stale(now, options_.limit);
  if (state->limit.is_set())
    state->limit.on_wait(now);
  for (const auto& entry : queue.remove_overdue(now, now - 1))
    finish_wait(now, entry, admission_verdict::refuse, out);
  const uint32_t room = state->limit.room(state->in_flight);
  uint32_t released = 0;
  while (released < room && !queue.empty()) {
    const queued_opening& next = queue.front();
    const uint32_t caller = next.what.opening.source.ip;
    if (!next.over_share && over_share(now, service, caller, 0)) {
      queue.set_front_over_share();
      continue;
    }
    finish_wait(now, queue.release_front(now), admission_verdict::admit, out);
    count_admitted(now, service, caller);
    ++released;
  }
  for (const auto& entry : queue.remove_overdue(now, now))
    finish_wait(now, entry, admission_verdict::refuse, out);
  if (released > 0 && !queue.empty())
    due_ = std::min(due_, now + release_interval);
  due_ = std::min(due_, queue.earliest_deadline());
}

std::vector<released_opening> admission::take_released(time_us now) {
  std::vector<released_opening> out;
  if (now < due_)
    return out;
  out.swap(evicted_);
  due_ = INT64_MAX;
  for (auto& item : services_) {
    if (!item.second.queue.empty())
      release(now, item.first, &item.second, &out);
  }
  return out;
}

void admission::drop_waiting() {
  for (auto& item : services_)
    item.second.queue.clear();
  waiting_.clear();
  evicted_.clear();
  due_ = INT64_MAX;
}

bool admission::is_waiting(const flow_key& key) const {
  return waiting_.count(key) != 0;
}

time_us admission::next_due() const {
  return due_;
}

std::vector<admission_status> admission::status() const {
  std::vector<admission_status> out;
  for (const auto& item : services_) {
    const service_state& state = item.second;
    if (state.in_flight > 0 || state.limit.is_set())
      out.push_back({item.first, state.limit.value(), state.in_flight,
                     state.queue.size()});
  }
  return out;
}

}  // namespace turmeric
