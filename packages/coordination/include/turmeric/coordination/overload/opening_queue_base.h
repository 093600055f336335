/** @file opening_queue_base.h Openings of one service that wait, in the order
 * of their release. */
#ifndef TURMERIC_COORDINATION_OVERLOAD_OPENING_QUEUE_BASE_H_
#define TURMERIC_COORDINATION_OVERLOAD_OPENING_QUEUE_BASE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "turmeric/state/segment_type.h"
#include "turmeric/state/time_type.h"

namespace turmeric {

/** The first copy of an opening, with what decides on its turn. */
struct waiting_opening {
  segment opening;
  uint32_t priority = 0;          ///< Of its route; 0 is the highest.
  bool highest_priority = false;  ///< Of the routes of its service.
  time_us latency_objective = 0;  ///< Of its route; 0 if it has none.
  time_us arrived = 0;  ///< Earliest time at which it can have arrived.
};

struct queued_opening {
  waiting_opening what;
  bool over_share = false;
  time_us since = 0;
  time_us deadline = 0;  ///< End of its wait.
  uint64_t number = 0;   ///< Order of arrival, for equal deadlines.
};

/** @return Whether @p a is released before @p b. */
bool precedes(const queued_opening& a, const queued_opening& b);

/** A sorted vector: few openings wait, and they are small. */
class opening_queue {
 public:
  bool empty() const { return entries_.empty(); }
  size_t size() const { return entries_.size(); }
  const queued_opening& front() const { return entries_.front(); }
  const queued_opening& back() const { return entries_.back(); }

  /** @return The openings of @p caller that wait. */
  size_t waiting_of(uint32_t caller) const;

  /** @return How long @p entry would wait for its turn, by its position and the
   * mean time between releases; 0 for the first, whose wait measures that. */
  time_us expected_wait(time_us now, const queued_opening& entry) const;

  void insert(time_us now, const queued_opening& entry);

  /** Moves the first opening behind those of its priority whose callers are
   * within their share. */
  void set_front_over_share();

  /** Removes the first opening, which is admitted. */
  queued_opening release_front(time_us now);

  queued_opening remove_back();

  /** Removes the openings whose wait ends at or before @p until. */
  std::vector<queued_opening> remove_overdue(time_us now, time_us until);

  /** @return The earliest end of a wait, or INT64_MAX. */
  time_us earliest_deadline() const;

  void clear();

 private:
  void place(const queued_opening& entry);
  void add_interval(time_us now);
  void forget_caller(const queued_opening& entry);

  std::vector<queued_opening> entries_;
  std::unordered_map<uint32_t, size_t> callers_;
  double interval_ = 0.0;  ///< Mean time between releases; 0 if unknown.
  /** Last release, or when the first of the openings arrived. */
  time_us interval_start_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_OVERLOAD_OPENING_QUEUE_BASE_H_
