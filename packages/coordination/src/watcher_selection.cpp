/** @file watcher_selection.cpp Ranks of a group's balancers and their watch
 * roles. */
#include "turmeric/coordination/watcher_selection_base.h"

#include <algorithm>

namespace turmeric {

watcher_selection::watcher_selection(watcher_selection_options options,
                                     std::string name)
    : options_(options), name_(std::move(name)) {}

bool watcher_selection::group_is_large(time_us now,
                                       const peer_table& peers) const {
  return peers.alive_in_group(now).size() + 1 > options_.small_group_size;
}

size_t watcher_selection::rank_among(
    const std::vector<const known_peer*>& others) const {
  // The rank does not depend on the kind, so the same balancers watch all
  // kinds: each watching balancer sends heartbeats to the whole group, and only
  // targets change often.
  const uint64_t own = hash_pair(hash_name(name_), 0);
  return static_cast<size_t>(std::count_if(
      others.begin(), others.end(),
      [own](const known_peer* p) { return hash_pair(p->id, 0) < own; }));
}

bool watcher_selection::is_startup_reader(time_us now,
                                          const peer_table& peers) const {
  return rank_among(peers.alive_in_group(now)) < options_.startup_readers;
}

watch_role watcher_selection::decide(time_us now,
                                     directory_kind kind,
                                     const peer_table& peers) {
  const auto others = peers.alive_in_group(now);
  if (others.size() + 1 <= options_.small_group_size)
    return watch_role::small_group;
  const auto index = static_cast<size_t>(kind);
  const size_t rank = rank_among(others);
  for (const known_peer* peer : others) {
    if (watches(peer->hello, kind))
      watcher_heard_[index] = std::max(watcher_heard_[index], peer->last_heard);
  }
  // Before the first heartbeat of a watching balancer, the timeout counts from
  // the first decision.
  if (watcher_heard_[index] == 0)
    watcher_heard_[index] = now;
  if (rank < options_.watchers)
    return watch_role::selected;
  const size_t stagger_steps =
      std::min(rank - options_.watchers, options_.max_staggered_ranks);
  const time_us timeout =
      options_.watcher_timeout +
      static_cast<time_us>(stagger_steps) * options_.fallback_stagger;
  return now - watcher_heard_[index] >= timeout ? watch_role::fallback
                                                : watch_role::passive;
}

}  // namespace turmeric
