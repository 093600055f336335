/** @file peer_table_base.h Known balancers, and whom to send heartbeats
 * next. */
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
  /** Time between two rounds of heartbeats. A peer that starts in a zone that
   * is cut off gets the addresses of its neighbours from them. */
  time_us interval = 250 * us_per_ms;
  /** Time between two rounds once a round no longer reaches the whole zone;
   * keeps the bound on control traffic. */
  time_us large_zone_interval = 500 * us_per_ms;
  size_t group_fanout = 3;  ///< Heartbeats a round within the group.
  size_t other_fanout = 2;  ///< Heartbeats a round to all others.
  /** Balancers of a zone that make one group. Those of a larger zone are halved
   * by the hashes of their names until a group is no larger, so that what the
   * watching balancers of a group send does not grow with the fleet. */
  size_t group_size = 48;
  /** A zone from which no peer was heard for this long counts as silent;
   * longer if its heartbeats are expected less often. */
  time_us silent_zone_timeout = 1500 * us_per_ms;
  /** A peer silent for this long counts as dead; longer if `alive_cycles` take
   * longer. */
  time_us alive_timeout = 2 * us_per_s;
  /** Round-robin cycles over its peers in which a live peer may stay silent:
   * two of its heartbeats may be lost. */
  int alive_cycles = 3;
  /** A peer silent for this long is forgotten; above the length of usual
   * partitions and restarts. */
  time_us forget_timeout = 120 * us_per_s;
  size_t shared_addresses = 8;  ///< Addresses passed on in a heartbeat.
  /** Addresses tried a round that no heartbeat has come from yet. */
  size_t contact_fanout = 8;
  /** Such an address is tried again after this. */
  time_us contact_retry_interval = 2 * us_per_s;
};

/** A known balancer. */
struct known_peer {
  peer_hello hello;        ///< The last one; without a name if none came.
  time_us last_heard = 0;  ///< When it came.
  uint64_t id = 0;         ///< Its hashed name.
  time_us added = 0;
  time_us last_tried = 0;  ///< Last try while nothing has been heard of it.
  std::array<time_us, directory_kinds> behind_since{};  ///< 0 if it is not.
  std::array<time_us, directory_kinds> ahead_since{};   ///< 0 if it is not.
  std::array<time_us, directory_kinds> last_pushed{};   ///< 0 if never.
  uint64_t reports_sequence = 0;  ///< Of its last message about targets.
};

/** What a heartbeat brought. */
enum class hello_result : uint8_t {
  stale,     ///< Older than the last one, or from this balancer itself.
  known,     ///< Of a live peer, from the same process as the last one.
  returned,  ///< Of a peer that had counted as dead or was leaving.
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

  /** @return The addresses for the next round, by round-robin.
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

  /** @return Addresses of at most @p most live peers, those of the own zone
   * first. */
  std::vector<endpoint> nearest(time_us now, size_t most) const;

  /** @return Addresses of all known peers, also of those not heard yet. */
  std::vector<endpoint> all_addresses() const;

  /** @return Some addresses of live peers, to be passed on. */
  std::vector<endpoint> addresses_to_share(time_us now);

  /** @return Hashes of the names of the live peers. */
  std::vector<uint64_t> alive_ids(time_us now) const;

  /** @return Some addresses to try from which no heartbeat has come yet. */
  std::vector<endpoint> due_contacts(time_us now);

  /** @return Whether @p peer was heard lately and is not leaving. */
  bool alive(time_us now, const known_peer& peer) const;

  /** @return The number of known peers that a heartbeat has come from. */
  size_t heard_count() const { return heard_count_; }

  /** @return The peer at @p address, or null. */
  known_peer* find(endpoint address);

  const std::map<endpoint, known_peer>& peers() const { return peers_; }

 private:
  void forget_silent(time_us now);
  bool in_group(const known_peer& peer) const;
  time_us alive_window(const known_peer& peer) const;
  void update_sizes();
  void take_round_robin(std::vector<endpoint> from,
                        size_t count,
                        size_t* cursor,
                        std::vector<endpoint>* out) const;

  peer_options options_;
  std::map<endpoint, known_peer> peers_;
  uint64_t own_id_ = 0;
  size_t heard_count_ = 0;   ///< Peers that a heartbeat has come from.
  size_t zone_size_ = 0;     ///< Those of the own zone.
  size_t group_size_ = 0;    ///< Those of the own group.
  uint64_t group_mask_ = 0;  ///< Bits of the hashed names that select a group.
  size_t group_cursor_ = 0;
  size_t other_cursor_ = 0;
  size_t share_cursor_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_PEER_TABLE_BASE_H_
