/** @file watch_duty.cpp Ranks of a group's balancers for the watches. */
#include "turmeric/coordination/watch_duty_base.h"

#include <algorithm>

namespace turmeric {

watcher_selection::watcher_selection(watch_duty_options options,
                                     std::string name)
    : options_(options), name_(std::move(name)) {}

bool watcher_selection::group_is_large(time_us now,
                                       const peer_table& peers) const {
  return peers.alive_in_group(now).size() + 1 > options_.all_watch;
}

size_t watcher_selection::rank_among(
    const std::vector<const known_peer*>& others) const {
  // The same ones watch all kinds: each of them sends heartbeats to the whole
  // group, and only targets change often.
  const uint64_t own = hash_pair(hash_name(name_), 0);
  return static_cast<size_t>(std::count_if(
      others.begin(), others.end(),
      [own](const known_peer* p) { return hash_pair(p->id, 0) < own; }));
}

bool watcher_selection::reads_first(time_us now,
                                    const peer_table& peers) const {
  return rank_among(peers.alive_in_group(now)) < options_.first_readers;
}

watch_role watcher_selection::decide(time_us now,
                                     directory_kind kind,
                                     const peer_table& peers) {
  const auto others = peers.alive_in_group(now);
  if (others.size() + 1 <= options_.all_watch)
    return watch_role::small_group;
  const auto index = static_cast<size_t>(kind);
  const size_t rank = rank_among(others);
  for (const known_peer* peer : others) {
    if (watches(peer->hello, kind))
      served_[index] = std::max(served_[index], peer->heard);
  }
  if (served_[index] == 0)
    served_[index] = now;  // Just started: others are about to be heard.
  if (rank < options_.watchers)
    return watch_role::chosen;
  const size_t steps = std::min(rank - options_.watchers, options_.max_steps);
  const time_us patience =
      options_.served_time + static_cast<time_us>(steps) * options_.step;
  return now - served_[index] >= patience ? watch_role::stepped_in
                                          : watch_role::passive;
}

}  // namespace turmeric
