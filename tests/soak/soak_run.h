/** @file soak_run.h One run of the soak test. */
#ifndef TURMERIC_TESTS_SOAK_SOAK_RUN_H_
#define TURMERIC_TESTS_SOAK_SOAK_RUN_H_

#include <string>

#include "soak_site.h"

namespace turmeric::tests {

constexpr size_t default_balancers = 4;
/** No fault starts later by default; balancers, registry and targets recover
 * after it. */
constexpr time_us default_fault_phase_end = 8 * us_per_s;

struct soak_options {
  std::string daemon;
  /** Balancer of an earlier release. All balancers start with it and are
   * replaced by `daemon` and back in turn; empty: `daemon` alone. */
  std::string old_daemon;
  size_t balancers = default_balancers;
  time_us fault_phase_end = default_fault_phase_end;
  soak_plant plant = soak_plant::none;
  bool promises_only = false;
  bool overload = false;

  bool upgrades() const { return !old_daemon.empty(); }
  bool large() const { return balancers > default_balancers; }
  size_t targets() const { return balancers * 3 / 2; }
};

/** Runs balancers, their surroundings and faults drawn from @p seed, and prints
 * the result.
 * @return Whether all guarantees held. */
bool run_soak(const soak_options& options, uint64_t seed);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_RUN_H_
