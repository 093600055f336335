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

bool well_formed(const peer_directory& directory) {
  const size_t count = directory.names.size();
  if (directory.revisions.size() != count)
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
  return hello;
}

void directory_core::send_round(time_us now, actions* out) {
  next_round_ = now + options_.peers.interval;
  for (const endpoint& to : peers_.next_round(now))
    out->push_back(send_peer_message{to, make_hello(now)});
  if (peers_.alive_ids(now) != published_balancers_)
    publish(now, out);
}

directory_core::actions directory_core::leave(time_us now) {
  actions out;
  leaving_ = true;
  for (const endpoint& to : peers_.all())
    out.push_back(send_peer_message{to, make_hello(now)});
  return out;
}

directory_core::actions directory_core::on_peer(time_us now,
                                                const peer_message& message) {
  actions out;
  std::visit([&](const auto& m) { on(now, m, &out); }, message);
  return out;
}

void directory_core::on(time_us now, const peer_hello& hello, actions* out) {
  const hello_news news = peers_.on_hello(now, hello);
  if (news == hello_news::stale)
    return;
  if (news == hello_news::started) {
    out->push_back(
        directory_note{"peer started",
                       {{"peer", hello.name},
                        {"incarnation", std::to_string(hello.incarnation)}}});
    out->push_back(send_peer_message{hello.address, make_hello(now)});
  }
  push_to(now, peers_.find(hello.address), out);
}

void directory_core::push_to(time_us now, known_peer* peer, actions* out) {
  for (size_t i = 0; i < directory_kinds; ++i) {
    const directory_mark& own = followers_[i].belief.mark();
    const directory_mark& theirs = peer->hello.marks[i];
    if (own.revision <= theirs.revision ||
        (theirs.revision != 0 && own.digest == theirs.digest)) {
      peer->behind_since[i] = 0;
      continue;
    }
    if (peer->behind_since[i] == 0)
      peer->behind_since[i] = now;
    const bool waited = now - peer->behind_since[i] >= options_.push_patience;
    if (theirs.revision != 0 && !waited)
      continue;
    if (peer->pushed[i] != 0 && now - peer->pushed[i] < options_.push_patience)
      continue;
    peer->pushed[i] = now;
    out->push_back(send_peer_message{
        peer->hello.address, directory_for(now, static_cast<directory_kind>(i),
                                           peer->hello.incarnation)});
  }
}

peer_directory directory_core::directory_for(time_us now,
                                             directory_kind kind,
                                             uint64_t incarnation) const {
  peer_directory out;
  out.to_incarnation = incarnation;
  out.kind = kind;
  out.revision = belief(kind).mark().revision;
  for (const auto& [name, entry] : belief(kind).entries()) {
    if (!entry.registered || entry.value == nullptr)
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
  const auto changes =
      f.belief.replace(now, directory.revision, changes_of(now, directory));
  believe(now, directory.kind, "peer", changes, out);
  // An open watch goes on from an older revision; its answer is complete only
  // from there and is older than what is known now, or adds to it.
  if (!f.must_list || f.call != 0)
    return;
  f.must_list = false;
}

}  // namespace turmeric
