/** @file message_type.h Plain messages of the traffic path. */
#ifndef TURMERIC_STATE_MESSAGE_TYPE_H_
#define TURMERIC_STATE_MESSAGE_TYPE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "turmeric/state/ids_type.h"
#include "turmeric/state/result_code_type.h"

namespace turmeric {

/** An IPv4 address in host byte order, and a port. */
struct endpoint {
  uint32_t ip = 0;
  uint16_t port = 0;

  bool operator==(const endpoint& o) const {
    return ip == o.ip && port == o.port;
  }
  bool operator<(const endpoint& o) const {
    return ip != o.ip ? ip < o.ip : port < o.port;
  }
};

/** How urgent a request is. */
enum class work_class : uint8_t { interactive, bulk, end };

/** A one-use right to run one request, honoured by one incarnation of one
 * balancer only. If that incarnation ends, the right ends with it. */
struct permit {
  zone_id zone;    ///< Availability zone of the issuer.
  member_id home;  ///< Issuing balancer.
  uint64_t incarnation = 0;
  uint64_t serial = 0;  ///< Counts from 1 within the incarnation.
  uint64_t nonce = 0;   ///< Unguessable, compared by the issuer.
  target_id target;
  uint32_t lifetime_ms = 0;  ///< From the moment of issue.
};

/** Asks for a permit; opens the flow if it has no target yet. */
struct permit_request {
  service_id service;
  flow_id flow;
  request_id request;
  target_id previous;  ///< Target of the flow so far; invalid if none.
  endpoint reply_to;   ///< Set by the first balancer.
  uint8_t hops = 0;
  bool fresh =
      false;  ///< A balancer chose `previous`; its home may choose anew.
};

/** Answers a permit_request. */
struct permit_grant {
  service_id service;
  flow_id flow;
  request_id request;
  permit granted;
};

/** Asks the permit's issuer to run one request. */
struct run_request {
  service_id service;
  flow_id flow;
  request_id request;
  permit right;
  bool repeatable = false;
  work_class work = work_class::interactive;
  uint32_t deadline_ms = 0;  ///< Time left.
  std::string body;
  std::vector<uint16_t> missing;  ///< Parts to send again; empty for all.
  endpoint reply_to;
  uint8_t hops = 0;
};

/** One part of the final result of one attempt. */
struct answer_part {
  service_id service;
  request_id request;
  uint64_t serial = 0;  ///< Permit serial; 0 before a permit was issued.
  uint64_t nonce = 0;   ///< Permit nonce; with the serial names the attempt.
  result_code code = result_code::ok;
  uint32_t retry_after_ms = 0;
  uint16_t part = 0;
  uint16_t parts = 1;
  uint64_t checksum = 0;  ///< Over the whole body.
  std::string body;
  std::vector<permit> next;  ///< At most one, for the flow's next request.
};

/** Tells a caller that asked again that its request waits or runs. */
struct request_pending {
  service_id service;
  request_id request;
  uint64_t serial = 0;
  uint64_t nonce = 0;
};

/** Asks the permit's issuer to give up a request. */
struct cancel_request {
  service_id service;
  request_id request;
  permit right;
  endpoint reply_to;
  uint8_t hops = 0;
};

/** Tells the new home of a target what the old one still runs there. */
struct home_release {
  service_id service;
  target_id target;
  uint32_t running = 0;
  uint8_t hops = 0;
};

/** Tells homes of a service's other targets how loaded some targets are. */
struct load_report {
  service_id service;
  std::vector<target_id> targets;
  std::vector<uint32_t> loads;  ///< Thousandths of a request in hand.
};

/** A packet of an opaque flow. */
struct datagram {
  service_id service;
  flow_id flow;
  bool opens = false;  ///< First packet of the flow, where that is visible.
  std::string payload;
  endpoint reply_to;
  uint8_t hops = 0;
};

/** Asks the owner of a moving bucket where the flow of a packet belongs. */
struct flow_query {
  service_id service;
  datagram inner;
  endpoint asker;     ///< Peer address that gets the hint.
  bool last = false;  ///< The balancer that decides asks nobody else.
  bool here = false;  ///< The receiver decides and passes it on to nobody.
  uint8_t hops = 0;
};

/** Tells a balancer where the owner has placed a flow. */
struct flow_hint {
  service_id service;
  flow_id flow;
  target_id target;
  bool opened = false;    ///< Placed at its opening; else the default.
  bool moving = true;     ///< Whether the bucket still has an older target.
  uint64_t in_force = 0;  ///< Revision that the owner decided on.
};

/** Tells the owner of placements, or the balancer that would own them next. */
struct flow_records {
  service_id service;
  std::vector<flow_id> flows;
  std::vector<target_id> targets;  ///< As long as `flows`.
  std::vector<bool> opened;  ///< As long: placed at its opening, no default.
  bool here = false;         ///< For the receiver; not passed on to the owner.
  uint8_t hops = 0;
};

/** Tells owners that older targets of these buckets are still in use. */
struct bucket_notes {
  service_id service;
  std::vector<uint32_t> buckets;
  std::vector<target_id> oldest;  ///< As long as `buckets`.
  uint8_t hops = 0;
};

/** Asks a peer for all moving buckets; sent by a balancer that started. */
struct moving_pull {
  endpoint asker;
};

/** Answers a moving_pull. */
struct moving_list {
  uint64_t in_force = 0;  ///< Revision whose moves the list holds.
  std::vector<bucket_notes> services;
};

/** Everything that travels between callers, balancers and targets. */
using packet = std::variant<permit_request,
                            permit_grant,
                            run_request,
                            answer_part,
                            cancel_request,
                            home_release,
                            datagram,
                            flow_query,
                            flow_hint,
                            flow_records,
                            bucket_notes,
                            moving_pull,
                            moving_list,
                            request_pending,
                            load_report>;

}  // namespace turmeric

#endif  // TURMERIC_STATE_MESSAGE_TYPE_H_
