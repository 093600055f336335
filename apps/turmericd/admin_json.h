/** @file admin_json.h Status and metrics of a balancer as JSON, for the
 * operators' command. */
#ifndef TURMERIC_APPS_TURMERICD_ADMIN_JSON_H_
#define TURMERIC_APPS_TURMERICD_ADMIN_JSON_H_

#include <json/json.h>

#include "turmeric/coordination/control_core_base.h"
#include "turmeric/coordination/traffic_metrics_base.h"
#include "turmeric/state/route_base.h"

namespace turmeric {

/** @return The status as `turmericstream status` reads it. */
Json::Value status_to_json(const control_status& status);

/** @return Counters, counts by slice, and the services that they belong to, as
 * `turmericstream metrics` and `report burn` read them. A slice is identified
 * by its age, so that the counts of several balancers can be added although
 * their steady clocks start at different times.
 * @param table The source of the services; null if there is none yet.
 * @param now Time on the clock of the slices.
 * @param uptime Time since the balancer's start. */
Json::Value metrics_to_json(const traffic_metrics& metrics,
                            const route_table* table,
                            time_us now,
                            time_us uptime);

}  // namespace turmeric

#endif  // TURMERIC_APPS_TURMERICD_ADMIN_JSON_H_
