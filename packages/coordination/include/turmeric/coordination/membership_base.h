/** @file membership_base.h Failure detection and dissemination among balancers.
 *
 * A SWIM-like protocol of constant cost for a node: one probe an interval,
 * probing through others before suspicion, time to refute before death.
 * The whole of the own availability zone is known, and a few contacts in each
 * other one. Reference: Das, Gupta, Motivala, "SWIM", DSN 2002.
 */
#ifndef TURMERIC_COORDINATION_MEMBERSHIP_BASE_H_
#define TURMERIC_COORDINATION_MEMBERSHIP_BASE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "turmeric/state/member_type.h"

namespace turmeric {

/** Timing and bounds of the protocol. */
struct membership_options {
  time_us probe_interval = 200 * us_per_ms;
  time_us probe_timeout = 300 * us_per_ms;
  time_us suspicion_timeout = 1200 * us_per_ms;
  time_us tombstone = 600 * us_per_s;  ///< Dead members are kept this long.
  size_t contacts_per_zone = 4;        ///< Known members of another zone.
  size_t updates_per_message = 5;
  size_t indirect_probes = 3;
  uint64_t join_intervals = 15;      ///< Intervals that count as joining.
  size_t join_fanout = 3;            ///< Seeds asked an interval while joining.
  size_t suspects_per_interval = 3;  ///< Probed again until they refute.
  std::vector<endpoint> seeds;
};

/** A control datagram to send. */
struct outgoing_gossip {
  endpoint to;
  gossip_message message;
};

/** What one balancer knows of the others. */
class membership {
 public:
  membership(membership_options options,
             member_record self,
             random_source random);

  /** Runs the timers. @return Datagrams to send. */
  std::vector<outgoing_gossip> tick(time_us now);

  /** Handles pings, acks, probe requests and syncs.
   * @return Datagrams to send. */
  std::vector<outgoing_gossip> receive(time_us now,
                                       endpoint from,
                                       const gossip_message& message);

  /** Announces that this balancer is about to stop. */
  void leave();

  /** @return The own record. */
  const member_record& self() const { return self_; }

  /** @return All records kept, the own one first, dead ones included. */
  std::vector<member_record> view() const;

  /** @return A number that grows whenever view() changes. */
  uint64_t version() const { return version_; }

  /** @return Newest revision that @p id reported itself, or 0. */
  revision known_by(member_id id) const;

  /** @return Whether every usable member of the own zone holds @p r. */
  bool zone_holds(revision r) const;

  /** @return Up to @p count usable members chosen at random. */
  std::vector<member_record> sample(size_t count);

  /** @return Whether any other member is live. */
  bool has_peers() const;

  /** @return Whether this balancer is among the @p count of its zone that a
   * rendezvous choice picks for @p role. */
  bool picked_for(uint64_t role, size_t count) const;

  /** Newest revision held here; rides on every message. */
  void set_known(revision known) { known_ = known; }

 private:
  struct peer {
    member_record record;
    time_us suspect_since = 0;
    time_us dead_since = 0;
    time_us silent_since = 0;  ///< Of a leaving member; 0 if it answers.
    revision known = 0;
    unsigned sends_left = 0;  ///< Piggyback transmissions still to do.
  };
  struct probe {
    member_id target;
    time_us sent = 0;
    bool indirect = false;
    endpoint on_behalf_of;  ///< Set when another member asked.
    uint64_t their_sequence = 0;
  };

  gossip_message make(gossip_kind kind, uint64_t sequence);
  void add_updates(gossip_message* message, zone_id receiver_zone);
  void add_zone_sample(gossip_message* message);
  void merge(time_us now, const member_record& record);
  void refute(const member_record& record);
  bool wanted(const member_record& record) const;
  void mark_changed(peer* p);
  void heard_from(time_us now, const gossip_message& message);
  void probe_next(time_us now, std::vector<outgoing_gossip>* out);
  void check_probes(time_us now, std::vector<outgoing_gossip>* out);
  void check_suspects(time_us now);
  void probe_suspects(time_us now, std::vector<outgoing_gossip>* out);
  void contact_seeds(std::vector<outgoing_gossip>* out);
  member_id next_probe_target();
  unsigned transmissions() const;

  membership_options options_;
  member_record self_;
  random_source random_;
  std::map<member_id, peer> peers_;
  std::map<uint64_t, probe> probes_;
  std::vector<member_id> round_;  ///< Shuffled members still to probe.
  uint64_t sequence_ = 0;
  uint64_t ticks_ = 0;
  uint64_t version_ = 1;
  time_us next_probe_at_ = 0;
  unsigned self_sends_left_ = 0;
  revision known_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_MEMBERSHIP_BASE_H_
