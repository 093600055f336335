/** @file traffic_action_type.h Work of a traffic_core for its adapters. */
#ifndef TURMERIC_COORDINATION_TRAFFIC_ACTION_TYPE_H_
#define TURMERIC_COORDINATION_TRAFFIC_ACTION_TYPE_H_

#include <string>
#include <variant>

#include "turmeric/state/message_type.h"

namespace turmeric {

/** Sends a packet to a caller, a target or another balancer. */
struct send_packet {
  endpoint to;
  packet body;
  bool to_peer = false;
};

/** Runs a request on a target. The transport must not send it twice. */
struct start_work {
  uint64_t serial = 0;  ///< Permit serial; names the work_result.
  endpoint target;
  std::string service_name;
  request_id request;
  flow_id flow;
  uint32_t deadline_ms = 0;  ///< Time left.
  std::string body;
};

/** Asks a target to cancel a request whose result is no longer needed. */
struct cancel_work {
  uint64_t serial = 0;
  endpoint target;
  request_id request;
};

/** One action that the adapters must carry out. */
using traffic_action = std::variant<send_packet, start_work, cancel_work>;

/** How a started request ended at its target. */
enum class work_status : uint8_t {
  answered,
  refused,            ///< The target reported that it did not run it.
  unreachable,        ///< Not connected, so no byte was sent.
  failed_after_send,  ///< No usable answer after a byte was sent.
  end
};

/** Result of a start_work. */
struct work_result {
  uint64_t serial = 0;
  work_status status = work_status::failed_after_send;
  uint32_t retry_after_ms = 0;  ///< Set by the target; 0 if it gave none.
  std::string body;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TRAFFIC_ACTION_TYPE_H_
