/** @file burn_func.h Burn of service-level objectives.
 *
 * The burn rate is the share of bad requests over the share that the objective
 * allows: 1 spends the error budget exactly. Alarms need a long and a short
 * window to agree, so that they come soon and end soon.
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

/** How urgent the burn is. */
enum class burn_alarm { none, ticket, page, end };

/** @return The name of an alarm. */
std::string_view name_of(burn_alarm alarm);

/** Counts by age in slices, merged over balancers. */
using counts_by_age = std::map<int64_t, service_counts>;

/** What is known of one service in one availability zone. */
struct burn_input {
  service_objective objective;
  counts_by_age fine;
  counts_by_age coarse;
};

/** Burn within one window. */
struct burn_rates {
  service_counts counts;
  double availability = 0;  ///< Burn rate.
  double latency = 0;       ///< Burn rate.
};

/** The row of one service in one availability zone. */
struct burn_result {
  std::array<burn_rates, burn_window_count> windows;
  double budget_left = 1;  ///< Share of the budget of the longest window.
  burn_alarm alarm = burn_alarm::none;
  std::vector<double> recent;  ///< Availability burn, oldest first, 5 min each.
};

/** Works out the burn rates of one window's counts. */
burn_rates rates_of(const service_counts& counts,
                    const service_objective& objective);

/** Works out the burn of one service in one zone. */
burn_result burn_of(const burn_input& input);

/** Most loaded target over the mean; 1 is even, 0 is no load. */
double imbalance_of(const std::vector<uint64_t>& loads);

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_BURN_FUNC_H_
