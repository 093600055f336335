/** @file fault_plan.h Runs made from seeds. */
#ifndef TURMERIC_TESTS_HARNESS_FAULT_PLAN_H_
#define TURMERIC_TESTS_HARNESS_FAULT_PLAN_H_

#include <string>

#include "sim_types.h"

namespace turmeric::tests {

/** @return The run of @p seed. Planned runs have graceful stops, changes and
 * platform faults; the others have everything. */
sim_options plan_run(uint64_t seed, bool planned_only);

/** @return One line for people to read. */
std::string describe(const fault& f);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_FAULT_PLAN_H_
