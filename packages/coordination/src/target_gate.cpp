/** @file target_gate.cpp Ramp, queue and evidence of one target. */
#include "turmeric/coordination/target_gate_base.h"

#include <algorithm>

namespace turmeric {
namespace {

/** Weight of the newest duration in the usual one, as 1/n. */
constexpr time_us usual_weight = 8;

bool remove_from(std::deque<gate_request>* queue, uint64_t serial) {
  const auto it =
      std::find_if(queue->begin(), queue->end(),
                   [&](const gate_request& i) { return i.serial == serial; });
  if (it == queue->end())
    return false;
  queue->erase(it);
  return true;
}

}  // namespace

target_gate::target_gate(gate_options options, time_us now)
    : options_(options), last_result_(now) {}

uint32_t target_gate::limit() const {
  return level_ >= options_.warm_level ? std::max(options_.slots, 1u) : 1;
}

time_us target_gate::gap() const {
  return level_ >= options_.warm_level ? 0 : options_.cold_gap >> level_;
}

time_us& target_gate::usual(work_class work) {
  return work == work_class::bulk ? usual_bulk_ : usual_interactive_;
}

time_us target_gate::latest_start(const gate_request& item) const {
  const time_us known =
      item.work == work_class::bulk ? usual_bulk_ : usual_interactive_;
  const time_us duration = known > 0 ? known : options_.first_estimate;
  return item.deadline - duration - options_.answer_margin;
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
  const uint32_t assumed = now < assumed_until_ ? assumed_ : 0;
  return static_cast<uint32_t>(running_.size()) + assumed;
}

void target_gate::assume_running(uint32_t count, time_us until) {
  assumed_ = count;
  assumed_until_ = until;
}

time_us target_gate::expected_wait(time_us now) const {
  const time_us usual =
      std::max({usual_interactive_, usual_bulk_, options_.first_estimate});
  const time_us each = std::max(usual / limit(), gap());
  time_us wait = static_cast<time_us>(waiting()) * each;
  if (running(now) >= limit())
    wait += usual;
  if (now < assumed_until_ && assumed_ >= limit())
    wait += assumed_until_ - now;
  return std::max(wait, next_start_ - now);
}

gate_decision target_gate::offer(time_us now, const gate_request& item) {
  const time_us wait = expected_wait(now);
  const bool full = waiting() >= options_.queue_limit;
  if (full || now + wait >= latest_start(item))
    return {false, std::max(wait, us_per_ms)};
  auto& queue = item.work == work_class::bulk ? bulk_ : interactive_;
  queue.push_back(item);
  return {true, 0};
}

bool target_gate::bulk_turn() const {
  if (bulk_.empty())
    return false;
  // One slot stays free of bulk work as soon as there are two.
  const uint32_t bulk_limit = std::max(limit(), 2u) - 1;
  if (running_bulk_ >= bulk_limit)
    return false;
  return interactive_.empty() || interactive_starts_ + 1 >= options_.bulk_share;
}

std::optional<gate_request> target_gate::start(time_us now) {
  if (waiting() == 0)
    return std::nullopt;
  if (now - last_result_ > options_.idle_reset && running_.empty()) {
    level_ = 0;
    successes_ = 0;
    last_result_ = now;
  }
  if (now < next_start_ || running(now) >= limit())
    return std::nullopt;
  const bool bulk = bulk_turn();
  auto& queue = bulk ? bulk_ : interactive_;
  if (queue.empty())
    return std::nullopt;
  const gate_request item = queue.front();
  queue.pop_front();
  running_[item.serial] = started{now, item.work};
  if (bulk)
    ++running_bulk_;
  interactive_starts_ = bulk ? 0 : interactive_starts_ + 1;
  next_start_ = now + gap();
  return item;
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
    for (const auto& item : *queue)
      out.push_back(item.serial);
  }
  return out;
}

bool target_gate::remove(uint64_t serial) {
  return remove_from(&interactive_, serial) || remove_from(&bulk_, serial);
}

void target_gate::fall_back(time_us now) {
  level_ = 0;
  successes_ = 0;
  next_start_ = std::max(next_start_, now + options_.failure_backoff);
}

void target_gate::climb(time_us now, const started& run) {
  const time_us took = now - run.at;
  time_us& usual_time = usual(run.work);
  const auto slow_bound =
      std::max(options_.slow_floor,
               static_cast<time_us>(static_cast<double>(usual_time) *
                                    options_.slow_factor));
  const bool slow = usual_time > 0 && took > slow_bound;
  // The usual duration is learned only from a target that is warm, since a
  // cold one is slow by nature.
  if (slow && level_ >= options_.warm_level) {
    fall_back(now);
    return;
  }
  if (usual_time == 0)
    usual_time = took;
  usual_time += (took - usual_time) / usual_weight;
  if (level_ >= options_.warm_level ||
      ++successes_ < options_.successes_per_level)
    return;
  ++level_;
  successes_ = 0;
}

void target_gate::record_outcome(time_us now,
                                 uint64_t serial,
                                 request_outcome evidence) {
  const auto it = running_.find(serial);
  if (it == running_.end())
    return;
  const started run = it->second;
  running_.erase(it);
  if (run.work == work_class::bulk)
    --running_bulk_;
  last_result_ = now;
  if (evidence == request_outcome::answered)
    climb(now, run);
  else
    fall_back(now);
}

}  // namespace turmeric
