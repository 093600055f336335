/** @file directory_core_peers.cpp Sharing of the directory among balancers. */
#include <algorithm>

#include "turmeric/coordination/directory_core_base.h"

namespace turmeric {
namespace {

/** Ends of cold starts are local times; messages carry the time left. */
target_entry with_shifted_cold(target_entry target,
                               time_us shift,
                               time_us now) {
  if (target.cold_until != 0)
    target.cold_until = std::max<time_us>(target.cold_until - now, 0) + shift;
  return target;
}

std::vector<directory_change> changes_of(time_us now,
                                         const peer_directory& directory) {
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
      add(name, i, with_shifted_cold(directory.targets[i], now, 0));
    else if (directory.kind == directory_kind::routing)
      add(name, i, directory.routings[i]);
    else
      add(name, i, withdrawal_entry{name});
  }
  return out;
}

/** Roughly the bytes of an encoded message. */
size_t bytes_of(const peer_directory& directory) {
  constexpr size_t target_bytes = 120;
  constexpr size_t route_bytes = 70;
  constexpr size_t removed_bytes = 30;
  size_t out = directory.targets.size() * target_bytes +
               directory.removed_names.size() * removed_bytes;
  for (const auto& routing : directory.routings)
    out += routing.routes.size() * route_bytes;
  return out;
}

bool well_formed(const peer_directory& directory) {
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
    hello.marks[i] = followers_[i].belief.mark();
  hello.peers = peers_.some_alive(now);
  for (uint32_t i = 0; i < directory_kinds; ++i) {
    if (in_contact(static_cast<directory_kind>(i)))
      hello.watching |= 1U << i;
  }
  return hello;
}

void directory_core::send_round(time_us now, actions* out) {
  // One that is cut off learns what it missed as soon as it is heard again.
  const bool cut_off = !published_silent_.empty() && all_zones_silent();
  next_round_ = now + (cut_off ? options_.isolated_heartbeat_interval
                               : peers_.interval());
  const peer_hello hello = make_hello(now);
  // The others rely on hearing those that watch.
  for (const endpoint& to : peers_.next_round(now, hello.watching != 0))
    out->push_back(send_peer_message{to, hello});
  if (peers_.alive_ids(now) != published_balancers_ ||
      peers_.silent_zones(now) != published_silent_)
    publish(now, out);
}

directory_core::actions directory_core::leave(time_us now) {
  actions out;
  leaving_ = true;
  for (const endpoint& to : peers_.all())
    out.push_back(send_peer_message{to, make_hello(now)});
  return out;
}

directory_core::actions directory_core::on_peer_message(
    time_us now,
    const peer_message& message) {
  actions out;
  if (const auto* hello = std::get_if<peer_hello>(&message))
    on(now, *hello, &out);
  else if (const auto* directory = std::get_if<peer_directory>(&message))
    on(now, *directory, &out);
  else if (const auto* reports = std::get_if<peer_reports>(&message))
    on(now, *reports, &out);
  return out;
}

void directory_core::on(time_us now, const peer_hello& hello, actions* out) {
  const hello_result news = peers_.on_hello(now, hello);
  if (news == hello_result::stale)
    return;
  if (news == hello_result::started) {
    out->push_back(directory_log_line{
        "peer started",
        {{"peer", hello.name},
         {"incarnation", std::to_string(hello.incarnation)}}});
  }
  // Each tells the other at once what it missed.
  if (news != hello_result::known)
    out->push_back(send_peer_message{hello.address, make_hello(now)});
  known_peer* peer = peers_.find(hello.address);
  if (news != hello_result::known)
    tell_what_holds(now, *peer, out);
  // This zone was cut off, and what it knows is old. Open connections may
  // take seconds to notice that the way is free again.
  if (published_silent_.count(hello.zone) != 0 && all_zones_silent()) {
    published_silent_.clear();
    refresh(now, "zone was cut off", out);
    peer->ahead_since.fill(now - options_.anti_entropy_delay);
  }
  push_to(now, peer, out);
  ask_if_ahead(now, peer, out);
  if (!complete())
    meet_more(now, out);
}

void directory_core::announce(time_us now, actions* out) {
  // Those that start at the same time can ask this one now.
  const peer_hello hello = make_hello(now);
  for (const known_peer* peer : peers_.alive_in_group(now))
    out->push_back(send_peer_message{peer->hello.address, hello});
}

bool directory_core::waits_for_answer(time_us now, const follower& f) const {
  constexpr uint32_t max_doublings = 8;
  return f.asks != 0 &&
         now - f.asked < std::min(options_.pull_timeout
                                      << std::min(f.asks - 1, max_doublings),
                                  options_.max_ask_patience);
}

void directory_core::meet_more(time_us now, actions* out) {
  const bool waits =
      std::any_of(followers_.begin(), followers_.end(), [&](const follower& f) {
        return !f.belief.loaded() && !waits_for_answer(now, f);
      });
  if (waits)
    next_ask_ = std::min(next_ask_, now + options_.pull_delay);
  if (peers_.heard() >= options_.first_contacts)
    return;
  const peer_hello hello = make_hello(now);
  for (const endpoint& to : peers_.due_contacts(now))
    out->push_back(send_peer_message{to, hello});
}

const known_peer* directory_core::peer_to_ask(time_us now,
                                              directory_kind kind) {
  const auto index = static_cast<size_t>(kind);
  std::vector<const known_peer*> own;
  std::vector<const known_peer*> others;
  for (const auto& [address, peer] : peers_.peers()) {
    if (peer.hello.marks[index].revision != 0 && peers_.alive(now, peer))
      (peer.hello.zone == options_.peers.zone ? own : others).push_back(&peer);
  }
  const auto& from = own.empty() ? others : own;
  return from.empty() ? nullptr : from[random_() % from.size()];
}

void directory_core::ask_peers(time_us now, actions* out) {
  next_ask_ = INT64_MAX;
  std::map<endpoint, uint32_t> wants;
  for (size_t i = 0; i < directory_kinds; ++i) {
    follower& f = followers_[i];
    if (f.belief.loaded())
      continue;
    next_ask_ = now + options_.pull_timeout;
    if (waits_for_answer(now, f))
      continue;
    const auto* peer = peer_to_ask(now, static_cast<directory_kind>(i));
    if (peer == nullptr)
      continue;
    f.asked = now;
    ++f.asks;
    wants[peer->hello.address] |= 1U << i;
  }
  for (const auto& [to, kinds] : wants) {
    peer_hello hello = make_hello(now);
    hello.wants = kinds;
    out->push_back(send_peer_message{to, std::move(hello)});
  }
}

bool directory_core::left_to_peers(time_us now, directory_kind kind) const {
  const follower& f = followers_[static_cast<size_t>(kind)];
  if (peers_.peers().size() <= options_.large_fleet ||
      now - started_ >= options_.first_patience)
    return false;
  // Once a peer has not answered, the registry may be faster.
  return f.asks == 0 ? !duty_.reads_first(now, peers_)
                     : f.asks == 1 && waits_for_answer(now, f);
}

bool directory_core::all_zones_silent() const {
  return std::all_of(
      peers_.peers().begin(), peers_.peers().end(), [this](const auto& named) {
        const peer_hello& hello = named.second.hello;
        return hello.name.empty() || hello.zone == options_.peers.zone ||
               published_silent_.count(hello.zone) != 0;
      });
}

void directory_core::ask_if_ahead(time_us now, known_peer* peer, actions* out) {
  uint32_t wants = 0;
  uint32_t wants_news = 0;
  for (uint32_t i = 0; i < directory_kinds; ++i) {
    const directory_mark& own = followers_[i].belief.mark();
    const directory_mark& theirs = peer->hello.marks[i];
    time_us& since = peer->ahead_since[i];
    // What is not known at all is asked for in ask_peers().
    if (theirs.revision <= own.revision || theirs.digest == own.digest ||
        own.revision == 0) {
      since = 0;
      continue;
    }
    follower& f = followers_[i];
    const bool relies = f.duty == watch_role::passive;
    // The push to one that relies on others went astray, or was too large.
    if (since == 0 && relies)
      wants_news |= 1U << i;
    if (since == 0)
      since = now;
    // The registry may be about to tell the others.
    if (now - since < options_.anti_entropy_delay)
      continue;
    // One that relies on others reads the registry itself; one that watches it
    // has lost it without having noticed yet, or reads it just now.
    if (relies) {
      since = now;
      if (f.call == 0 || !f.brief)
        read_again(now, static_cast<directory_kind>(i), out);
    }
    if (relies && !f.lost)
      continue;
    // An answer may fill a small link for a while; more of them would only
    // keep each other from arriving.
    if (f.asked != 0 && now - f.asked < options_.anti_entropy_delay)
      continue;
    f.asked = now;
    wants |= 1U << i;
  }
  if ((wants | wants_news) == 0)
    return;
  peer_hello hello = make_hello(now);
  hello.wants = wants;
  hello.wants_news = wants_news;
  out->push_back(send_peer_message{peer->hello.address, std::move(hello)});
}

void directory_core::push_to(time_us now, known_peer* peer, actions* out) {
  for (size_t i = 0; i < directory_kinds; ++i) {
    const auto kind = static_cast<directory_kind>(i);
    const directory_mark& own = replica(kind).mark();
    const directory_mark& theirs = peer->hello.marks[i];
    if (own.revision <= theirs.revision ||
        (theirs.revision != 0 && own.digest == theirs.digest)) {
      peer->behind_since[i] = 0;
      continue;
    }
    if (peer->behind_since[i] == 0)
      peer->behind_since[i] = now;
    const bool asked = (peer->hello.wants >> i & 1) != 0;
    // One that knows nothing asks by itself, and not everybody.
    const bool news = (peer->hello.wants_news >> i & 1) != 0 &&
                      is_small(directory_for(now, kind, peer->hello));
    const bool waited =
        asked || news ||
        (theirs.revision != 0 &&
         now - peer->behind_since[i] >= options_.anti_entropy_delay);
    const bool pushed_lately =
        peer->pushed[i] != 0 &&
        now - peer->pushed[i] < options_.anti_entropy_delay;
    if (waited && !pushed_lately)
      push_kind(now, kind, peer, out);
  }
}

void directory_core::push_kind(time_us now,
                               directory_kind kind,
                               known_peer* peer,
                               actions* out) {
  peer->pushed[static_cast<size_t>(kind)] = now;
  out->push_back(send_peer_message{peer->hello.address,
                                   directory_for(now, kind, peer->hello)});
}

bool directory_core::is_small(const peer_directory& directory) const {
  return bytes_of(directory) <= options_.max_push_bytes;
}

void directory_core::push_change(time_us now,
                                 directory_kind kind,
                                 actions* out) {
  if (!duty_.group_is_large(now, peers_))
    return;
  const auto index = static_cast<size_t>(kind);
  for (const known_peer* live : peers_.alive_in_group(now)) {
    if (watches(live->hello, kind))
      continue;
    peer_directory directory = directory_for(now, kind, live->hello);
    if (!is_small(directory))
      continue;
    known_peer* peer = peers_.find(live->hello.address);
    peer->pushed[index] = now;
    // Its next heartbeat tells whether this arrived.
    peer->hello.marks[index] = replica(kind).mark();
    out->push_back(
        send_peer_message{peer->hello.address, std::move(directory)});
  }
}

peer_directory directory_core::directory_for(time_us now,
                                             directory_kind kind,
                                             const peer_hello& receiver) const {
  const directory_replica& known = replica(kind);
  const uint64_t theirs = receiver.marks[static_cast<size_t>(kind)].revision;
  peer_directory out;
  out.to_incarnation = receiver.incarnation;
  out.kind = kind;
  out.revision = known.mark().revision;
  out.from_revision = theirs >= known.complete_since() ? theirs : 0;
  for (const std::string& name : known.changed_since(out.from_revision)) {
    const believed_entry& entry = known.entries().at(name);
    if (!entry.registered && out.from_revision != 0) {
      out.removed_names.push_back(name);
      out.removed_revisions.push_back(entry.removed_revision);
    }
    if (!entry.usable())
      continue;
    out.names.push_back(name);
    out.revisions.push_back(entry.revision);
    if (const auto* target = std::get_if<target_entry>(entry.value.get()))
      out.targets.push_back(with_shifted_cold(*target, 0, now));
    if (const auto* routing = std::get_if<routing_entry>(entry.value.get()))
      out.routings.push_back(*routing);
  }
  return out;
}

void directory_core::on(time_us now,
                        const peer_directory& directory,
                        actions* out) {
  if (directory.to_incarnation != options_.incarnation ||
      !well_formed(directory))
    return;
  follower& f = of(directory.kind);
  if (directory.from_revision > f.belief.mark().revision)
    return;  // Changes in between are missing; heartbeats bring them.
  const bool first = !f.belief.loaded();
  const auto received = changes_of(now, directory);
  const auto changes = directory.from_revision == 0
                           ? f.belief.replace(now, directory.revision, received)
                           : f.belief.apply(now, directory.revision, received);
  believe(now, directory.kind, "peer", changes, out);
  // In a zone that is cut off from the registry the news comes from elsewhere.
  // What a balancer learns at its start is no news.
  if (!first && !changes.empty() && f.duty != watch_role::passive)
    push_change(now, directory.kind, out);
  // An open watch goes on from an older revision; its answer is complete only
  // from there and is older than what is known now, or adds to it.
  if (!f.must_list || f.call != 0)
    return;
  f.must_list = false;
}

}  // namespace turmeric
