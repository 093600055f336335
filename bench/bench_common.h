/** @file bench_common.h Clocks, memory and small fixtures of the benchmarks. */
#ifndef TURMERIC_BENCH_BENCH_COMMON_H_
#define TURMERIC_BENCH_BENCH_COMMON_H_

#include <memory>
#include <string>

#include "turmeric/state/config_state_base.h"
#include "turmeric/state/route_base.h"

namespace turmeric::bench {

/** @return Processor time of this thread in seconds. */
double thread_seconds();

/** @return Bytes that this process has allocated. */
double allocated_bytes();

/** @return Median of the least squares slope and intercept of y over x. */
struct line_fit {
  double slope = 0;
  double intercept = 0;
  double worst_error = 0;  ///< Largest deviation as a share of the value.
};

/** Fits a line through points. */
line_fit fit(const double* x, const double* y, size_t count);

/** @return A service with @p targets spread over @p zones zones. */
service_config make_service(int number, int targets, int zones);

/** @return A state with services of @p per_service targets each. */
config_state make_state(int endpoints, int per_service, int zones);

/** @return A table in which @p self is one of @p members of its zone. */
std::shared_ptr<route_table>
make_table(std::shared_ptr<const service_index> index, int members, int self);

}  // namespace turmeric::bench

#endif  // TURMERIC_BENCH_BENCH_COMMON_H_
