/** @file emu_troubles.cpp Troubles, and targets that come and go. */
#include <algorithm>

#include "emu_world.h"

namespace turmeric::tests {
namespace {

/** A target leaves between these times after it said so. */
constexpr time_us drain_time = 3 * us_per_s;
constexpr time_us longest_drain = 9 * us_per_s;
constexpr time_us reuse_time = 2 * us_per_s;
constexpr time_us cold_time = 2 * us_per_s;
constexpr time_us register_delay = 50 * us_per_ms;
/** The operator and the targets try again after this. */
constexpr time_us write_retry = 50 * us_per_ms;
/** Pauses that the program notices. */
constexpr time_us noticed_pause = 500 * us_per_ms;
constexpr size_t most_extra_routes = 40;

}  // namespace

target_entry emu_world::entry_of(const target& t) const {
  target_entry e;
  e.name = t.name;
  e.number = hash_name(t.name);
  e.service = t.service;
  e.zone = "zone-" + std::to_string(t.zone);
  e.address = t.address;
  e.slots = options_.shape.slots;
  e.draining = t.draining;
  e.cold_until = t.cold_until;
  return e;
}

emu_world::target* emu_world::add_target(const std::string& service,
                                         size_t zone,
                                         const endpoint& address) {
  auto t = std::make_unique<target>();
  t->name = "i-" + std::to_string(next_number_++);
  t->service = service;
  t->zone = zone;
  t->address = address;
  t->last_beat = clock_.now();
  // The installation's first targets start before its traffic.
  t->cold_until = balancers_.empty() ? 0 : clock_.now() + cold_time;
  target* raw = t.get();
  targets_[raw->name] = std::move(t);
  addresses_[address] = raw;
  clock_.after(balancers_.empty() ? 0 : register_delay,
               [this, name = raw->name] { beat(name); });
  return raw;
}

void emu_world::beat(const std::string& name) {
  target* t = targets_.at(name).get();
  if (!t->alive)
    return;
  clock_.after(options_.shape.heartbeat, [this, name] { beat(name); });
  const bool reaches = !cut_off(t->zone) && !store_down_ && !store_silent_;
  if (!reaches || !t->registers)
    return;
  t->last_beat = clock_.now();
  const bool known = store_.has(directory_kind::targets, name);
  const bool cold = clock_.now() < t->cold_until;
  if (known && !cold && !t->draining)
    return;  // Nothing of the entry changes.
  enter(t);
}

void emu_world::enter(target* t) {
  t->last_beat = clock_.now();
  if (!t->draining)
    t->closed_at = INT64_MAX;
  store_.put(directory_kind::targets, t->name, entry_of(*t));
}

void emu_world::when_store_takes(std::function<void()> write) {
  if (!store_down_ && !store_silent_) {
    write();
    return;
  }
  clock_.after(write_retry,
               [this, write = std::move(write)] { when_store_takes(write); });
}

bool emu_world::cut_off(size_t zone) const {
  return cut_zones_.count(zone) != 0;
}

bool emu_world::disturbed_now(size_t zone) const {
  return cut_off(zone) || std::any_of(cut_pairs_.begin(), cut_pairs_.end(),
                                      [zone](const auto& pair) {
                                        return pair.first == zone ||
                                               pair.second == zone;
                                      });
}

void emu_world::disturb_zone(size_t zone) {
  for (const auto& b : balancers_) {
    if (b->zone == zone)
      b->disturbed = clock_.now();
  }
  for (const auto& [name, t] : targets_) {
    if (t->zone == zone)
      t->disturbed = clock_.now();
  }
}

void emu_world::close(target* t) {
  t->closed_at = std::min(t->closed_at, clock_.now());
}

emu_world::target* emu_world::pick_target(uint64_t pick) {
  std::vector<target*> alive;
  std::map<std::string, size_t> count;
  for (const auto& [name, t] : targets_) {
    if (!t->alive || t->draining)
      continue;
    alive.push_back(t.get());
    ++count[t->service];
  }
  // A service keeps half of its targets.
  for (size_t i = 0; i < alive.size(); ++i) {
    target* t = alive[(pick + i) % alive.size()];
    const auto row = std::find_if(
        options_.shape.services.begin(), options_.shape.services.end(),
        [&](const emu_service& s) { return s.name == t->service; });
    if (count[t->service] * 2 > row->targets)
      return t;
  }
  return nullptr;
}

void emu_world::plan_events() {
  for (const emu_event& event : options_.events) {
    clock_.after(options_.lead + event.at, [this, event] { strike(event); });
    calm_since_ = std::max(
        calm_since_, clock_.now() + options_.lead + event.at + event.length);
  }
}

void emu_world::strike(const emu_event& event) {
  if (event.trouble <= emu_disruption::kill_all)
    strike_balancer(event);
  else if (event.trouble <= emu_disruption::zone_pair_cut ||
           event.trouble == emu_disruption::withdraw)
    strike_zone(event);
  else if (event.trouble <= emu_disruption::store_forgets)
    strike_store(event);
  else if (event.trouble == emu_disruption::configure)
    configure(event.pick);
  else
    strike_target(event);
}

void emu_world::strike_balancer(const emu_event& event) {
  balancer* b = balancers_[event.pick % balancers_.size()].get();
  switch (event.trouble) {
    case emu_disruption::balancer_kill:
      end_balancer(b);
      clock_.after(event.length, [this, b] { start_balancer(b); });
      return;
    case emu_disruption::balancer_stop:
      stop_balancer(b);
      return;
    case emu_disruption::balancer_freeze: {
      b->frozen = true;
      const uint64_t life = b->life;
      clock_.after(event.length, [this, b, life, event] {
        if (b->life != life)
          return;
        b->frozen = false;
        b->disturbed = clock_.now();
        if (event.length > noticed_pause) {
          b->forwarding->on_pause(clock_.now());
          execute(b, b->directory->on_pause(clock_.now()));
        }
        for (auto& waiting : std::exchange(b->backlog, {}))
          on_balancer(b, waiting);
      });
      return;
    }
    case emu_disruption::balancer_cut:
      b->cut = true;
      b->disturbed = clock_.now();
      clock_.after(event.length, [this, b] {
        b->cut = false;
        b->disturbed = clock_.now();
      });
      return;
    default:
      for (const auto& all : balancers_) {
        end_balancer(all.get());
        clock_.after(event.length,
                     [this, one = all.get()] { start_balancer(one); });
      }
  }
}

void emu_world::strike_zone(const emu_event& event) {
  const size_t zone = event.pick % options_.shape.zones;
  const size_t other = (zone + 1) % options_.shape.zones;
  if (event.trouble == emu_disruption::zone_cut) {
    cut_zones_.insert(zone);
    disturb_zone(zone);
    clock_.after(event.length, [this, zone] {
      cut_zones_.erase(cut_zones_.find(zone));
      disturb_zone(zone);
    });
  } else if (event.trouble == emu_disruption::zone_pair_cut) {
    const auto pair =
        std::make_pair(std::min(zone, other), std::max(zone, other));
    cut_pairs_.insert(pair);
    disturb_zone(zone);
    disturb_zone(other);
    clock_.after(event.length, [this, pair] {
      cut_pairs_.erase(cut_pairs_.find(pair));
      disturb_zone(pair.first);
      disturb_zone(pair.second);
    });
  } else {
    when_store_takes([this, zone, event] { withdraw(zone, event.length); });
  }
}

void emu_world::withdraw(size_t zone, time_us length) {
  const std::string name = "zone-" + std::to_string(zone);
  if (withdrawn_.count(name) != 0)
    return;
  store_.put(directory_kind::withdrawals, name, withdrawal_entry{name});
  withdrawn_[name] = clock_.now();
  clock_.after(length, [this, zone, name] {
    when_store_takes([this, zone, name] { take_back(zone, name); });
  });
}

void emu_world::take_back(size_t zone, const std::string& name) {
  // Nobody in a zone that is cut off can know that its targets turned cold.
  if (cut_off(zone)) {
    clock_.after(us_per_s, [this, zone, name] { take_back(zone, name); });
    return;
  }
  for (const auto& [target_name, t] : targets_) {
    if (t->zone != zone || !t->alive || t->draining)
      continue;
    t->cold_until = clock_.now() + cold_time;
    t->openings.clear();
    enter(t.get());
  }
  store_.remove(directory_kind::withdrawals, name);
  withdrawn_.erase(name);
}

void emu_world::strike_store(const emu_event& event) {
  const bool for_all = event.trouble != emu_disruption::store_refuses &&
                       event.trouble != emu_disruption::store_forgets;
  if (event.trouble == emu_disruption::store_refuses) {
    for (const auto& b : balancers_) {
      if (b->number % 3 != event.pick % 3)
        continue;
      b->refused = true;
      b->disturbed = clock_.now();
      clock_.after(event.length, [this, one = b.get()] {
        one->refused = false;
        one->disturbed = clock_.now();
      });
    }
  }
  if (event.trouble == emu_disruption::store_forgets) {
    store_disturbed_ = clock_.now();
    store_.forget();
  }
  if (!for_all)
    return;
  store_down_ = event.trouble == emu_disruption::store_down;
  store_silent_ = !store_down_;
  store_disturbed_ = clock_.now();
  store_.drop_watches();
  clock_.after(event.length, [this] {
    store_down_ = store_silent_ = false;
    store_disturbed_ = clock_.now();
  });
}

void emu_world::strike_target(const emu_event& event) {
  target* t = pick_target(event.pick);
  if (t == nullptr)
    return;
  const std::string name = t->name;
  if (event.trouble == emu_disruption::overwrite) {
    store_.spoil(directory_kind::targets, name);
    clock_.after(options_.shape.heartbeat, [this, t, name] {
      if (t->alive)
        enter(t);
    });
    return;
  }
  if (event.trouble == emu_disruption::target_drain) {
    t->draining = true;
    when_store_takes([this, t, name] {
      store_.put(directory_kind::targets, name, entry_of(*t));
      close(t);
    });
    add_target(t->service, t->zone, {0x0a800000 + next_address_++, 8080});
    const time_us stays =
        drain_time +
        static_cast<time_us>(random() %
                             static_cast<uint64_t>(longest_drain - drain_time));
    clock_.after(stays, [this, t, name] {
      t->alive = false;
      when_store_takes(
          [this, name] { store_.remove(directory_kind::targets, name); });
    });
    return;
  }
  follow(*t, "ends: " + std::string(name_of(event.trouble)));
  t->alive = false;
  t->resets = event.trouble == emu_disruption::target_reset;
  t->disturbed = clock_.now();
  t->flows.clear();
  t->waiting.clear();
  t->busy = 0;
  if (event.trouble == emu_disruption::target_restart) {
    clock_.after(event.length, [this, t, name] {
      t->alive = true;
      t->disturbed = clock_.now();
      t->cold_until = clock_.now() + cold_time;
      t->openings.clear();
      follow(*t, "starts again");
      beat(name);
    });
    return;
  }
  if (event.trouble == emu_disruption::target_replace) {
    const auto& services = options_.shape.services;
    const std::string other =
        services[t->service == services[0].name ? services.size() - 1 : 0].name;
    clock_.after(reuse_time,
                 [this, other, t] { add_target(other, t->zone, t->address); });
  }
  // Another one of its service comes somewhere else.
  clock_.after(reuse_time, [this, service = t->service, zone = t->zone] {
    add_target(service, zone, {0x0a800000 + next_address_++, 8080});
  });
}

void emu_world::configure(uint64_t pick) {
  ++routing_.version;
  const size_t own = options_.shape.classes.size();
  if (pick % 2 == 0 && routing_.routes.size() > own) {
    routing_.routes.pop_back();
  } else if (routing_.routes.size() < own + most_extra_routes) {
    route_entry route;
    route.name = "extra";
    route.address = {0xc6120002,
                     static_cast<uint16_t>(9000 + routing_.routes.size())};
    route.services = {{options_.shape.services[0].name, 1}};
    routing_.routes.push_back(route);
  }
  when_store_takes([this] {
    store_.put(directory_kind::routing, "main", routing_);
    versions_.emplace_back(routing_.version, clock_.now());
  });
}

}  // namespace turmeric::tests
