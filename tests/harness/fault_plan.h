/** @file fault_plan.h Options and fault schedules of runs, made from seeds. */
#ifndef TURMERIC_TESTS_HARNESS_FAULT_PLAN_H_
#define TURMERIC_TESTS_HARNESS_FAULT_PLAN_H_

#include <string>

#include "sim_types.h"

namespace turmeric::tests {

/** @return The options of the run of @p seed. With @p planned_only the run has
 * only graceful stops, configuration changes, platform faults and targets that
 * turn cold; otherwise it may have every fault_kind. */
sim_options plan_run(uint64_t seed, bool planned_only);

/** @return A fault on one line, for reports. */
std::string describe(const fault& f);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_FAULT_PLAN_H_
