/** @file watcher_selection.cpp Ranks of a group's balancers and their watch
 * roles. */
#include "turmeric/coordination/watcher_selection_base.h"

#include <algorithm>

namespace turmeric {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(watch_role::end)>
    role_names = {"small_zone", "selected", "fallback", "relay", "passive"};

}  // namespace

std::string_view name_of(watch_role role) {
  return role_names[static_cast<size_t>(role)];
}

watcher_selection::watcher_selection(watcher_selection_options options,
                                     std::string name)
    : options_(options), name_(std::move(name)) {}

bool watcher_selection::zone_is_large(time_us now,
                                      const peer_table& peers) const {
  return peers.alive_in_zone(now).size() + 1 > options_.watchers;
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
  return rank_among(peers.alive_in_zone(now)) < options_.startup_readers;
}

void watcher_selection::update_heard(
    time_us now,
    directory_kind kind,
    const std::vector<const known_peer*>& zone,
    const std::vector<const known_peer*>& group) {
  kind_state& state = states_[static_cast<size_t>(kind)];
  if (state.first_decision == 0)
    state.first_decision = state.watcher_heard = state.feeder_heard = now;
  for (const known_peer* peer : zone) {
    if (watches(peer->hello, kind))
      state.watcher_heard = std::max(state.watcher_heard, peer->last_heard);
  }
  for (const known_peer* peer : group) {
    if (watches(peer->hello, kind) || relays(peer->hello, kind))
      state.feeder_heard = std::max(state.feeder_heard, peer->last_heard);
  }
}

time_us watcher_selection::stagger(size_t rank) const {
  return static_cast<time_us>(std::min(rank, options_.max_staggered_ranks)) *
         options_.fallback_stagger;
}

watch_role watcher_selection::decide(time_us now,
                                     directory_kind kind,
                                     const peer_table& peers) {
  return states_[static_cast<size_t>(kind)].role = next_role(now, kind, peers);
}

watch_role watcher_selection::next_role(time_us now,
                                        directory_kind kind,
                                        const peer_table& peers) {
  const auto zone = peers.alive_in_zone(now);
  const auto group = peers.alive_in_group(now);
  update_heard(now, kind, zone, group);
  const kind_state& state = states_[static_cast<size_t>(kind)];
  if (!peers.peers().empty() &&
      now - state.first_decision < options_.first_watch_delay)
    return watch_role::passive;
  if (zone.size() + 1 <= options_.watchers)
    return watch_role::small_zone;
  std::vector<const known_peer*> watching;
  for (const known_peer* peer : zone) {
    if (watches(peer->hello, kind))
      watching.push_back(peer);
  }
  const bool is_watching = watches_registry(state.role);
  const size_t zone_rank = rank_among(zone);
  if (is_watching ? rank_among(watching) < options_.watchers
                  : zone_rank < options_.watchers &&
                        watching.size() < options_.watchers)
    return watch_role::selected;
  const size_t group_rank = rank_among(group);
  const bool group_is_fed = group.size() == zone.size();
  // The group of the watching balancers of a small zone needs no relays.
  const bool is_relay = !group_is_fed && group_rank < options_.relays;
  const time_us patience =
      options_.watcher_timeout +
      (is_relay || group_is_fed ? 0 : options_.relay_takeover) +
      stagger(group_rank);
  const time_us heard = is_relay ? state.watcher_heard : state.feeder_heard;
  if (now - heard >= patience)
    return watch_role::fallback;
  return is_relay ? watch_role::relay : watch_role::passive;
}

}  // namespace turmeric
