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
  heard_times& heard = heard_[static_cast<size_t>(kind)];
  // Before the first heartbeat the timeouts count from the first decision.
  if (heard.watcher == 0)
    heard.watcher = heard.feeder = now;
  for (const known_peer* peer : zone) {
    if (watches(peer->hello, kind))
      heard.watcher = std::max(heard.watcher, peer->last_heard);
  }
  for (const known_peer* peer : group) {
    if (watches(peer->hello, kind) || relays(peer->hello, kind))
      heard.feeder = std::max(heard.feeder, peer->last_heard);
  }
}

time_us watcher_selection::stagger(size_t rank) const {
  return static_cast<time_us>(std::min(rank, options_.max_staggered_ranks)) *
         options_.fallback_stagger;
}

watch_role watcher_selection::decide(time_us now,
                                     directory_kind kind,
                                     const peer_table& peers) {
  const auto zone = peers.alive_in_zone(now);
  if (zone.size() + 1 <= options_.watchers)
    return watch_role::small_zone;
  const auto group = peers.alive_in_group(now);
  update_heard(now, kind, zone, group);
  const size_t zone_rank = rank_among(zone);
  if (zone_rank < options_.watchers)
    return watch_role::selected;
  const heard_times& heard = heard_[static_cast<size_t>(kind)];
  const size_t group_rank = rank_among(group);
  // The group of the watching balancers needs no relays.
  const bool is_relay =
      group.size() != zone.size() && group_rank < options_.relays;
  if (is_relay) {
    return now - heard.watcher >= options_.watcher_timeout + stagger(group_rank)
               ? watch_role::fallback
               : watch_role::relay;
  }
  const time_us takeover =
      group.size() == zone.size() ? 0 : options_.relay_takeover;
  return now - heard.feeder >= options_.watcher_timeout + takeover +
                                   stagger(group_rank - options_.relays)
             ? watch_role::fallback
             : watch_role::passive;
}

}  // namespace turmeric
