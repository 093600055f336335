/** @file peer_table_base.h Balancers that a balancer knows, and whom to send
 * heartbeats next. */
#ifndef TURMERIC_COORDINATION_PEER_TABLE_BASE_H_
#define TURMERIC_COORDINATION_PEER_TABLE_BASE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "turmeric/state/peer_message_type.h"

namespace turmeric {

/** Times and bounds of heartbeats. */
struct peer_options {
  std::string name;
  std::string zone;
  endpoint address;
  /** Between two rounds of heartbeats; a peer that starts in a zone that is
   * cut off learns from it where its neighbours are. */
  time_us interval = 250 * us_per_ms;
  /** Between two rounds once a round no longer reaches the whole zone, for the
   * bound on control traffic. */
  time_us large_interval = 500 * us_per_ms;
  size_t group_fanout = 3;  ///< Heartbeats a round within the group.
  size_t other_fanout = 2;  ///< Heartbeats a round to all others.
  /** Balancers of a zone that make one group. Those of a larger zone are halved
   * by their names until a group is no larger, so that what the watching ones
   * of a group send does not grow with the fleet. */
  size_t group_size = 48;
  /** A zone from which no peer was heard for this long counts as silent;
   * longer if its heartbeats are expected less often. */
  time_us silent_zone_time = 1500 * us_per_ms;
  /** A peer silent for this long counts as gone; longer if a round of turns
   * takes longer. */
  time_us alive_time = 2 * us_per_s;
  /** Rounds of turns that a live peer may be silent for: two may be lost. */
  int alive_turns = 3;
  /** A peer silent for this long is forgotten; above the length of usual
   * partitions and restarts. */
  time_us forget_time = 120 * us_per_s;
  size_t shared_peers = 8;  ///< Addresses passed on in a heartbeat.
  /** Addresses tried a round that no heartbeat has come from yet. */
  size_t contact_fanout = 8;
  /** Such an address is tried again after this. */
  time_us contact_retry = 2 * us_per_s;
};

/** A known balancer. */
struct known_peer {
  peer_hello hello;   ///< The last one; without a name if none came.
  time_us heard = 0;  ///< When it came.
  uint64_t id = 0;    ///< Its hashed name.
  time_us added = 0;
  time_us tried = 0;  ///< Last try while nothing has been heard of it.
  std::array<time_us, directory_kinds> behind_since{};  ///< 0 if it is not.
  std::array<time_us, directory_kinds> ahead_since{};   ///< 0 if it is not.
  std::array<time_us, directory_kinds> pushed{};
  uint64_t reports_sequence = 0;  ///< Of its last message about targets.
};

/** What a heartbeat brought. */
enum class hello_result : uint8_t {
  stale,
  known,
  returned,  ///< Of a peer that had counted as gone.
  started,   ///< Of a process not heard before.
};

/** The known balancers. */
class peer_table {
 public:
  explicit peer_table(peer_options options);

  /** Adds an address to try. */
  void add_contact(time_us now, endpoint address);

  /** Takes a heartbeat. */
  hello_result on_hello(time_us now, const peer_hello& hello);

  /** @return The addresses for the next round, in turn.
   * @param whole_group Whether all known peers of the group are among them. */
  std::vector<endpoint> next_round(time_us now, bool whole_group);

  /** @return The time between rounds. */
  time_us interval() const;

  /** @return The live peers of the own group that are not leaving. */
  std::vector<const known_peer*> alive_in_group(time_us now) const;

  /** @return The live peers of the own zone that are not leaving. */
  std::vector<const known_peer*> alive_in_zone(time_us now) const;

  /** @return Other zones with known peers of which none is heard. */
  std::set<std::string> silent_zones(time_us now) const;

  /** @return Addresses of live peers, those of the own zone first. */
  std::vector<endpoint> nearest(time_us now, size_t most) const;

  /** @return Addresses of all known peers. */
  std::vector<endpoint> all() const;

  /** @return Some addresses of live peers, to be passed on. */
  std::vector<endpoint> some_alive(time_us now);

  /** @return Hashes of the names of the live peers. */
  std::vector<uint64_t> alive_ids(time_us now) const;

  /** @return Some addresses to try that nothing was heard of yet. */
  std::vector<endpoint> due_contacts(time_us now);

  /** @return Whether @p peer was heard lately and is not leaving. */
  bool alive(time_us now, const known_peer& peer) const;

  /** @return The number of peers heard of so far. */
  size_t heard() const { return heard_; }

  /** @return The peer at @p address, or null. */
  known_peer* find(endpoint address);

  const std::map<endpoint, known_peer>& peers() const { return peers_; }

 private:
  void forget_silent(time_us now);
  bool in_group(const known_peer& peer) const;
  time_us alive_window(const known_peer& peer) const;
  void update_sizes();
  void take_turns(std::vector<endpoint> from,
                  size_t count,
                  size_t* turn,
                  std::vector<endpoint>* out) const;

  peer_options options_;
  std::map<endpoint, known_peer> peers_;
  uint64_t own_id_ = 0;
  size_t heard_ = 0;         ///< Peers heard of.
  size_t zone_ = 0;          ///< Those of the own zone.
  size_t group_ = 0;         ///< Those of the own group.
  uint64_t group_mask_ = 0;  ///< Bits of the names that tell groups apart.
  size_t group_turn_ = 0;
  size_t other_turn_ = 0;
  size_t share_turn_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_PEER_TABLE_BASE_H_
