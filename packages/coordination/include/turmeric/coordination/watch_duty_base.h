/** @file watch_duty_base.h Decides which balancers of a group watch the
 * registry.
 *
 * Calls to the registry are limited and must not grow with the fleet. In a
 * small group all balancers watch. In a large one a few do, chosen by
 * rendezvous hash, and send the others what changed. The others step in, one
 * after the other, when no watching balancer has been heard for a while.
 */
#ifndef TURMERIC_COORDINATION_WATCH_DUTY_BASE_H_
#define TURMERIC_COORDINATION_WATCH_DUTY_BASE_H_

#include "turmeric/coordination/peer_table_base.h"

namespace turmeric {

/** Sizes and times of the duty. */
struct watch_duty_options {
  /** Balancers of a group up to which all watch. */
  size_t all_watch = 4;
  /** Balancers that watch in a larger group; one may fail unnoticed. */
  size_t watchers = 2;
  /** Others step in when no watching balancer was heard for this long: twice
   * the interval of their heartbeats and some delay. */
  time_us served_time = 1200 * us_per_ms;
  /** Balancers of a group that read the registry first when many start at
   * once; some of them may not be heard yet, or be slow. */
  size_t first_readers = 4;
  /** How often a balancer that relies on others looks whether they are there.
   */
  time_us check_interval = 200 * us_per_ms;
  /** The next in rank steps in this much later; above a heartbeat's way. */
  time_us step = 100 * us_per_ms;
  size_t max_steps = 10;  ///< Ranks after this step in together.
};

/** Whether this balancer is to watch, and why. */
enum class watch_role : uint8_t { small_group, chosen, stepped_in, passive };

/** The decision for one balancer. */
class watcher_selection {
 public:
  watcher_selection(watch_duty_options options, std::string name);

  /** @return Whether and why this balancer watches @p kind. Anything but
   * `served` means that it does. */
  watch_role decide(time_us now, directory_kind kind, const peer_table& peers);

  /** @return Whether this balancer is among the few of its group that read the
   * registry first when many start at once. */
  bool reads_first(time_us now, const peer_table& peers) const;

  /** @return Whether the group has balancers that rely on others. */
  bool group_is_large(time_us now, const peer_table& peers) const;

 private:
  size_t rank_among(const std::vector<const known_peer*>& others) const;

  watch_duty_options options_;
  std::string name_;
  /** When a watching balancer of the group was last heard. */
  std::array<time_us, directory_kinds> served_{};
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_WATCH_DUTY_BASE_H_
