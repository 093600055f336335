/** @file disturbance.h When a balancer could hear of changes. */
#ifndef TURMERIC_TESTS_HARNESS_DISTURBANCE_H_
#define TURMERIC_TESTS_HARNESS_DISTURBANCE_H_

#include <vector>

#include "sim_types.h"

namespace turmeric::tests {

/** Times at which a balancer was up and neither paused nor cut off. A change
 * that came while the platform or a zone could not be reached is due only
 * after the contact is back. */
class connected_times {
 public:
  explicit connected_times(const history& events);

  /** @return Whether @p balancer had contact without a break for @p length
   * somewhere between two times. */
  bool connected_for(int balancer,
                     time_us from,
                     time_us to,
                     time_us length) const;

  /** @return Whether @p balancer was up and had contact all the time. */
  bool connected_throughout(int balancer, time_us from, time_us to) const;

 private:
  struct span {
    time_us from = 0;
    time_us to = 0;
  };
  std::vector<std::vector<span>> spans_;  ///< By balancer.
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_DISTURBANCE_H_
