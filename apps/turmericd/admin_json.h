/** @file admin_json.h JSON views of a balancer for the operators' command. */
#ifndef TURMERIC_APPS_TURMERICD_ADMIN_JSON_H_
#define TURMERIC_APPS_TURMERICD_ADMIN_JSON_H_

#include <json/json.h>

#include "turmeric/coordination/control_core_base.h"
#include "turmeric/coordination/traffic_metrics_base.h"

namespace turmeric {

/** @return The status for `turmericstream status`. */
Json::Value status_to_json(const control_status& status);

/** @return Counters and slices for `turmericstream report burn`; slices are
 * named by their age, so that reports of several balancers can be added. */
Json::Value metrics_to_json(const traffic_metrics& metrics, time_us now);

}  // namespace turmeric

#endif  // TURMERIC_APPS_TURMERICD_ADMIN_JSON_H_
