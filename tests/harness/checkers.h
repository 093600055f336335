/** @file checkers.h Checkers of the ten promises over histories. */
#ifndef TURMERIC_TESTS_HARNESS_CHECKERS_H_
#define TURMERIC_TESTS_HARNESS_CHECKERS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sim_types.h"

namespace turmeric::tests {

/** A promise, its checker and the fault planted to show that it works. */
struct promise_row {
  std::string name;
  /** @return The first violation in a history, if any. */
  std::function<std::optional<violation>(const history&, const sim_options&)>
      check;
  std::function<void(sim_options*)> inject_fault;
  /** The promise is checked in runs of planned changes only. */
  bool planned_only = false;
};

/** @return The ten promises. */
const std::vector<promise_row>& promises();

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_CHECKERS_H_
