/** @file watcher_selection_base.h Selects the balancers of an availability zone
 * that watch the registry.
 *
 * Calls to the registry are limited and priced, and must grow neither with the
 * balancers of a zone nor with its groups. In a zone of up to two balancers all
 * watch. In a larger one two do: those that come first by rendezvous hash when
 * it starts, and then those that watch already, so that balancers that join do
 * not change it. They push changes to their group and to a few relays in each
 * other group of the zone, which push them on. When no heartbeat of a watching
 * balancer has arrived for `watcher_timeout`, the others start to watch, one
 * after the other: the relays first, then the balancers of groups without a
 * live relay. Those that find out that more than two watch stop it again.
 */
#ifndef TURMERIC_COORDINATION_WATCHER_SELECTION_BASE_H_
#define TURMERIC_COORDINATION_WATCHER_SELECTION_BASE_H_

#include "turmeric/coordination/peer_table_base.h"

namespace turmeric {

/** Sizes and times of the selection. */
struct watcher_selection_options {
  /** Balancers of a zone that watch; in a smaller zone all do. Two, so that one
   * still watches while the failure of the other is not detected yet. */
  size_t watchers = 2;
  /** Relays of a group without watching balancers; two for the same reason. */
  size_t relays = 2;
  /** Passive balancers start to watch when no heartbeat of a watching balancer
   * has arrived for this long: twice the interval of these heartbeats and some
   * delay. */
  time_us watcher_timeout = 1200 * us_per_ms;
  /** Time that the other balancers of a group wait beyond it, in which a relay
   * that lost its watching balancers starts to watch itself. */
  time_us relay_takeover = 600 * us_per_ms;
  /** Time from the first decision until a balancer may start to watch:
   * heartbeats of those that watch already, or of the other starting ones,
   * arrive within it. */
  time_us first_watch_delay = 600 * us_per_ms;
  /** Balancers of a zone that read the registry first when many start at
   * once. More than the watchers, since some may be slow, or their first
   * heartbeats may not have arrived yet. */
  size_t startup_readers = 4;
  /** Time between two checks of a passive balancer whether heartbeats of a
   * watching one still arrive. */
  time_us check_interval = 200 * us_per_ms;
  /** Each further rank starts to watch this much later, which is above the
   * latency of a heartbeat. */
  time_us fallback_stagger = 100 * us_per_ms;
  /** Ranks beyond this many start to watch together. */
  size_t max_staggered_ranks = 10;
};

/** How this balancer gets the changes of a kind. */
enum class watch_role : uint8_t {
  small_zone,  ///< Watches, as all balancers of a small zone do.
  selected,    ///< Watches for the zone.
  fallback,    ///< Watches: no heartbeats of a balancer that feeds it arrive.
  relay,       ///< Gets pushes of watching balancers, pushes to its group.
  passive,     ///< Gets pushes of its group's relays or watching balancers.
  end
};

/** @return The name of @p role in logs. */
std::string_view name_of(watch_role role);

/** @return Whether a balancer of this role watches the registry. */
inline bool watches_registry(watch_role role) {
  return role != watch_role::relay && role != watch_role::passive;
}

/** Selects the role of one balancer. */
class watcher_selection {
 public:
  watcher_selection(watcher_selection_options options, std::string name);

  /** @return The role of this balancer for @p kind, which depends on the last
   * one. */
  watch_role decide(time_us now, directory_kind kind, const peer_table& peers);

  /** @return Whether this balancer is among the few of its zone that read the
   * registry first when many start at once. */
  bool is_startup_reader(time_us now, const peer_table& peers) const;

  /** @return Whether the zone is above the size up to which all watch, so that
   * it may have passive balancers. */
  bool zone_is_large(time_us now, const peer_table& peers) const;

 private:
  struct kind_state {
    watch_role role = watch_role::passive;  ///< The last one decided.
    time_us first_decision = 0;
    // When heartbeats arrived last; from the first decision on.
    time_us watcher_heard = 0;  ///< Of a watching balancer of the zone.
    time_us feeder_heard = 0;   ///< Of the group's watching ones and relays.
  };

  watch_role next_role(time_us now,
                       directory_kind kind,
                       const peer_table& peers);
  size_t rank_among(const std::vector<const known_peer*>& others) const;
  void update_heard(time_us now,
                    directory_kind kind,
                    const std::vector<const known_peer*>& zone,
                    const std::vector<const known_peer*>& group);
  /** @return Stagger of a balancer that is @p rank places behind the first that
   * would take over. */
  time_us stagger(size_t rank) const;

  watcher_selection_options options_;
  std::string name_;
  std::array<kind_state, directory_kinds> states_{};
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_WATCHER_SELECTION_BASE_H_
