/** @file peer_table.cpp Known balancers and rounds of heartbeats. */
#include "turmeric/coordination/peer_table_base.h"

#include <algorithm>

namespace turmeric {

namespace {

uint64_t order_key(uint64_t balancer, const endpoint& peer) {
  return hash_pair(balancer,
                   (static_cast<uint64_t>(peer.ip) << 16) | peer.port);
}

}  // namespace

peer_table::peer_table(peer_options options)
    : options_(std::move(options)), own_id_(hash_name(options_.name)) {}

void peer_table::add_contact(time_us now, endpoint address) {
  if (address == options_.address)
    return;
  const auto [it, added] = peers_.try_emplace(address);
  if (added)
    it->second.added = now;
}

hello_result peer_table::on_hello(time_us now, const peer_hello& hello) {
  if (hello.address == options_.address)
    return hello_result::stale;
  add_contact(now, hello.address);
  known_peer& peer = peers_[hello.address];
  const peer_hello& last = peer.hello;
  const auto order = std::make_pair(hello.incarnation, hello.sequence);
  if (!last.name.empty() &&
      order <= std::make_pair(last.incarnation, last.sequence))
    return hello_result::stale;
  const bool started =
      last.name.empty() || last.incarnation != hello.incarnation;
  if (started) {
    peer.behind_since = {};
    peer.last_pushed = {};
    peer.reports_sequence = 0;
  }
  const bool returned = !last.name.empty() && !alive(now, peer);
  peer.hello = hello;
  peer.id = hash_name(hello.name);
  peer.last_heard = now;
  if (started)
    update_sizes();
  for (const endpoint& other : hello.peers)
    add_contact(now, other);
  if (started)
    return hello_result::started;
  return returned ? hello_result::returned : hello_result::known;
}

void peer_table::take_round_robin(std::vector<endpoint> from,
                                  size_t count,
                                  size_t* cursor,
                                  std::vector<endpoint>* out) const {
  // Each balancer uses an order of its own. With a common one the heartbeats of
  // all balancers of a zone would reach a peer at the same time.
  const uint64_t own = hash_name(options_.name);
  std::sort(from.begin(), from.end(),
            [own](const endpoint& a, const endpoint& b) {
              return order_key(own, a) < order_key(own, b);
            });
  for (size_t i = 0; i < std::min(count, from.size()); ++i)
    out->push_back(from[(*cursor)++ % from.size()]);
}

time_us peer_table::interval() const {
  return zone_size_ > options_.group_fanout ? options_.large_zone_interval
                                            : options_.interval;
}

bool peer_table::in_group(const known_peer& peer) const {
  return peer.hello.zone == options_.zone &&
         ((peer.id ^ own_id_) & group_mask_) == 0;
}

time_us peer_table::alive_window(const known_peer& peer) const {
  const bool own = in_group(peer);
  const size_t count = own ? group_size_ : heard_count_ - group_size_;
  const size_t fanout = own ? options_.group_fanout : options_.other_fanout;
  const auto rounds = static_cast<time_us>((count + fanout - 1) / fanout);
  return std::max(options_.alive_timeout,
                  options_.alive_cycles * rounds * interval());
}

bool peer_table::alive(time_us now, const known_peer& peer) const {
  return !peer.hello.name.empty() && !peer.hello.leaving &&
         now - peer.last_heard < alive_window(peer);
}

void peer_table::update_sizes() {
  heard_count_ = zone_size_ = group_size_ = 0;
  for (const auto& [address, peer] : peers_) {
    heard_count_ += peer.hello.name.empty() ? 0 : 1;
    zone_size_ += peer.hello.zone == options_.zone ? 1 : 0;
  }
  group_mask_ = 0;
  for (size_t size = zone_size_ + 1; size > options_.group_size; size /= 2)
    group_mask_ = group_mask_ * 2 + 1;
  for (const auto& [address, peer] : peers_)
    group_size_ += in_group(peer) ? 1 : 0;
}

std::vector<const known_peer*> peer_table::alive_in_group(time_us now) const {
  std::vector<const known_peer*> out;
  for (const auto& [address, peer] : peers_) {
    if (in_group(peer) && alive(now, peer))
      out.push_back(&peer);
  }
  return out;
}

std::vector<const known_peer*> peer_table::alive_feeders(time_us now) const {
  std::vector<const known_peer*> out;
  for (const auto& [address, peer] : peers_) {
    if ((peer.hello.relayed_kinds | peer.hello.watched_kinds) != 0 &&
        peer.hello.zone == options_.zone && !in_group(peer) && alive(now, peer))
      out.push_back(&peer);
  }
  return out;
}

std::vector<const known_peer*> peer_table::alive_in_zone(time_us now) const {
  std::vector<const known_peer*> out;
  for (const auto& [address, peer] : peers_) {
    if (peer.hello.zone == options_.zone && alive(now, peer))
      out.push_back(&peer);
  }
  return out;
}

void peer_table::forget_silent(time_us now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const known_peer& peer = it->second;
    const bool expired = now - std::max(peer.last_heard, peer.added) >=
                         std::max(options_.forget_timeout, alive_window(peer));
    it = expired ? peers_.erase(it) : std::next(it);
  }
  update_sizes();
}

std::vector<endpoint> peer_table::due_contacts(time_us now) {
  std::vector<endpoint> out;
  for (auto& [address, peer] : peers_) {
    if (out.size() == options_.contact_fanout)
      break;
    if (!peer.hello.name.empty() ||
        (peer.last_tried != 0 &&
         now - peer.last_tried < options_.contact_retry_interval))
      continue;
    peer.last_tried = now;
    out.push_back(address);
  }
  return out;
}

std::vector<endpoint> peer_table::next_round(time_us now, round_scope scope) {
  forget_silent(now);
  std::vector<endpoint> group;
  std::vector<endpoint> others;
  for (const auto& [address, peer] : peers_) {
    if (!peer.hello.name.empty())
      (in_group(peer) ? group : others).push_back(address);
  }
  std::vector<endpoint> out = due_contacts(now);
  take_round_robin(
      group, scope == round_scope::none ? options_.group_fanout : group.size(),
      &group_cursor_, &out);
  if (scope == round_scope::group_and_feeders) {
    for (const known_peer* feeder : alive_feeders(now))
      out.push_back(feeder->hello.address);
  }
  take_round_robin(others, options_.other_fanout, &other_cursor_, &out);
  return out;
}

std::set<std::string> peer_table::silent_zones(time_us now) const {
  struct zone_heartbeats {
    size_t peers = 0;
    time_us last_heard = 0;
  };
  std::map<std::string, zone_heartbeats> zones;
  for (const auto& [address, peer] : peers_) {
    if (peer.hello.name.empty() || peer.hello.zone == options_.zone)
      continue;
    zone_heartbeats& zone = zones[peer.hello.zone];
    zone.peers += peer.hello.leaving ? 0 : 1;
    zone.last_heard = std::max(zone.last_heard, peer.last_heard);
  }
  std::set<std::string> out;
  for (const auto& [name, zone] : zones) {
    if (zone.peers == 0)
      continue;
    // Each peer of that zone sends its heartbeats in turn to all balancers of
    // other groups, so one of the zone is expected_interval here this often.
    const time_us expected_interval =
        interval() * static_cast<time_us>(heard_count_ + 1) /
        static_cast<time_us>(zone.peers * options_.other_fanout);
    if (now - zone.last_heard >=
        std::max(options_.silent_zone_timeout,
                 options_.alive_cycles * expected_interval))
      out.insert(name);
  }
  return out;
}

std::vector<endpoint> peer_table::nearest(time_us now, size_t most) const {
  std::vector<endpoint> out;
  for (const bool own : {true, false}) {
    for (const auto& [address, peer] : peers_) {
      if (out.size() < most && alive(now, peer) &&
          own == (peer.hello.zone == options_.zone))
        out.push_back(address);
    }
  }
  return out;
}

std::vector<endpoint> peer_table::all_addresses() const {
  std::vector<endpoint> out;
  for (const auto& [address, peer] : peers_)
    out.push_back(address);
  return out;
}

std::vector<endpoint> peer_table::addresses_to_share(time_us now) {
  std::vector<endpoint> live;
  for (const auto& [address, peer] : peers_) {
    if (alive(now, peer))
      live.push_back(address);
  }
  std::vector<endpoint> out;
  take_round_robin(live, options_.shared_addresses, &share_cursor_, &out);
  return out;
}

std::vector<uint64_t> peer_table::alive_ids(time_us now) const {
  std::vector<uint64_t> out;
  for (const auto& [address, peer] : peers_) {
    if (alive(now, peer))
      out.push_back(peer.id);
  }
  return out;
}

std::map<uint32_t, size_t> peer_table::alive_releases(time_us now) const {
  std::map<uint32_t, size_t> out;
  for (const auto& [address, peer] : peers_) {
    if (alive(now, peer))
      ++out[peer.hello.release];
  }
  return out;
}

known_peer* peer_table::find(endpoint address) {
  const auto it = peers_.find(address);
  return it == peers_.end() ? nullptr : &it->second;
}

}  // namespace turmeric
