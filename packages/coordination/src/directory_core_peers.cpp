/** @file directory_core_peers.cpp Exchange of the directory among balancers. */
#include <algorithm>

#include "turmeric/coordination/directory_core_base.h"
#include "turmeric/state/release_type.h"

namespace turmeric {
namespace {

/** Converts the end of a cold start between local time and the time left that
 * messages carry. To send, @p old_base is the current time and @p new_base 0;
 * on receipt, the other way round. */
target_entry rebase_cold_end(target_entry target,
                             time_us new_base,
                             time_us old_base) {
  if (target.cold_until != 0)
    target.cold_until =
        std::max<time_us>(target.cold_until - old_base, 0) + new_base;
  return target;
}

std::vector<directory_change> to_changes(
    time_us now,
    const peer_directory_delta& directory) {
  std::vector<directory_change> out;
  const auto add = [&](const std::string& name, size_t i,
                       directory_value value) {
    directory_change change;
    change.name = name;
    change.revision = directory.revisions[i];
    change.value = std::make_shared<const directory_value>(std::move(value));
    out.push_back(std::move(change));
  };
  for (size_t i = 0; i < directory.removed_names.size(); ++i) {
    directory_change change;
    change.name = directory.removed_names[i];
    change.revision = directory.removed_revisions[i];
    change.removed = true;
    out.push_back(std::move(change));
  }
  for (size_t i = 0; i < directory.names.size(); ++i) {
    const std::string& name = directory.names[i];
    if (directory.kind == directory_kind::targets)
      add(name, i, rebase_cold_end(directory.targets[i], now, 0));
    else if (directory.kind == directory_kind::routing)
      add(name, i, directory.routings[i]);
    else
      add(name, i, withdrawal_entry{name});
  }
  return out;
}

/** @return Estimated size of the encoded message, in bytes. */
size_t estimated_bytes(const peer_directory_delta& directory) {
  constexpr size_t target_bytes = 120;
  constexpr size_t route_bytes = 70;
  constexpr size_t removed_bytes = 30;
  size_t out = directory.targets.size() * target_bytes +
               directory.removed_names.size() * removed_bytes;
  for (const auto& routing : directory.routings)
    out += routing.routes.size() * route_bytes;
  for (const auto& patch : directory.routing_patches) {
    out += patch.changed.size() * route_bytes +
           patch.removed.size() * removed_bytes;
  }
  return out;
}

bool well_formed(const peer_directory_delta& directory) {
  const size_t count = directory.names.size();
  if (directory.revisions.size() != count ||
      directory.removed_revisions.size() != directory.removed_names.size())
    return false;
  if (directory.kind == directory_kind::targets)
    return directory.targets.size() == count;
  if (directory.kind == directory_kind::routing)
    return directory.routings.size() == count;
  return true;
}

}  // namespace

peer_hello directory_core::make_hello(time_us now) {
  peer_hello hello;
  hello.name = options_.peers.name;
  hello.zone = options_.peers.zone;
  hello.address = options_.peers.address;
  hello.incarnation = options_.incarnation;
  hello.sequence = ++sequence_;
  hello.leaving = leaving_;
  for (size_t i = 0; i < directory_kinds; ++i)
    hello.summaries[i] = syncs_[i].replica.summary();
  hello.features = options_.features;
  hello.release = own_release;
  hello.peers = peers_.addresses_to_share(now);
  for (uint32_t i = 0; i < directory_kinds; ++i) {
    if (is_watching(static_cast<directory_kind>(i)))
      hello.watched_kinds |= 1U << i;
    if (syncs_[i].role == watch_role::relay && syncs_[i].replica.loaded())
      hello.relayed_kinds |= 1U << i;
  }
  return hello;
}

void directory_core::send_round(time_us now, actions* out) {
  // A balancer whose zone is cut off gets the missed changes as soon as its
  // heartbeat arrives in another zone.
  const bool cut_off = !published_silent_zones_.empty() && all_zones_silent();
  next_round_ = now + (cut_off ? options_.isolated_heartbeat_interval
                               : peers_.interval());
  const peer_hello hello = make_hello(now);
  // Passive balancers and relays rely on the heartbeats of those that feed
  // them.
  const round_scope scope = hello.watched_kinds != 0
                                ? round_scope::group_and_feeders
                            : hello.relayed_kinds != 0 ? round_scope::group
                                                       : round_scope::none;
  for (const endpoint& to : peers_.next_round(now, scope))
    out->push_back(send_peer_message{to, hello});
  if (peers_.alive_ids(now) != published_balancers_ ||
      peers_.silent_zones(now) != published_silent_zones_ ||
      peers_.alive_releases(now) != published_releases_)
    publish(now, out);
}

directory_core::actions directory_core::leave(time_us now) {
  actions out;
  leaving_ = true;
  for (const endpoint& to : peers_.all_addresses())
    out.push_back(send_peer_message{to, make_hello(now)});
  return out;
}

directory_core::actions directory_core::on_peer_message(
    time_us now,
    const peer_message& message) {
  actions out;
  if (const auto* hello = std::get_if<peer_hello>(&message))
    on_peer_hello(now, *hello, &out);
  else if (const auto* directory = std::get_if<peer_directory_delta>(&message))
    on_peer_directory(now, *directory, &out);
  else if (const auto* reports = std::get_if<peer_reports>(&message))
    on_peer_reports(now, *reports, &out);
  return out;
}

void directory_core::on_peer_hello(time_us now,
                                   const peer_hello& received,
                                   actions* out) {
  const peer_hello hello = comparable_hello(received);
  const hello_result result = peers_.on_hello(now, hello);
  if (result == hello_result::stale)
    return;
  // Starts in other zones would be a line for each balancer of the fleet.
  if (result == hello_result::started && hello.zone == options_.peers.zone) {
    out->push_back(directory_log_line{
        "peer started",
        {{"peer", hello.name},
         {"incarnation", std::to_string(hello.incarnation)}}});
  }
  // The reply carries this balancer's revisions, from which the peer detects at
  // once which changes either side lacks.
  if (result != hello_result::known)
    out->push_back(send_peer_message{hello.address, make_hello(now)});
  known_peer* peer = peers_.find(hello.address);
  if (result != hello_result::known)
    send_recent_reports(now, *peer, out);
  // This zone was cut off, so its replicas are stale. They catch up at once,
  // since open connections may take seconds to resume.
  if (published_silent_zones_.count(hello.zone) != 0 && all_zones_silent()) {
    published_silent_zones_.clear();
    catch_up_all(now, "zone was cut off from all others", out);
    for (auto& sync : syncs_) {
      sync.behind_since = now - options_.anti_entropy_delay;
      sync.behind_at = sync.replica.summary().revision;
    }
  }
  compare_era(now, hello, out);
  push_if_behind(now, peer, out);
  pull_if_ahead(now, peer, out);
  end_catch_ups(now, hello, out);
  if (!complete())
    contact_more_peers(now, out);
}

void directory_core::announce_to_group(time_us now, actions* out) {
  // Peers that start at the same time can pull from this balancer from now on.
  const peer_hello hello = make_hello(now);
  for (const known_peer* peer : peers_.alive_in_group(now))
    out->push_back(send_peer_message{peer->hello.address, hello});
}

bool directory_core::pull_pending(time_us now, const kind_sync& sync) const {
  constexpr uint32_t max_doublings = 8;
  return sync.pulls != 0 &&
         now - sync.last_pull < std::min(options_.pull_timeout << std::min(
                                             sync.pulls - 1, max_doublings),
                                         options_.max_pull_timeout);
}

void directory_core::contact_more_peers(time_us now, actions* out) {
  const bool pull_needed =
      std::any_of(syncs_.begin(), syncs_.end(), [&](const kind_sync& sync) {
        return !sync.replica.loaded() && !pull_pending(now, sync);
      });
  if (pull_needed)
    next_pull_ = std::min(next_pull_, now + options_.pull_delay);
  if (peers_.heard_count() >= options_.startup_contacts)
    return;
  const peer_hello hello = make_hello(now);
  for (const endpoint& to : peers_.due_contacts(now))
    out->push_back(send_peer_message{to, hello});
}

const known_peer* directory_core::choose_pull_peer(time_us now,
                                                   directory_kind kind) {
  const auto index = static_cast<size_t>(kind);
  std::vector<const known_peer*> own;
  std::vector<const known_peer*> others;
  uint64_t newest_era = 0;
  for (const auto& [address, peer] : peers_.peers()) {
    const directory_summary& summary = peer.hello.summaries[index];
    if (summary.revision == 0 || summary.era < newest_era ||
        !peers_.alive(now, peer))
      continue;
    if (summary.era > newest_era) {
      newest_era = summary.era;
      own.clear();
      others.clear();
    }
    (peer.hello.zone == options_.peers.zone ? own : others).push_back(&peer);
  }
  const auto& from = own.empty() ? others : own;
  return from.empty() ? nullptr : from[random_() % from.size()];
}

void directory_core::pull_from_peers(time_us now, actions* out) {
  next_pull_ = INT64_MAX;
  std::map<endpoint, uint32_t> kinds_by_peer;
  for (size_t i = 0; i < directory_kinds; ++i) {
    kind_sync& sync = syncs_[i];
    if (sync.replica.loaded())
      continue;
    next_pull_ = now + options_.pull_timeout;
    if (pull_pending(now, sync))
      continue;
    const auto* peer = choose_pull_peer(now, static_cast<directory_kind>(i));
    if (peer == nullptr)
      continue;
    sync.last_pull = now;
    ++sync.pulls;
    kinds_by_peer[peer->hello.address] |= 1U << i;
  }
  for (const auto& [to, kinds] : kinds_by_peer) {
    peer_hello hello = make_hello(now);
    hello.requested_kinds = kinds;
    out->push_back(send_peer_message{to, std::move(hello)});
  }
}

bool directory_core::waits_for_peers(time_us now, directory_kind kind) const {
  const kind_sync& sync = syncs_[static_cast<size_t>(kind)];
  if (peers_.peers().size() <= options_.large_fleet_peers ||
      now - started_ >= options_.startup_read_delay)
    return false;
  // When a pull has timed out, the registry may be faster than another peer.
  return sync.pulls == 0 ? !selection_.is_startup_reader(now, peers_)
                         : sync.pulls == 1 && pull_pending(now, sync);
}

bool directory_core::all_zones_silent() const {
  return std::all_of(
      peers_.peers().begin(), peers_.peers().end(), [this](const auto& named) {
        const peer_hello& hello = named.second.hello;
        return hello.name.empty() || hello.zone == options_.peers.zone ||
               published_silent_zones_.count(hello.zone) != 0;
      });
}

void directory_core::pull_if_ahead(time_us now,
                                   known_peer* peer,
                                   actions* out) {
  uint32_t requested_kinds = 0;
  uint32_t requested_if_small = 0;
  for (uint32_t i = 0; i < directory_kinds; ++i) {
    const auto kind = static_cast<directory_kind>(i);
    kind_sync& sync = syncs_[i];
    const directory_summary& own = sync.replica.summary();
    const directory_summary& theirs = peer->hello.summaries[i];
    // A kind that is not loaded is pulled in pull_from_peers().
    if (!is_newer(theirs.version(), own.version()) || same_state(theirs, own) ||
        own.revision == 0)
      continue;
    if (in_different_eras(theirs.version(), own.version())) {
      pull_era(now, kind, theirs.era, out);
      continue;
    }
    // The push to a passive balancer was lost or was too large to be sent.
    const bool is_passive = !watches_registry(sync.role);
    if (is_passive && !is_behind(sync))
      requested_if_small |= 1U << i;
    update_behind(now, kind, out);
    // A balancer that watches may be about to get the change from the registry.
    if (now - sync.behind_since < options_.anti_entropy_delay)
      continue;
    // A passive balancer reads the registry, and pulls only if its last call
    // failed. A watching one always pulls: it has lost its connection without a
    // failed call yet, or is reading the changes now.
    if (is_passive) {
      sync.behind_since = now;
      if (sync.call_id == 0 || !sync.catch_up)
        start_catch_up(now, kind, out);
    }
    if (is_passive && !sync.last_call_failed)
      continue;
    // Several answers could fill a small link and delay each other until none
    // arrives in time.
    if (sync.last_pull != 0 &&
        now - sync.last_pull < options_.anti_entropy_delay)
      continue;
    sync.last_pull = now;
    requested_kinds |= 1U << i;
  }
  if ((requested_kinds | requested_if_small) == 0)
    return;
  peer_hello hello = make_hello(now);
  hello.requested_kinds = requested_kinds;
  hello.requested_if_small = requested_if_small;
  out->push_back(send_peer_message{peer->hello.address, std::move(hello)});
}

bool directory_core::is_behind(const kind_sync& sync) {
  return sync.behind_since != 0 &&
         sync.behind_at == sync.replica.summary().revision;
}

void directory_core::update_behind(time_us now,
                                   directory_kind kind,
                                   actions* out) {
  kind_sync& sync = sync_of(kind);
  // While changes go on, peers get some of them first. A balancer that gets
  // them, too, is not behind.
  if (!is_behind(sync)) {
    sync.behind_since = now;
    sync.behind_at = sync.replica.summary().revision;
  }
  const bool waiting = sync.call_id != 0 && sync.op == registry_op::watch &&
                       !sync.catch_up && !sync.last_call_failed;
  if (!waiting || !watches_registry(sync.role) ||
      now - std::max(sync.behind_since, sync.call_started) <
          options_.overdue_watch_time)
    return;
  out->push_back(
      directory_log_line{"watch overdue, started anew",
                         {{"kind", std::string(name_of(kind))},
                          {"revision", std::to_string(sync.behind_at)}}});
  start_catch_up(now, kind, out);
}

void directory_core::push_if_behind(time_us now,
                                    known_peer* peer,
                                    actions* out) {
  for (size_t i = 0; i < directory_kinds; ++i) {
    const auto kind = static_cast<directory_kind>(i);
    const directory_summary& own = replica(kind).summary();
    const directory_summary& theirs = peer->hello.summaries[i];
    if (!is_newer(own.version(), theirs.version()) ||
        (theirs.revision != 0 && same_state(own, theirs))) {
      peer->behind_since[i] = 0;
      continue;
    }
    if (peer->behind_since[i] == 0)
      peer->behind_since[i] = now;
    const bool pull_requested = (peer->hello.requested_kinds >> i & 1) != 0;
    const bool delta_requested =
        (peer->hello.requested_if_small >> i & 1) != 0 &&
        is_small(directory_for(now, kind, peer->hello));
    // A peer that has not loaded the kind (revision 0) or needs all of it, as
    // it is of an older era, gets it on request only: it pulls from one peer at
    // a time, so that not all of them push to it.
    const bool push_due =
        pull_requested || delta_requested ||
        (theirs.revision != 0 &&
         !in_different_eras(own.version(), theirs.version()) &&
         now - peer->behind_since[i] >= options_.anti_entropy_delay);
    const bool pushed_recently =
        peer->last_pushed[i] != 0 &&
        now - peer->last_pushed[i] < options_.anti_entropy_delay;
    if (push_due && !pushed_recently)
      push_directory(now, kind, peer, out);
  }
}

void directory_core::push_directory(time_us now,
                                    directory_kind kind,
                                    known_peer* peer,
                                    actions* out) {
  peer->last_pushed[static_cast<size_t>(kind)] = now;
  out->push_back(send_peer_message{peer->hello.address,
                                   directory_for(now, kind, peer->hello)});
}

bool directory_core::is_small(const peer_directory_delta& directory) const {
  return estimated_bytes(directory) <= options_.max_push_bytes;
}

void directory_core::push_to_group(time_us now,
                                   directory_kind kind,
                                   actions* out) {
  if (!selection_.zone_is_large(now, peers_))
    return;
  const auto index = static_cast<size_t>(kind);
  const bool is_relay = sync_of(kind).role == watch_role::relay;
  auto receivers = peers_.alive_in_group(now);
  if (!is_relay) {
    const auto zone_feeders = peers_.alive_feeders(now);
    receivers.insert(receivers.end(), zone_feeders.begin(), zone_feeders.end());
  }
  for (const known_peer* live : receivers) {
    // Relays get the change from the watching balancers.
    if (watches(live->hello, kind) || (is_relay && relays(live->hello, kind)))
      continue;
    peer_directory_delta directory = directory_for(now, kind, live->hello);
    if (!is_small(directory))
      continue;
    known_peer* peer = peers_.find(live->hello.address);
    peer->last_pushed[index] = now;
    // Assumes that the push arrives; the next heartbeat shows whether it did.
    peer->hello.summaries[index] = replica(kind).summary();
    out->push_back(
        send_peer_message{peer->hello.address, std::move(directory)});
  }
}

peer_directory_delta directory_core::directory_for(time_us now,
                                                   directory_kind kind,
                                                   const peer_hello& receiver) {
  const directory_replica& own_replica = replica(kind);
  const registry_version receiver_version =
      receiver.summaries[static_cast<size_t>(kind)].version();
  peer_directory_delta out;
  out.to_incarnation = receiver.incarnation;
  out.kind = kind;
  out.era = own_replica.summary().era;
  out.revision = own_replica.summary().revision;
  const bool delta_suffices =
      receiver_version.revision >= own_replica.complete_since() &&
      !in_different_eras(receiver_version, out.version());
  out.from_revision = delta_suffices ? receiver_version.revision : 0;
  for (const std::string& name : own_replica.changed_since(out.from_revision)) {
    const replica_entry& entry = own_replica.entries().at(name);
    if (!entry.registered && out.from_revision != 0) {
      out.removed_names.push_back(name);
      out.removed_revisions.push_back(entry.removed_revision);
    }
    // Of a configuration that became unreadable, the last readable one stays in
    // force; a balancer that starts now has no earlier one.
    const bool last_readable = kind == directory_kind::routing &&
                               entry.registered && entry.value != nullptr;
    if (!entry.usable() && !last_readable)
      continue;
    out.names.push_back(name);
    out.revisions.push_back(entry.revision);
    if (const auto* target = std::get_if<target_entry>(entry.value.get()))
      out.targets.push_back(rebase_cold_end(*target, 0, now));
    if (const auto* routing = std::get_if<routing_entry>(entry.value.get()))
      out.routings.push_back(*routing);
  }
  if (kind == directory_kind::routing && out.from_revision != 0)
    use_routing_patch(receiver, &out);
  return out;
}

void directory_core::use_routing_patch(const peer_hello& receiver,
                                       peer_directory_delta* directory) {
  if (!supports(receiver, peer_feature::routing_patches) ||
      directory->names.size() != 1)
    return;
  const auto& theirs =
      receiver.summaries[static_cast<size_t>(directory_kind::routing)];
  const routing_patch* patch = routing_history_.patch_from(theirs.digest);
  if (patch == nullptr)
    return;
  directory->routings.clear();
  directory->routing_patches = {*patch};
}

bool directory_core::apply_routing_patches(
    peer_directory_delta* directory) const {
  if (directory->routing_patches.empty())
    return true;
  const directory_replica& own = replica(directory_kind::routing);
  const routing_patch& patch = directory->routing_patches.front();
  if (directory->kind != directory_kind::routing ||
      directory->names.size() != 1 ||
      patch.base_digest != own.summary().digest ||
      patch.base_era != own.summary().era)
    return false;
  const auto it = own.entries().find(directory->names.front());
  if (it == own.entries().end() || !it->second.usable() ||
      it->second.value == nullptr)
    return false;
  const auto& base = std::get<routing_entry>(*it->second.value);
  if (base.version != patch.base_version)
    return false;
  auto routing = apply_patch(base, patch);
  if (!routing.has_value())
    return false;
  directory->routings = {std::move(*routing)};
  return true;
}

void directory_core::remember_routing() {
  const directory_replica& own = replica(directory_kind::routing);
  // A patch is made for the one entry of the platform; with several, the digest
  // would not tell which of them a peer has.
  if (own.entries().size() != 1)
    return;
  const replica_entry& entry = own.entries().begin()->second;
  if (entry.usable() && entry.value != nullptr)
    routing_history_.add(own.summary(), entry.value);
}

void directory_core::end_catch_ups(time_us now,
                                   const peer_hello& feeder,
                                   actions* out) {
  if (feeder.zone != options_.peers.zone)
    return;
  for (size_t i = 0; i < directory_kinds; ++i) {
    const auto kind = static_cast<directory_kind>(i);
    kind_sync& sync = syncs_[i];
    const registry_version own = sync.replica.summary().version();
    const registry_version theirs = feeder.summaries[i].version();
    // A lifted withdrawal waits for a newer revision of the targets, which only
    // the registry gives while no target changes.
    const bool awaits_revision =
        kind == directory_kind::targets && !pending_lifts_.empty();
    if (!sync.catch_up || sync.must_list || watches_registry(sync.role) ||
        awaits_revision || !watches(feeder, kind) || is_newer(theirs, own) ||
        in_different_eras(theirs, own))
      continue;
    // A failed call says nothing any more: the changes come from the feeder.
    sync.catch_up = false;
    sync.failures = 0;
    const bool was_lost = std::exchange(sync.last_call_failed, false);
    sync.last_call_lost = false;
    if (was_lost && kind == directory_kind::targets)
      publish(now, out);
  }
}

void directory_core::on_peer_directory(time_us now,
                                       const peer_directory_delta& received,
                                       actions* out) {
  peer_directory_delta directory = received;
  if ((options_.features >>
           static_cast<uint32_t>(peer_feature::routing_patches) &
       1) == 0)
    directory.routing_patches.clear();
  if (directory.to_incarnation != options_.incarnation ||
      !apply_routing_patches(&directory) || !well_formed(directory))
    return;
  kind_sync& sync = sync_of(directory.kind);
  const registry_version version = directory.version();
  const directory_summary& own = sync.replica.summary();
  // After a restore, a revision without an era says nothing.
  if (version.era == 0 && era_.changed())
    return;
  if (!era_.accepts_from_peer(now, version.era, registry_works())) {
    check_era(now, "a peer sent a state of a higher one", out);
    return;
  }
  if (directory.from_revision != 0 &&
      (directory.from_revision > own.revision ||
       in_different_eras(version, own.version())))
    return;  // Changes in between are missing; peers push them later.
  era_.on_peer_state(now, version.era);
  sync.pulls = 0;
  const bool first = !sync.replica.loaded();
  const auto entries = to_changes(now, directory);
  const auto changes = directory.from_revision == 0
                           ? sync.replica.replace(now, version, entries)
                           : sync.replica.apply(now, version, entries);
  on_replica_changes(now, directory.kind, "peer", changes, out);
  // In a zone cut off from the registry, changes arrive from peers of other
  // zones and are pushed on. The first state is not a change that others lack.
  if (!first && !changes.empty() && sync.role != watch_role::passive)
    push_to_group(now, directory.kind, out);
  // A watch in flight is not restarted: its answer is complete from an older
  // revision, so it is either older than this state and ignored, or adds to it.
  if (!sync.must_list || sync.call_id != 0)
    return;
  sync.must_list = false;
}

}  // namespace turmeric
