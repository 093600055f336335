/** @file sim_clock.h Virtual time: events in order of time, then of creation.
 */
#ifndef TURMERIC_TESTS_HARNESS_SIM_CLOCK_H_
#define TURMERIC_TESTS_HARNESS_SIM_CLOCK_H_

#include <functional>
#include <queue>
#include <vector>

#include "turmeric/state/time_type.h"

namespace turmeric::tests {

/** Runs events in virtual time; single-threaded. */
class sim_clock {
 public:
  using event = std::function<void()>;

  /** @return The current virtual time. */
  time_us now() const { return now_; }

  /** Schedules @p fn to run @p delay from now. */
  void after(time_us delay, event fn) {
    queue_.push({now_ + delay, next_order_++, std::move(fn)});
  }

  /** Runs all events due up to and including @p end, also those scheduled
   * meanwhile, and sets the time to @p end. */
  void run_until(time_us end) {
    while (!queue_.empty() && queue_.top().at <= end) {
      entry next = std::move(const_cast<entry&>(queue_.top()));
      queue_.pop();
      now_ = next.at;
      next.fn();
    }
    now_ = end;
  }

 private:
  struct entry {
    time_us at;
    uint64_t order;  ///< Of creation; decides between equal times.
    event fn;
    /** Inverted, as std::priority_queue puts the greatest entry first. */
    bool operator<(const entry& o) const {
      return at != o.at ? at > o.at : order > o.order;
    }
  };
  std::priority_queue<entry> queue_;
  time_us now_ = 0;
  uint64_t next_order_ = 0;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_SIM_CLOCK_H_
