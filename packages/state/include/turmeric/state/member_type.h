/** @file member_type.h Balancers as they know each other. */
#ifndef TURMERIC_STATE_MEMBER_TYPE_H_
#define TURMERIC_STATE_MEMBER_TYPE_H_

#include <string>
#include <string_view>
#include <vector>

#include "turmeric/state/config_type.h"
#include "turmeric/state/message_type.h"
#include "turmeric/state/time_type.h"

namespace turmeric {

/** Life of a balancer, in the order in which a record may override another
 * of the same incarnation. */
enum class member_state : uint8_t { live, suspect, leaving, dead, end };

/** @return The name of @p state. */
std::string_view name_of(member_state state);

struct member_record;

/** @return Whether @p member takes work: it is neither leaving nor dead. */
bool is_usable(const member_record& member);

/** What the members of a zone tell each other about one balancer. */
struct member_record {
  member_id id;
  std::string name;
  zone_id zone;
  uint64_t incarnation = 0;  ///< One per process start, growing.
  uint32_t refutes = 0;      ///< Grows when a suspicion is refuted.
  member_state state = member_state::live;
  endpoint gossip;  ///< Control datagrams.
  endpoint peer;    ///< Forwarded traffic.
};

/** Kinds of control datagrams between balancers. */
enum class gossip_kind : uint8_t {
  ping,
  ack,
  ping_request,  ///< Asks the receiver to probe `subject`.
  sync_request,  ///< Asks for all members and the configuration.
  sync_reply,
  notice,       ///< Tells of the sender's state and newest revision.
  config_pull,  ///< Asks for entries after `known`.
  config_push,
  end
};

/** A control datagram. */
struct gossip_message {
  gossip_kind kind = gossip_kind::ping;
  member_record from;
  uint64_t sequence = 0;  ///< Echoed by the ack.
  member_id subject;      ///< Probed on behalf of another member.
  revision known = 0;     ///< Newest revision the sender holds.
  std::vector<member_record> updates;
  config_delta delta;  ///< Fragment of a delta, for config_push.
  uint16_t fragment = 0;
  uint16_t fragments = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_MEMBER_TYPE_H_
