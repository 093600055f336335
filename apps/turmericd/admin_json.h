/** @file admin_json.h JSON views of a balancer for the operators' command. */
#ifndef TURMERIC_APPS_TURMERICD_ADMIN_JSON_H_
#define TURMERIC_APPS_TURMERICD_ADMIN_JSON_H_

#include <json/json.h>

#include "turmeric/coordination/control_core_base.h"
#include "turmeric/coordination/traffic_metrics_base.h"
#include "turmeric/state/route_base.h"

namespace turmeric {

/** @return The status for `turmericstream status`. */
Json::Value status_to_json(const control_status& status);

/** @return Counters, slices and the services they are about, for
 * `turmericstream metrics` and `report burn`. Slices are named by their age,
 * so that those of several balancers can be added.
 * @param table May be null. */
Json::Value metrics_to_json(const traffic_metrics& metrics,
                            const route_table* table,
                            time_us now,
                            time_us uptime);

}  // namespace turmeric

#endif  // TURMERIC_APPS_TURMERICD_ADMIN_JSON_H_
