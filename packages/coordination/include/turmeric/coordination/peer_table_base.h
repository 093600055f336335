/** @file peer_table_base.h Known balancers and the schedule of heartbeats
 * to them. */
#ifndef TURMERIC_COORDINATION_PEER_TABLE_BASE_H_
#define TURMERIC_COORDINATION_PEER_TABLE_BASE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "turmeric/state/peer_message_type.h"

namespace turmeric {

struct peer_options {
  std::string name;
  std::string zone;
  endpoint address;
  /** Time between rounds of heartbeats. They also bring a balancer that starts
   * in a cut-off zone the addresses of its neighbours. */
  time_us interval = 250 * us_per_ms;
  /** Time between rounds if one does not reach all balancers of the zone; keeps
   * the bound on control traffic. */
  time_us large_zone_interval = 500 * us_per_ms;
  size_t group_fanout = 3;  ///< Heartbeats per round to the group.
  size_t other_fanout = 2;  ///< Heartbeats per round to all others.
  /** Most balancers of a group. A larger zone is halved by the hashes of their
   * names until its groups fit, so that the traffic of a group's watching
   * balancers does not grow with the fleet. */
  size_t group_size = 48;
  /** A zone counts as silent after this time without a heartbeat of its peers;
   * longer if its heartbeats are expected less often. */
  time_us silent_zone_timeout = 1500 * us_per_ms;
  /** A peer counts as dead after this time without a heartbeat; longer if
   * `alive_cycles` take longer. */
  time_us alive_timeout = 2 * us_per_s;
  /** Round-robin cycles of a peer without a heartbeat after which it counts as
   * dead: two of its heartbeats may be lost. */
  int alive_cycles = 3;
  /** A peer is removed after this time without a heartbeat; above the length of
   * usual partitions and restarts. */
  time_us forget_timeout = 120 * us_per_s;
  size_t shared_addresses = 8;  ///< Addresses passed on in a heartbeat.
  /** Addresses without a heartbeat yet that are tried per round. */
  size_t contact_fanout = 8;
  time_us contact_retry_interval = 2 * us_per_s;
};

struct known_peer {
  peer_hello hello;        ///< The last heartbeat; without a name if none came.
  time_us last_heard = 0;  ///< When the last heartbeat came.
  uint64_t id = 0;         ///< Its hashed name.
  time_us added = 0;
  time_us last_tried = 0;  ///< Last try before its first heartbeat.
  std::array<time_us, directory_kinds> behind_since{};  ///< 0 if not behind.
  std::array<time_us, directory_kinds> last_pushed{};   ///< 0 if never.
  uint64_t reports_sequence = 0;  ///< Of its last message of target reports.
};

/** What a heartbeat brought. */
enum class hello_result : uint8_t {
  stale,     ///< Older than the last one, or from this balancer itself.
  known,     ///< Of a live peer, from the same process as the last one.
  returned,  ///< Of a peer that had counted as dead or was leaving.
  started,   ///< The first one of a process.
};

/** Which peers get a heartbeat in each round, beside those chosen by
 * round-robin. */
enum class round_scope : uint8_t {
  none,
  group,              ///< The own group.
  group_and_feeders,  ///< Also those that feed the zone's other groups.
};

class peer_table {
 public:
  explicit peer_table(peer_options options);

  /** Adds an address to try. */
  void add_contact(time_us now, endpoint address);

  hello_result on_hello(time_us now, const peer_hello& hello);

  /** Removes expired peers and starts a round.
   * @return The addresses to send heartbeats to, chosen by round-robin. */
  std::vector<endpoint> next_round(time_us now, round_scope scope);

  /** Time between rounds. */
  time_us interval() const;

  /** @return Live peers of the own group that are not leaving. */
  std::vector<const known_peer*> alive_in_group(time_us now) const;

  /** @return Live relays and watching balancers of the own zone's other groups.
   */
  std::vector<const known_peer*> alive_feeders(time_us now) const;

  /** @return Live peers of the own zone that are not leaving. */
  std::vector<const known_peer*> alive_in_zone(time_us now) const;

  /** @return Other zones with peers that are not leaving, from which no
   * heartbeat has arrived within the timeout. */
  std::set<std::string> silent_zones(time_us now) const;

  /** @return Addresses of at most @p most live peers, those of the own zone
   * first. */
  std::vector<endpoint> nearest(time_us now, size_t most) const;

  /** Includes peers without a heartbeat yet. */
  std::vector<endpoint> all_addresses() const;

  /** @return At most `shared_addresses` addresses of live peers for the next
   * heartbeat, by round-robin. */
  std::vector<endpoint> addresses_to_share(time_us now);

  /** @return Hashes of the names of the live peers. */
  std::vector<uint64_t> alive_ids(time_us now) const;

  /** @return The number of live peers of each release. */
  std::map<uint32_t, size_t> alive_releases(time_us now) const;

  /** @return At most `contact_fanout` addresses to try from which no heartbeat
   * has come yet. */
  std::vector<endpoint> due_contacts(time_us now);

  /** @return Whether a heartbeat of @p peer arrived within its timeout and it
   * is not leaving. */
  bool alive(time_us now, const known_peer& peer) const;

  /** @return Number of peers that a heartbeat has come from. */
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
  size_t heard_count_ = 0;
  size_t zone_size_ = 0;     ///< Peers of the own zone.
  size_t group_size_ = 0;    ///< Peers of the own group.
  uint64_t group_mask_ = 0;  ///< Bits of the hashed names that select a group.
  size_t group_cursor_ = 0;
  size_t other_cursor_ = 0;
  size_t share_cursor_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_PEER_TABLE_BASE_H_
