/** @file checkers.h Checkers of the ten promises on recorded histories. */
#ifndef TURMERIC_TESTS_HARNESS_CHECKERS_H_
#define TURMERIC_TESTS_HARNESS_CHECKERS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sim_types.h"

namespace turmeric::tests {

/** A promise with its checker, and the injected fault that shows that the
 * checker detects violations. */
struct promise_row {
  std::string name;
  /** @return The first violation found in a history, or nullopt if the promise
   * is kept. */
  std::function<std::optional<violation>(const history&, const sim_options&)>
      check;
  /** Switches on the fault of the code that breaks this promise. */
  std::function<void(sim_options*)> inject_fault;
  /** The promise is checked only in runs with sim_options::planned_only. */
  bool planned_only = false;
};

/** @return All promises, in the order in which they are reported. */
const std::vector<promise_row>& promises();

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_CHECKERS_H_
