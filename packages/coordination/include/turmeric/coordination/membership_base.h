/** @file membership_base.h Failure detection and gossip among balancers.
 *
 * A SWIM-like protocol whose cost per balancer does not grow with the size of
 * the zone: one regular probe per interval, indirect probes before a member
 * becomes suspect, and a suspicion timeout in which it can refute before it is
 * declared dead. Keeps a record of every member of the own availability zone
 * and of a few contacts in each other zone.
 * Reference: Das, Gupta, Motivala, "SWIM", DSN 2002.
 */
#ifndef TURMERIC_COORDINATION_MEMBERSHIP_BASE_H_
#define TURMERIC_COORDINATION_MEMBERSHIP_BASE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "turmeric/state/member_type.h"

namespace turmeric {

struct membership_options {
  time_us probe_interval = 200 * us_per_ms;  ///< Between regular probes.
  /** Wait for an ack before the member is probed indirectly. */
  time_us probe_timeout = 300 * us_per_ms;
  /** Time that a suspect has to refute before it is declared dead. */
  time_us suspicion_timeout = 1200 * us_per_ms;
  /** Time that the record of a dead member is kept. */
  time_us tombstone_retention = 600 * us_per_s;
  size_t max_contacts_per_zone = 4;    ///< Usable members kept per other zone.
  size_t max_updates_per_message = 5;  ///< Piggybacked records.
  size_t indirect_probe_fanout = 3;    ///< Members asked to probe indirectly.
  /** Probe intervals after the start in each of which seeds are asked for
   * records; after that, one seed per `dead_probe_period` intervals. */
  uint64_t join_intervals = 15;
  size_t join_fanout = 3;  ///< Seeds asked per interval while joining.
  /** Extra probes per interval of suspects and of unresponsive leaving members,
   * repeated until they refute. */
  size_t max_suspect_probes_per_interval = 3;
  std::vector<endpoint> seeds;  ///< Gossip addresses to join through.
};

struct outgoing_gossip {
  endpoint to;
  gossip_message message;
};

/** Membership view of one balancer. Does no I/O. */
class membership {
 public:
  membership(membership_options options,
             member_record self,
             random_source random);

  /** Runs the timers: probe timeouts, suspicion timeouts and, once per probe
   * interval, new probes and seed contacts.
   * @return Datagrams to send. */
  std::vector<outgoing_gossip> tick(time_us now);

  /** Handles pings, acks, ping requests and sync requests, and merges the
   * records of every message.
   * @return Datagrams to send. */
  std::vector<outgoing_gossip> receive(time_us now,
                                       endpoint from,
                                       const gossip_message& message);

  /** Marks the own record as leaving, to be spread by gossip; idempotent. */
  void leave();

  const member_record& self() const { return self_; }

  /** @return All records kept: the own one first, then those of the other
   * members, including dead ones. */
  std::vector<member_record> view() const;

  /** @return A number that increases whenever view() changes, except for the
   * own count of refutations. */
  uint64_t version() const { return version_; }

  /** @return Newest revision that @p id reported in its own messages, or 0. */
  revision held_revision_of(member_id id) const;

  /** @return Whether this balancer and every usable member of its zone hold
   * @p r or a newer revision. */
  bool zone_holds(revision r) const;

  /** @return Up to @p count other usable members, chosen at random. */
  std::vector<member_record> sample(size_t count);

  /** @return Whether another member is usable. */
  bool has_peers() const;

  /** @return Whether rendezvous hashing selects this balancer as one of
   * the @p count live balancers of its zone for @p role. */
  bool is_selected_for(uint64_t role, size_t count) const;

  /** Sets the newest revision held, which is sent in every message. */
  void set_held_revision(revision held) { held_revision_ = held; }

 private:
  struct peer {
    member_record record;
    time_us suspect_since = 0;
    time_us dead_since = 0;
    /** When a leaving member stopped answering; 0 while it answers. */
    time_us unresponsive_since = 0;
    revision held_revision = 0;
    unsigned retransmits_left = 0;  ///< Times still to piggyback the record.
  };
  struct probe {
    member_id member;
    time_us sent = 0;
    /** Set once ping requests were sent, or if none are to be sent. */
    bool indirect = false;
    endpoint requester;  ///< Member that sent the ping request, if any.
    uint64_t requester_sequence = 0;  ///< 0 for a probe of this balancer.
  };

  gossip_message make_message(gossip_kind kind, uint64_t sequence);
  void add_updates(gossip_message* message, zone_id receiver_zone);
  void add_zone_sample(gossip_message* message);
  void merge(time_us now, const member_record& record);
  void refute(const member_record& record);
  bool should_track(const member_record& record) const;
  void mark_changed(peer* p);
  void merge_message(time_us now, const gossip_message& message);
  void probe_next(time_us now, std::vector<outgoing_gossip>* out);
  void advance_probes(time_us now, std::vector<outgoing_gossip>* out);
  void expire_members(time_us now);
  void probe_suspects(time_us now, std::vector<outgoing_gossip>* out);
  void sync_with_seeds(std::vector<outgoing_gossip>* out);
  member_id next_probe_member();
  unsigned retransmit_limit() const;

  membership_options options_;
  member_record self_;
  random_source random_;
  std::map<member_id, peer> peers_;
  std::map<uint64_t, probe> probes_;
  std::vector<member_id> probe_order_;  ///< Rest of the shuffled probe round.
  uint64_t sequence_ = 0;
  uint64_t probe_intervals_ = 0;
  uint64_t version_ = 1;
  time_us next_probe_at_ = 0;
  unsigned self_retransmits_left_ = 0;
  revision held_revision_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_MEMBERSHIP_BASE_H_
