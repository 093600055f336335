/** @file bench_common.h Clock, memory use and fixtures of the benchmarks. */
#ifndef TURMERIC_BENCH_BENCH_COMMON_H_
#define TURMERIC_BENCH_BENCH_COMMON_H_

#include <memory>
#include <string>

#include "turmeric/state/config_state_base.h"
#include "turmeric/state/route_base.h"

namespace turmeric::bench {

/** @return CPU time of this thread in seconds. */
double thread_cpu_seconds();

/** @return Bytes on the heap of this process that are not freed yet. */
double allocated_bytes();

/** Least-squares line of y over x. */
struct line_fit {
  double slope = 0;
  double intercept = 0;
  double max_relative_error = 0;  ///< Largest deviation over the value.
};

/** @return The least-squares line through @p count points; at least two of
 * them must differ in x. */
line_fit fit_line(const double* x, const double* y, size_t count);

/** @return A service with @p targets targets, which are spread over @p zones
 * zones in turn from zone @p service_number modulo @p zones. Four services in
 * a row share an account. */
service_config make_service(int service_number, int targets, int zones);

/** @return A configuration at revision 1, with services of
 * @p targets_per_service targets each, until there are @p min_targets. */
config_state make_config_state(int min_targets,
                               int targets_per_service,
                               int zones);

/** @return A route table with @p member_count balancers in zone0, of which
 * number @p self_index holds the table; none does if it is negative. */
std::shared_ptr<route_table> make_route_table(
    std::shared_ptr<const service_index> index,
    int member_count,
    int self_index);

}  // namespace turmeric::bench

#endif  // TURMERIC_BENCH_BENCH_COMMON_H_
