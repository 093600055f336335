/** @file target_gate_base.h Admission of requests to one target.
 *
 * Uses in-band results only: answers, refusals and durations. A target starts
 * cold. Its ramp level rises with successful requests and returns to 0 at the
 * first that fails or, once the target is warm, is slow. The deadlines of the
 * waiting requests bound the queue.
 */
#ifndef TURMERIC_COORDINATION_TARGET_GATE_BASE_H_
#define TURMERIC_COORDINATION_TARGET_GATE_BASE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "turmeric/state/message_type.h"
#include "turmeric/state/time_type.h"

namespace turmeric {

struct gate_options {
  uint32_t slots = 2;  ///< Requests running at once on a warm target.
  int warm_level = 4;  ///< Ramp level at which all slots are used.
  int successes_per_level = 2;
  /** Time between two starts at level 0; halved at each level. */
  time_us cold_start_interval = 400 * us_per_ms;
  time_us failure_backoff = 300 * us_per_ms;  ///< No starts after a failure.
  double slow_factor = 4.0;  ///< Slow: longer than the average times this.
  /** Shorter requests never count as slow. */
  time_us min_slow_duration = 50 * us_per_ms;
  /** Time without results after which the target is cold again. */
  time_us idle_reset = 60 * us_per_s;
  /** Duration assumed before the first answer. */
  time_us initial_duration_estimate = 100 * us_per_ms;
  /** Time reserved before the deadline to return the answer to the caller. */
  time_us answer_margin = 200 * us_per_ms;
  size_t queue_limit = 64;  ///< Waiting requests of both classes.
  /** While both classes wait, one start in this many is a bulk request. */
  uint32_t starts_per_bulk_start = 8;
};

struct gate_request {
  uint64_t serial = 0;
  request_priority work = request_priority::interactive;
  time_us deadline = 0;
};

struct gate_decision {
  bool queued = false;
  time_us retry_after = 0;  ///< Set if not queued.
};

enum class request_outcome {
  answered,
  refused,
  unreachable,
  failed_after_send,
  end
};

/** Decides when requests start on one target. */
class target_gate {
 public:
  target_gate(gate_options options, time_us now);

  /** Queues a request, or refuses it if the queue is full or it could not start
   * early enough for its deadline. */
  gate_decision offer(time_us now, const gate_request& request);

  /** Takes the next request from the queue and counts it as running.
   * @return Nothing if no request may start now. */
  std::optional<gate_request> start(time_us now);

  /** Removes and returns the waiting requests that can no longer start in time
   * for their deadlines. */
  std::vector<gate_request> expire(time_us now);

  std::vector<uint64_t> waiting_serials() const;

  /** Removes a request. @return Whether it was waiting. */
  bool remove(uint64_t serial);

  /** Records how a started request ended; ignores an unknown @p serial. */
  void record_outcome(time_us now, uint64_t serial, request_outcome outcome);

  /** Counts @p count requests started by an earlier home as running until
   * @p until; replaces the count of an earlier call. */
  void assume_running(uint32_t count, time_us until);

  /** Includes assumed ones. */
  uint32_t running(time_us now) const;

  /** Only those that this gate started. */
  size_t own_running() const { return running_.size(); }

  size_t waiting() const { return interactive_.size() + bulk_.size(); }

  /** @return Ramp level, from 0 (cold) to warm_level. */
  int level() const { return level_; }

  /** @return Estimated time until a request offered now would start. */
  time_us expected_wait(time_us now) const;

 private:
  struct running_request {
    time_us started_at = 0;
    request_priority work = request_priority::interactive;
  };
  uint32_t concurrency_limit() const;
  time_us start_interval() const;
  time_us& average_duration(request_priority priority);
  time_us latest_start(const gate_request& request) const;
  void expire_from(std::deque<gate_request>* queue,
                   time_us now,
                   std::vector<gate_request>* out) const;
  void reset_ramp(time_us now);
  void record_answer(time_us now, const running_request& run);
  bool bulk_is_next() const;

  gate_options options_;
  std::deque<gate_request> interactive_;
  std::deque<gate_request> bulk_;
  std::unordered_map<uint64_t, running_request> running_;
  uint32_t running_bulk_ = 0;
  uint32_t assumed_running_ = 0;
  time_us assumed_until_ = 0;
  int level_ = 0;
  int successes_ = 0;
  time_us next_start_ = 0;
  time_us last_result_ = 0;
  time_us average_interactive_ = 0;
  time_us average_bulk_ = 0;
  uint32_t starts_since_bulk_ = 0;  ///< Interactive starts.
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TARGET_GATE_BASE_H_
