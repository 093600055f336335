/** @file forwarder_pages.h Metrics and status of a forwarding balancer. */
#ifndef TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_PAGES_H_
#define TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_PAGES_H_

#include <map>
#include <string>

#include "turmeric/state/directory_type.h"
#include "turmeric/transport/segment_runner_base.h"

namespace turmeric {

/** What the event loop knows beside the traffic thread's view. */
struct forwarder_status {
  std::string name;
  std::string zone;
  bool ready = false;
  bool stopping = false;
  time_us uptime = 0;
  size_t peers = 0;
  std::vector<std::string> silent_zones;
  /** Calls to the registry, by kind and by how they ended. */
  std::map<std::pair<directory_kind, registry_status>, uint64_t> calls;
};

/** @return The metrics as text in the common exposition format. */
std::string metrics_text(const forwarder_status& status,
                         const traffic_snapshot& view);

/** @return The status as JSON. */
std::string status_json(const forwarder_status& status,
                        const traffic_snapshot& view);

/** @return All targets with what is believed of them, as JSON. */
std::string targets_json(const traffic_snapshot& view);

/** @return The flows of the caller at @p caller, as JSON; all of its ports
 * if the port is 0. */
std::string flows_json(const traffic_snapshot& view, endpoint caller);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_PAGES_H_
