/** @file forwarder_pages.h Metrics and status of a forwarding balancer. */
#ifndef TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_PAGES_H_
#define TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_PAGES_H_

#include <map>
#include <string>
#include <tuple>

#include "turmeric/state/directory_type.h"
#include "turmeric/transport/segment_runner_base.h"

namespace turmeric {

/** Number of registry calls, by kind, cause and status of the reply. */
using registry_call_counts =
    std::map<std::tuple<directory_kind, registry_call_cause, registry_status>,
             uint64_t>;

/** State of the event loop, shown together with a traffic_snapshot. */
struct forwarder_status {
  std::string name;
  std::string zone;
  bool ready = false;
  bool stopping = false;
  time_us uptime = 0;
  size_t peer_count = 0;  ///< Other live balancers.
  /** The same by the number of their release. */
  std::map<uint32_t, size_t> peer_releases;
  /** No heartbeats arrive from their balancers. */
  std::vector<std::string> silent_zones;
  /** Entries and parts of entries that cannot be read, by kind. */
  std::array<size_t, directory_kinds> unread{};
  uint64_t registry_era = 0;  ///< 0 if unknown.
  registry_call_counts registry_calls;
};

/** @return The metrics in the Prometheus text exposition format. */
std::string metrics_text(const forwarder_status& status,
                         const traffic_snapshot& snapshot);

/** @return The status as JSON. */
std::string status_json(const forwarder_status& status,
                        const traffic_snapshot& snapshot);

/** @return All targets with their load and failures, as JSON. */
std::string targets_json(const traffic_snapshot& snapshot);

/** @return The flows of the caller at @p caller, as JSON; all of its ports
 * if the port is 0. */
std::string flows_json(const traffic_snapshot& snapshot, endpoint caller);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_PAGES_H_
