/** @file watcher_selection_base.h Selects the balancers of a group that watch
 * the registry.
 *
 * Calls to the registry are limited and must not grow with the fleet. In a
 * small group all balancers watch. In a large one a few do, chosen by
 * rendezvous hash, and push changes to the others. When no heartbeat of a
 * watching balancer has arrived for `watcher_timeout`, the others start to
 * watch, one after the other.
 */
#ifndef TURMERIC_COORDINATION_WATCHER_SELECTION_BASE_H_
#define TURMERIC_COORDINATION_WATCHER_SELECTION_BASE_H_

#include "turmeric/coordination/peer_table_base.h"

namespace turmeric {

/** Sizes and times of the selection. */
struct watcher_selection_options {
  /** Balancers of a group up to which all watch. */
  size_t small_group_size = 4;
  /** Balancers that watch in a larger group. Two, so that one still watches
   * while the failure of the other is not detected yet. */
  size_t watchers = 2;
  /** Passive balancers start to watch when no heartbeat of a watching balancer
   * has arrived for this long: twice the interval of these heartbeats and some
   * delay. */
  time_us watcher_timeout = 1200 * us_per_ms;
  /** Balancers of a group that read the registry first when many start at
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

/** Whether this balancer is to watch the registry, and why. */
enum class watch_role : uint8_t {
  small_group,  ///< Watches, as all balancers of a small group do.
  selected,     ///< Watches, selected by its rank in the group.
  fallback,     ///< Watches: no heartbeats of watching balancers arrive.
  passive       ///< Does not watch; relies on the watching balancers.
};

/** Selects the role of one balancer. */
class watcher_selection {
 public:
  watcher_selection(watcher_selection_options options, std::string name);

  /** @return Whether and why this balancer watches @p kind. Anything but
   * `passive` means that it does. */
  watch_role decide(time_us now, directory_kind kind, const peer_table& peers);

  /** @return Whether this balancer is among the few of its group that read the
   * registry first when many start at once. */
  bool is_startup_reader(time_us now, const peer_table& peers) const;

  /** @return Whether the group is above the size up to which all watch, so
   * that it may have passive balancers. */
  bool group_is_large(time_us now, const peer_table& peers) const;

 private:
  size_t rank_among(const std::vector<const known_peer*>& others) const;

  watcher_selection_options options_;
  std::string name_;
  /** By kind, when the last heartbeat of a watching balancer of the group
   * arrived; 0 before the first decision. */
  std::array<time_us, directory_kinds> watcher_heard_{};
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_WATCHER_SELECTION_BASE_H_
