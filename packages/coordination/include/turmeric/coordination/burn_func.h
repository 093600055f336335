/** @file burn_func.h Burn rates of service-level objectives.
 *
 * The burn rate is the share of bad requests divided by the share that the
 * objective allows. A rate of 1 spends exactly the error budget. An alarm is
 * raised only while both a long and a short window reach its rate, so that it
 * starts soon after a fault and ends soon after the recovery.
 */
#ifndef TURMERIC_COORDINATION_BURN_FUNC_H_
#define TURMERIC_COORDINATION_BURN_FUNC_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "turmeric/coordination/traffic_metrics_base.h"
#include "turmeric/state/service_type.h"

namespace turmeric {

/** Windows of the report, shortest first. */
enum class burn_window { minutes_5, minutes_30, hour_1, hours_6, days_3, end };

constexpr size_t burn_window_count = static_cast<size_t>(burn_window::end);

/** @return The length of a window. */
time_us length_of(burn_window window);

/** @return The short name of a window, such as "5m". */
std::string_view name_of(burn_window window);

/** Urgency of an alarm, least urgent first. */
enum class burn_alarm { none, ticket, page, end };

/** @return The name of an alarm. */
std::string_view name_of(burn_alarm alarm);

/** Counts of all balancers by age in slices; 0 is the current slice. */
using counts_by_age = std::map<int64_t, service_counts>;

/** Objective and counts of one service in one availability zone. */
struct burn_input {
  service_objective objective;
  counts_by_age fine;    ///< In slices of fine_slice.
  counts_by_age coarse;  ///< In slices of coarse_slice.
};

/** Burn within one window. */
struct burn_rates {
  service_counts counts;
  double availability = 0;  ///< Burn rate of the availability objective.
  double latency = 0;       ///< Burn rate of the latency objective.
};

/** Burn of one service in one availability zone. */
struct burn_result {
  std::array<burn_rates, burn_window_count> windows;
  double budget_left = 1;  ///< Share left in the longest window; may be < 0.
  burn_alarm alarm = burn_alarm::none;
  /** Availability burn rates of the last hour, 5 min each, oldest first. */
  std::vector<double> recent;
};

/** @return The burn rates of one window's counts; 0 without requests. */
burn_rates rates_of(const service_counts& counts,
                    const service_objective& objective);

/** @return Burn rates, budget and alarm of one service in one zone. */
burn_result burn_of(const burn_input& input);

/** @return The highest load divided by the mean; 1 if all are equal, 0 without
 * load. */
double imbalance_of(const std::vector<uint64_t>& loads);

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_BURN_FUNC_H_
