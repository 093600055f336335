/** @file traffic_action_type.h What the traffic path asks of its adapters. */
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

/** Runs a request on a target, over a transport that cannot repeat it. */
struct start_work {
  uint64_t serial = 0;
  endpoint target;
  std::string service_name;
  request_id request;
  flow_id flow;
  uint32_t deadline_ms = 0;
  std::string body;
};

/** Tells a target that nobody waits for a request any more. */
struct cancel_work {
  uint64_t serial = 0;
  endpoint target;
  request_id request;
};

/** What the adapters must do for the traffic core. */
using traffic_action = std::variant<send_packet, start_work, cancel_work>;

/** How a started request ended at its target. */
enum class work_status : uint8_t {
  answered,
  refused,            ///< The target said that it did not run it.
  unreachable,        ///< No byte was sent.
  failed_after_send,  ///< The connection ended after a byte was sent.
  end
};

/** The end of a start_work. */
struct work_result {
  uint64_t serial = 0;
  work_status status = work_status::failed_after_send;
  uint32_t retry_after_ms = 0;
  std::string body;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TRAFFIC_ACTION_TYPE_H_
