/** @file target_gate_base.h Admission of requests to one target.
 *
 * Trusts evidence in band only: answers, refusals and durations. A target
 * starts cold, is ramped by success and falls back at the first refusal or
 * slow answer. The queue is bounded by the deadlines of what waits in it.
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

/** Parameters of the ramp and the queue. */
struct gate_options {
  uint32_t slots = 2;
  int warm_level = 4;  ///< Level at which all slots are used.
  int successes_per_level = 2;
  time_us cold_gap = 400 * us_per_ms;         ///< Between starts at level 0.
  time_us failure_backoff = 300 * us_per_ms;  ///< No starts after a refusal.
  double slow_factor = 4.0;                   ///< Against the usual duration.
  time_us slow_floor = 50 * us_per_ms;        ///< Never slow below this.
  time_us idle_reset = 60 * us_per_s;         ///< Held cold after this silence.
  time_us first_estimate = 100 * us_per_ms;   ///< Duration before evidence.
  time_us answer_margin = 200 * us_per_ms;  ///< For the way back to the caller.
  size_t queue_limit = 64;
  uint32_t bulk_share = 8;  ///< One start in this many is bulk's.
};

/** What waits for a start. */
struct gate_request {
  uint64_t serial = 0;
  work_class work = work_class::interactive;
  time_us deadline = 0;
};

/** How an offer was taken. */
struct gate_decision {
  bool queued = false;
  time_us retry_after = 0;  ///< Set when not queued.
};

/** What an ended request says of its target. */
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

  /** Offers a request; it waits in the queue unless it is refused. */
  gate_decision offer(time_us now, const gate_request& item);

  /** @return The next request to start now, if any may start. */
  std::optional<gate_request> start(time_us now);

  /** Removes what can no longer start before its deadline. */
  std::vector<gate_request> expire(time_us now);

  /** @return Serials of all waiting requests. */
  std::vector<uint64_t> waiting_serials() const;

  /** Removes one waiting request. @return Whether it was waiting. */
  bool remove(uint64_t serial);

  /** Records the end of a started request. */
  void record_outcome(time_us now, uint64_t serial, request_outcome evidence);

  /** Counts @p count starts of an earlier home as running until @p until. */
  void assume_running(uint32_t count, time_us until);

  /** @return Requests running, assumed ones included. */
  uint32_t running(time_us now) const;

  /** @return Requests running that this gate started. */
  size_t own_running() const { return running_.size(); }

  /** @return Requests waiting. */
  size_t waiting() const { return interactive_.size() + bulk_.size(); }

  /** @return Ramp level, from 0 (cold) to warm_level. */
  int level() const { return level_; }

  /** @return Time until a new interactive request would start. */
  time_us expected_wait(time_us now) const;

 private:
  struct started {
    time_us at = 0;
    work_class work = work_class::interactive;
  };
  uint32_t limit() const;
  time_us gap() const;
  time_us& usual(work_class work);
  time_us latest_start(const gate_request& item) const;
  void expire_from(std::deque<gate_request>* queue,
                   time_us now,
                   std::vector<gate_request>* out) const;
  void fall_back(time_us now);
  void climb(time_us now, const started& run);
  bool bulk_turn() const;

  gate_options options_;
  std::deque<gate_request> interactive_;
  std::deque<gate_request> bulk_;
  std::unordered_map<uint64_t, started> running_;
  uint32_t running_bulk_ = 0;
  uint32_t assumed_ = 0;
  time_us assumed_until_ = 0;
  int level_ = 0;
  int successes_ = 0;
  time_us next_start_ = 0;
  time_us last_result_ = 0;
  time_us usual_interactive_ = 0;
  time_us usual_bulk_ = 0;
  uint32_t interactive_starts_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TARGET_GATE_BASE_H_
