/** @file disturbance.h Times at which balancers could receive changes. */
#ifndef TURMERIC_TESTS_HARNESS_DISTURBANCE_H_
#define TURMERIC_TESTS_HARNESS_DISTURBANCE_H_

#include <vector>

#include "sim_types.h"

namespace turmeric::tests {

/** Times at which a balancer was connected: up, not paused, and with no cut or
 * platform fault in effect. A change made while the platform or a zone is
 * unreachable is due only after the connection is restored. */
class connected_times {
 public:
  /** Derives the times from the starts, ends and disturbances in @p events. */
  explicit connected_times(const history& events);

  /** @return Whether @p balancer was connected without interruption for
   * @p length at some time between @p from and @p to. */
  bool connected_for(int balancer,
                     time_us from,
                     time_us to,
                     time_us length) const;

  /** @return Whether @p balancer was connected all the time from @p from to
   * @p to. */
  bool connected_throughout(int balancer, time_us from, time_us to) const;

 private:
  struct span {
    time_us from = 0;
    time_us to = 0;
  };
  std::vector<std::vector<span>> spans_;  ///< By balancer, in order of time.
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_DISTURBANCE_H_
