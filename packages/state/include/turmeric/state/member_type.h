/** @file member_type.h Membership records and gossip messages. */
#ifndef TURMERIC_STATE_MEMBER_TYPE_H_
#define TURMERIC_STATE_MEMBER_TYPE_H_

#include <string>
#include <string_view>
#include <vector>

#include "turmeric/state/config_type.h"
#include "turmeric/state/message_type.h"
#include "turmeric/state/time_type.h"

namespace turmeric {

/** State of a balancer. Of two records with the same incarnation and number of
 * refutations, the one with the later state overrides the other. */
enum class member_state : uint8_t { live, suspect, leaving, dead, end };

/** @return The name of @p state. */
std::string_view name_of(member_state state);

struct member_record;

/** @return Whether @p member may get packets and requests: it is neither
 * leaving nor dead. */
bool is_usable(const member_record& member);

/** State of one balancer as members of its availability zone gossip it. */
struct member_record {
  member_id id;
  std::string name;
  zone_id zone;
  uint64_t incarnation = 0;  ///< Increases with each start of its process.
  /** Increases when the balancer refutes a suspicion. */
  uint32_t refutations = 0;
  member_state state = member_state::live;
  endpoint gossip;  ///< Address for gossip messages.
  endpoint peer;    ///< Address for forwarded traffic.
};

/** Kinds of gossip messages. */
enum class gossip_kind : uint8_t {
  ping,
  ack,
  ping_request,  ///< Asks the receiver to probe `subject`.
  sync_request,  ///< Requests all members and the configuration.
  sync_reply,
  notice,       ///< Carries the sender's state and newest revision.
  config_pull,  ///< Requests the entries after `held_revision`.
  config_push,
  end
};

/** A gossip message, one datagram. */
struct gossip_message {
  gossip_kind kind = gossip_kind::ping;
  member_record from;
  uint64_t sequence = 0;  ///< Repeated in the ack.
  member_id subject;      ///< ping_request: member to probe for the sender.
  /** Newest configuration revision that the sender holds. */
  revision held_revision = 0;
  std::vector<member_record> updates;
  config_delta delta;      ///< config_push: fragment of a configuration delta.
  uint16_t fragment = 0;   ///< Index of the fragment, from 0.
  uint16_t fragments = 0;  ///< Number of fragments of the delta.
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_MEMBER_TYPE_H_
