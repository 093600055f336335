/** @file soak_series.h Series of faults and changes in large fleets. */
#ifndef TURMERIC_TESTS_SOAK_SOAK_SERIES_H_
#define TURMERIC_TESTS_SOAK_SOAK_SERIES_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "turmeric/state/time_type.h"

namespace turmeric::tests {

enum class series_kind {
  restart,         ///< SIGTERM; the process starts again after its exit.
  pause,           ///< SIGSTOP, later SIGCONT.
  kill,            ///< SIGKILL
  reload,          ///< SIGHUP
  routing_change,  ///< A new version of the routing configuration.
  end
};

std::string_view name_of(series_kind kind);

/** One step of a series. */
struct series_step {
  time_us at = 0;  ///< Since the start of the run.
  series_kind kind = series_kind::end;
  size_t balancer = 0;   ///< Not used by a routing change.
  time_us duration = 0;  ///< Of a pause.
};

/** Steps drawn from a seed, and what they are, for the log of a run. */
struct series_plan {
  std::vector<series_step> steps;
  std::string description;
};

/** Draws series that overlap between @p from and @p to: rolling restarts of all
 * balancers, several at once, in several rounds; pauses, kills, reloads and
 * routing changes beside them. */
series_plan draw_series(uint64_t seed,
                        size_t balancers,
                        time_us from,
                        time_us to);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_SERIES_H_
