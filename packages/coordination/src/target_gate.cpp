/** @file target_gate.cpp Ramp, queue and request outcomes of one target. */
#include "turmeric/coordination/target_gate_base.h"

#include <algorithm>

namespace turmeric {
namespace {

/** The newest duration has a weight of 1/n in the moving average. */
constexpr time_us average_weight_divisor = 8;

bool remove_from(std::deque<gate_request>* queue, uint64_t serial) {
  const auto it =
      std::find_if(queue->begin(), queue->end(),
                   [&](const gate_request& r) { return r.serial == serial; });
  if (it == queue->end())
    return false;
  queue->erase(it);
  return true;
}

}  // namespace

target_gate::target_gate(gate_options options, time_us now)
    : options_(options), last_result_(now) {}

uint32_t target_gate::concurrency_limit() const {
  return level_ >= options_.warm_level ? std::max(options_.slots, 1u) : 1;
}

time_us target_gate::start_interval() const {
  return level_ >= options_.warm_level ? 0
                                       : options_.cold_start_interval >> level_;
}

time_us& target_gate::average_duration(request_priority priority) {
  return priority == request_priority::bulk ? average_bulk_
                                            : average_interactive_;
}

time_us target_gate::latest_start(const gate_request& request) const {
  const time_us measured = request.work == request_priority::bulk
                               ? average_bulk_
                               : average_interactive_;
  const time_us duration =
      measured > 0 ? measured : options_.initial_duration_estimate;
  return request.deadline - duration - options_.answer_margin;
}

void target_gate::expire_from(std::deque<gate_request>* queue,
                              time_us now,
                              std::vector<gate_request>* out) const {
  for (auto it = queue->begin(); it != queue->end();) {
    if (latest_start(*it) <= now) {
      out->push_back(*it);
      it = queue->erase(it);
    } else {
      ++it;
    }
  }
}

uint32_t target_gate::running(time_us now) const {
  const uint32_t assumed = now < assumed_until_ ? assumed_running_ : 0;
  return static_cast<uint32_t>(running_.size()) + assumed;
}

void target_gate::assume_running(uint32_t count, time_us until) {
  assumed_running_ = count;
  assumed_until_ = until;
}

time_us target_gate::expected_wait(time_us now) const {
  const time_us longest_average =
      std::max({average_interactive_, average_bulk_,
                options_.initial_duration_estimate});
  const time_us time_per_request =
      std::max(longest_average / concurrency_limit(), start_interval());
  time_us wait = static_cast<time_us>(waiting()) * time_per_request;
  if (running(now) >= concurrency_limit())
    wait += longest_average;
  if (now < assumed_until_ && assumed_running_ >= concurrency_limit())
    wait += assumed_until_ - now;
  return std::max(wait, next_start_ - now);
}

gate_decision target_gate::offer(time_us now, const gate_request& request) {
  const time_us wait = expected_wait(now);
  const bool full = waiting() >= options_.queue_limit;
  if (full || now + wait >= latest_start(request))
    return {false, std::max(wait, us_per_ms)};
  auto& queue = request.work == request_priority::bulk ? bulk_ : interactive_;
  queue.push_back(request);
  return {true, 0};
}

bool target_gate::bulk_is_next() const {
  if (bulk_.empty())
    return false;
  // With two or more slots, one is reserved for interactive requests.
  const uint32_t bulk_limit = std::max(concurrency_limit(), 2u) - 1;
  if (running_bulk_ >= bulk_limit)
    return false;
  return interactive_.empty() ||
         starts_since_bulk_ + 1 >= options_.starts_per_bulk_start;
}

std::optional<gate_request> target_gate::start(time_us now) {
  if (waiting() == 0)
    return std::nullopt;
  if (now - last_result_ > options_.idle_reset && running_.empty()) {
    level_ = 0;
    successes_ = 0;
    last_result_ = now;
  }
  if (now < next_start_ || running(now) >= concurrency_limit())
    return std::nullopt;
  const bool bulk = bulk_is_next();
  auto& queue = bulk ? bulk_ : interactive_;
  if (queue.empty())
    return std::nullopt;
  const gate_request request = queue.front();
  queue.pop_front();
  running_[request.serial] = running_request{now, request.work};
  if (bulk)
    ++running_bulk_;
  starts_since_bulk_ = bulk ? 0 : starts_since_bulk_ + 1;
  next_start_ = now + start_interval();
  return request;
}

std::vector<gate_request> target_gate::expire(time_us now) {
  std::vector<gate_request> out;
  expire_from(&interactive_, now, &out);
  expire_from(&bulk_, now, &out);
  return out;
}

std::vector<uint64_t> target_gate::waiting_serials() const {
  std::vector<uint64_t> out;
  for (const auto* queue : {&interactive_, &bulk_}) {
    for (const auto& request : *queue)
      out.push_back(request.serial);
  }
  return out;
}

bool target_gate::remove(uint64_t serial) {
  return remove_from(&interactive_, serial) || remove_from(&bulk_, serial);
}

void target_gate::reset_ramp(time_us now) {
  level_ = 0;
  successes_ = 0;
  next_start_ = std::max(next_start_, now + options_.failure_backoff);
}

void target_gate::record_answer(time_us now, const running_request& run) {
  const time_us run_duration = now - run.started_at;
  time_us& average = average_duration(run.work);
  const auto slow_bound =
      std::max(options_.min_slow_duration,
               static_cast<time_us>(static_cast<double>(average) *
                                    options_.slow_factor));
  const bool slow = average > 0 && run_duration > slow_bound;
  // Slowness counts only on a warm target, since a cold one is expected to be
  // slow.
  if (slow && level_ >= options_.warm_level) {
    reset_ramp(now);
    return;
  }
  if (average == 0)
    average = run_duration;
  average += (run_duration - average) / average_weight_divisor;
  if (level_ >= options_.warm_level ||
      ++successes_ < options_.successes_per_level)
    return;
  ++level_;
  successes_ = 0;
}

void target_gate::record_outcome(time_us now,
                                 uint64_t serial,
                                 request_outcome outcome) {
  const auto it = running_.find(serial);
  if (it == running_.end())
    return;
  const running_request run = it->second;
  running_.erase(it);
  if (run.work == request_priority::bulk)
    --running_bulk_;
  last_result_ = now;
  if (outcome == request_outcome::answered)
    record_answer(now, run);
  else
    reset_ramp(now);
}

}  // namespace turmeric
