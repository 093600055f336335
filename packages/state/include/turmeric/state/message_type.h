/** @file message_type.h Messages between callers, balancers and targets. */
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

enum class request_priority : uint8_t { interactive, bulk, end };

/** Single-use permission to run one request. Only the issuing incarnation of
 * the balancer accepts it, so it is void when that process ends. */
struct permit {
  zone_id zone;    ///< Availability zone of the issuer.
  member_id home;  ///< Issuing balancer.
  uint64_t incarnation = 0;
  uint64_t serial = 0;  ///< Counts the incarnation's permits from 1.
  /** Random, so that a permit cannot be guessed; the issuer compares it with
   * the nonce that it issued. */
  uint64_t nonce = 0;
  target_id target;
  uint32_t lifetime_ms = 0;  ///< Valid for this long from its issue.
};

/** Requests a permit. A flow without a target is assigned one. */
struct permit_request {
  service_id service;
  flow_id flow;
  request_id request;
  target_id previous;  ///< Current target of the flow; invalid if none.
  endpoint reply_to;   ///< Address of the caller, set by the first balancer.
  uint8_t hops = 0;
  /** A balancer chose `previous` during this request, so the home of that
   * target may choose a less loaded one. */
  bool reassignable = false;
};

struct permit_grant {
  service_id service;
  flow_id flow;
  request_id request;
  permit granted;
};

/** Sent to the issuer of the permit. */
struct run_request {
  service_id service;
  flow_id flow;
  request_id request;
  permit granted_permit;
  bool repeatable = false;
  request_priority priority = request_priority::interactive;
  uint32_t deadline_ms = 0;  ///< Remaining time at the sending.
  std::string body;
  /** Parts of the answer to resend; empty for all. */
  std::vector<uint16_t> missing_parts;
  endpoint reply_to;
  uint8_t hops = 0;
};

/** One part of the final result of one attempt to run a request. */
struct answer_part {
  service_id service;
  request_id request;
  uint64_t serial = 0;  ///< Serial of the permit; 0 if none was issued.
  /** Nonce of the permit; identifies the attempt with `serial`. */
  uint64_t nonce = 0;
  result_code code = result_code::ok;
  uint32_t retry_after_ms = 0;
  uint16_t part = 0;
  uint16_t parts = 1;
  uint64_t checksum = 0;  ///< Over the body of all parts.
  std::string body;
  /** Permit for the next request of the flow; at most one. */
  std::vector<permit> next;
};

/** Answer to a repeated run_request whose request is still queued or running.
 */
struct request_pending {
  service_id service;
  request_id request;
  uint64_t serial = 0;
  uint64_t nonce = 0;
};

/** Sent to the issuer of the permit. */
struct cancel_request {
  service_id service;
  request_id request;
  permit granted_permit;
  endpoint reply_to;
  uint8_t hops = 0;
};

/** Informs the new home of a target (the only balancer that starts requests on
 * it) how many requests the old home still runs there. */
struct home_release {
  service_id service;
  target_id target;
  uint32_t running = 0;
  uint8_t hops = 0;
};

/** Load of some targets of a service, for the homes of its other targets. */
struct load_report {
  service_id service;
  std::vector<target_id> targets;
  /** Of each of `targets`, in thousandths of an active request. */
  std::vector<uint32_t> loads;
};

/** One packet of a flow whose content the balancers do not parse. */
struct datagram {
  service_id service;
  flow_id flow;
  /** First packet of the flow, as far as the protocol shows it. */
  bool opens = false;
  std::string payload;
  endpoint reply_to;
  uint8_t hops = 0;
};

/** Asks the owner of a moving bucket to choose the target of a packet's flow
 * and to deliver the packet. */
struct flow_query {
  service_id service;
  datagram inner;
  endpoint requester;  ///< Peer address to which the flow_hint is sent.
  /** The balancer that decides must not query another one. */
  bool no_further_query = false;
  /** The receiver decides and must not forward the query. */
  bool receiver_decides = false;
  uint8_t hops = 0;
};

/** The target that the owner of the bucket chose for a flow. */
struct flow_hint {
  service_id service;
  flow_id flow;
  target_id target;
  /** `target` was chosen at the opening of the flow; if false, it is a default,
   * chosen without a record of the opening. */
  bool placed_at_opening = false;
  bool moving = true;     ///< An older target of the bucket is still in use.
  uint64_t in_force = 0;  ///< Configuration revision of the owner's decision.
};

/** Placements of flows, for the owner of their buckets or the balancer that
 * would be the next owner. */
struct flow_records {
  service_id service;
  std::vector<flow_id> flows;
  std::vector<target_id> targets;  ///< Of each of `flows`.
  /** Of each of `flows`: whether its target was chosen at the opening; if not,
   * it is a default, as in flow_hint. */
  std::vector<bool> placed_at_opening;
  /** The receiver keeps them and must not forward them to the owner. */
  bool for_receiver = false;
  uint8_t hops = 0;
};

/** Lists buckets whose older targets are still in use, for the owners of these
 * buckets. */
struct moving_buckets {
  service_id service;
  std::vector<uint32_t> buckets;
  std::vector<target_id> oldest_targets;  ///< Of each of `buckets`.
  uint8_t hops = 0;
};

/** Requests all moving buckets from a peer; sent after a balancer's start. */
struct moving_buckets_request {
  endpoint requester;
};

struct moving_buckets_reply {
  uint64_t in_force = 0;  ///< Configuration revision for which the list holds.
  std::vector<moving_buckets> services;
};

/** Any message between callers, balancers and targets. */
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
                            moving_buckets,
                            moving_buckets_request,
                            moving_buckets_reply,
                            request_pending,
                            load_report>;

}  // namespace turmeric

#endif  // TURMERIC_STATE_MESSAGE_TYPE_H_
