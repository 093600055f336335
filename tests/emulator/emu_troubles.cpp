/** @file emu_troubles.cpp Disruptions, and the life cycle of targets. */
#include <algorithm>

#include "emu_world.h"

namespace turmeric::tests {
namespace {

/** A draining target stops between these times after its drain began. */
constexpr time_us min_drain_time = 3 * us_per_s;
constexpr time_us max_drain_time = 9 * us_per_s;
constexpr time_us replacement_delay = 2 * us_per_s;
constexpr time_us cold_time = 2 * us_per_s;
constexpr time_us register_delay = 50 * us_per_ms;
/** Retry interval of writes while the store is unavailable. */
constexpr time_us write_retry = 50 * us_per_ms;
/** Longer pauses are reported to the cores after a freeze. */
constexpr time_us min_reported_pause = 500 * us_per_ms;
constexpr size_t max_extra_routes = 40;
/** Age of the copy from which a store is restored. */
constexpr time_us min_copy_age = us_per_s;
constexpr time_us max_copy_age = 6 * us_per_s;
/** Within this time of a restore the operators write again what is lost. */
constexpr time_us max_rewrite_delay = 1500 * us_per_ms;
constexpr time_us era_poll_interval = 10 * us_per_ms;

time_us copy_age_of(const emu_event& event) {
  return min_copy_age + static_cast<time_us>(
                            event.selector %
                            static_cast<uint64_t>(max_copy_age - min_copy_age));
}

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
  e.started_unix_ms = static_cast<uint64_t>(t.started / us_per_ms);
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
  t->last_heartbeat = t->started = clock_.now();
  // Targets of the set-up are warm: they start before the traffic.
  t->cold_until = balancers_.empty() ? 0 : clock_.now() + cold_time;
  for (const auto& row : options_.shape.services) {
    if (row.name == service && !row.speeds.empty())
      t->speed = row.speeds[targets_started_[service]++ % row.speeds.size()];
  }
  target* raw = t.get();
  targets_[raw->name] = std::move(t);
  addresses_[address] = raw;
  clock_.after(balancers_.empty() ? 0 : register_delay,
               [this, name = raw->name] { send_heartbeat(name); });
  return raw;
}

void emu_world::send_heartbeat(const std::string& name) {
  target* t = targets_.at(name).get();
  if (!t->alive)
    return;
  clock_.after(options_.shape.heartbeat_interval,
               [this, name] { send_heartbeat(name); });
  const bool reaches = !zone_cut_off(t->zone) && !store_down_ && !store_silent_;
  if (!reaches || !t->sends_heartbeats)
    return;
  t->last_heartbeat = clock_.now();
  const bool known = store_.has(directory_kind::targets, name);
  const bool cold = clock_.now() < t->cold_until;
  if (std::exchange(t->must_write, false) && known) {
    const auto* stored = store_.find(directory_kind::targets, name);
    const auto* entry =
        stored == nullptr ? nullptr : std::get_if<target_entry>(stored);
    if (entry == nullptr || entry->draining != t->draining ||
        entry->cold_until != t->cold_until ||
        entry->started_unix_ms != static_cast<uint64_t>(t->started / us_per_ms))
      write_target_entry(t);
    return;
  }
  if (known && !cold && !t->draining)
    return;  // Nothing of the entry changes.
  write_target_entry(t);
}

void emu_world::write_target_entry(target* t) {
  t->last_heartbeat = clock_.now();
  if (!t->draining)
    t->closed_at = INT64_MAX;
  store_.put(directory_kind::targets, t->name, entry_of(*t));
}

void emu_world::write_when_store_available(std::function<void()> write) {
  if (!store_down_ && !store_silent_) {
    write();
    return;
  }
  clock_.after(write_retry, [this, write = std::move(write)] {
    write_when_store_available(write);
  });
}

bool emu_world::zone_cut_off(size_t zone) const {
  return cut_zones_.count(zone) != 0;
}

bool emu_world::zone_disturbed(size_t zone) const {
  return zone_cut_off(zone) || std::any_of(cut_pairs_.begin(), cut_pairs_.end(),
                                           [zone](const auto& pair) {
                                             return pair.first == zone ||
                                                    pair.second == zone;
                                           });
}

void emu_world::mark_zone_disturbed(size_t zone) {
  for (const auto& b : balancers_) {
    if (b->zone == zone)
      b->disturbed_at = clock_.now();
  }
  for (const auto& [name, t] : targets_) {
    if (t->zone == zone)
      t->disturbed_at = clock_.now();
  }
}

void emu_world::mark_closed(target* t) {
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

void emu_world::schedule_events() {
  for (const emu_event& event : options_.events) {
    clock_.after(options_.warm_up + event.start,
                 [this, event] { start_event(event); });
    if (event.kind == emu_disruption::store_restore) {
      clock_.after(std::max<time_us>(
                       options_.warm_up + event.start - copy_age_of(event), 0),
                   [this, event] { store_.take_copy(event.selector); });
    }
    last_event_end_ =
        std::max(last_event_end_, clock_.now() + options_.warm_up +
                                      event.start + event.duration);
  }
}

void emu_world::start_event(const emu_event& event) {
  if (event.kind == emu_disruption::store_restore)
    restore_store(event);
  else if (event.kind > emu_disruption::store_restore)
    disrupt_quality(event);
  else if (event.kind <= emu_disruption::kill_all)
    disrupt_balancer(event);
  else if (event.kind <= emu_disruption::zone_pair_cut ||
           event.kind == emu_disruption::withdraw)
    disrupt_zone(event);
  else if (event.kind <= emu_disruption::store_forgets)
    disrupt_store(event);
  else if (event.kind == emu_disruption::configure)
    change_routing(event.selector);
  else
    disrupt_target(event);
}

void emu_world::disrupt_balancer(const emu_event& event) {
  balancer* b = balancers_[event.selector % balancers_.size()].get();
  switch (event.kind) {
    case emu_disruption::balancer_kill:
      terminate_balancer(b);
      clock_.after(event.duration, [this, b] { start_balancer(b); });
      return;
    case emu_disruption::balancer_stop:
      stop_balancer(b);
      return;
    case emu_disruption::balancer_freeze: {
      b->frozen = true;
      const uint64_t generation = b->generation;
      clock_.after(event.duration, [this, b, generation, event] {
        if (b->generation != generation)
          return;
        b->frozen = false;
        b->disturbed_at = clock_.now();
        if (event.duration > min_reported_pause) {
          b->forwarding->on_pause(clock_.now());
          execute(b, b->directory->on_pause(clock_.now()));
        }
        for (auto& delayed : std::exchange(b->backlog, {}))
          run_on_balancer(b, delayed);
      });
      return;
    }
    case emu_disruption::balancer_cut:
      b->isolated = true;
      b->disturbed_at = clock_.now();
      clock_.after(event.duration, [this, b] {
        b->isolated = false;
        b->disturbed_at = clock_.now();
      });
      return;
    default:
      for (const auto& all : balancers_) {
        terminate_balancer(all.get());
        clock_.after(event.duration,
                     [this, one = all.get()] { start_balancer(one); });
      }
  }
}

void emu_world::disrupt_quality(const emu_event& event) {
  std::vector<int*> counts;
  balancer* chosen = balancers_[event.selector % balancers_.size()].get();
  if (event.kind == emu_disruption::balancer_slow) {
    counts = {&chosen->slowdowns};
    clock_.after(event.duration,
                 [this, chosen] { chosen->disturbed_at = clock_.now(); });
  } else if (event.kind == emu_disruption::target_silent) {
    if (target* t = pick_target(event.selector)) {
      counts = {&t->silences};
      t->disturbed_at = clock_.now() + event.duration;
    }
  } else if (event.kind == emu_disruption::target_slow) {
    if (target* t = pick_target(event.selector))
      counts = {&t->slowdowns};
  } else {
    for (const auto& b : balancers_) {
      if (b.get() == chosen ||
          (event.kind == emu_disruption::lossy_zone && b->zone == chosen->zone))
        counts.push_back(&b->lossy_links);
    }
  }
  for (int* count : counts) {
    ++*count;
    clock_.after(event.duration, [count] { --*count; });
  }
}

void emu_world::disrupt_zone(const emu_event& event) {
  const size_t zone = event.selector % options_.shape.zones;
  const size_t other = (zone + 1) % options_.shape.zones;
  if (event.kind == emu_disruption::zone_cut) {
    cut_zones_.insert(zone);
    mark_zone_disturbed(zone);
    clock_.after(event.duration, [this, zone] {
      cut_zones_.erase(cut_zones_.find(zone));
      mark_zone_disturbed(zone);
    });
  } else if (event.kind == emu_disruption::zone_pair_cut) {
    const auto pair =
        std::make_pair(std::min(zone, other), std::max(zone, other));
    cut_pairs_.insert(pair);
    mark_zone_disturbed(zone);
    mark_zone_disturbed(other);
    clock_.after(event.duration, [this, pair] {
      cut_pairs_.erase(cut_pairs_.find(pair));
      mark_zone_disturbed(pair.first);
      mark_zone_disturbed(pair.second);
    });
  } else {
    write_when_store_available(
        [this, zone, event] { withdraw_zone(zone, event.duration); });
  }
}

void emu_world::withdraw_zone(size_t zone, time_us length) {
  const std::string name = "zone-" + std::to_string(zone);
  if (withdrawn_since_.count(name) != 0)
    return;
  store_.put(directory_kind::withdrawals, name, withdrawal_entry{name});
  withdrawn_since_[name] = clock_.now();
  clock_.after(length, [this, zone, name] {
    write_when_store_available(
        [this, zone, name] { end_withdrawal(zone, name); });
  });
}

void emu_world::end_withdrawal(size_t zone, const std::string& name) {
  // Balancers in a zone that is cut off cannot receive the new cold times of
  // its targets.
  if (zone_cut_off(zone)) {
    clock_.after(us_per_s, [this, zone, name] { end_withdrawal(zone, name); });
    return;
  }
  for (const auto& [target_name, t] : targets_) {
    if (t->zone != zone || !t->alive || t->draining)
      continue;
    t->cold_until = clock_.now() + cold_time;
    t->cold_openings.clear();
    write_target_entry(t.get());
  }
  store_.remove(directory_kind::withdrawals, name);
  withdrawn_since_.erase(name);
}

void emu_world::disrupt_store(const emu_event& event) {
  const bool for_all = event.kind != emu_disruption::store_refuses &&
                       event.kind != emu_disruption::store_forgets;
  if (event.kind == emu_disruption::store_refuses) {
    for (const auto& b : balancers_) {
      if (b->number % 3 != event.selector % 3)
        continue;
      b->refused_by_store = true;
      b->disturbed_at = clock_.now();
      clock_.after(event.duration, [this, one = b.get()] {
        one->refused_by_store = false;
        one->disturbed_at = clock_.now();
      });
    }
  }
  if (event.kind == emu_disruption::store_forgets) {
    store_disturbed_at_ = clock_.now();
    store_.drop_history();
  }
  if (!for_all)
    return;
  store_down_ = event.kind == emu_disruption::store_down;
  store_silent_ = !store_down_;
  store_disturbed_at_ = clock_.now();
  store_.drop_watches();
  clock_.after(event.duration, [this] {
    store_down_ = store_silent_ = false;
    store_disturbed_at_ = clock_.now();
  });
}

void emu_world::restore_store(const emu_event& event) {
  store_down_ = true;
  store_disturbed_at_ = clock_.now();
  store_.drop_watches();
  clock_.after(event.duration, [this, event] {
    store_down_ = false;
    store_disturbed_at_ = store_restored_at_ = clock_.now();
    store_.restore_copy(event.selector);
    for (const auto& [name, t] : targets_) {
      t->must_write = true;
      // An entry that had expired is registered again.
      if (t->alive && !t->draining && store_.has(directory_kind::targets, name))
        t->closed_at = INT64_MAX;
    }
    await_new_era(store_.era(), clock_.now(), report_.registry_calls);
    clock_.after(static_cast<time_us>(event.selector %
                                      static_cast<uint64_t>(max_rewrite_delay)),
                 [this] {
                   write_when_store_available([this] { write_lost_objects(); });
                 });
  });
}

void emu_world::await_new_era(uint64_t era,
                              time_us restored_at,
                              uint64_t calls_before) {
  if (store_.era() != era)
    return;  // Another restore came before all had followed.
  const auto follows = [&](const std::unique_ptr<balancer>& b) {
    if (!b->running || !b->ready || b->frozen || b->isolated ||
        zone_cut_off(b->zone))
      return true;
    for (size_t i = 0; i < directory_kinds; ++i) {
      const auto kind = static_cast<directory_kind>(i);
      if (b->directory->replica(kind).summary().era != era)
        return false;
    }
    return true;
  };
  if (std::all_of(balancers_.begin(), balancers_.end(), follows)) {
    report_.restore_times.push_back(clock_.now() - restored_at);
    report_.restore_calls += report_.registry_calls - calls_before;
    return;
  }
  clock_.after(era_poll_interval, [this, era, restored_at, calls_before] {
    await_new_era(era, restored_at, calls_before);
  });
}

void emu_world::write_lost_objects() {
  const auto* stored = store_.find(directory_kind::routing, "main");
  if (stored == nullptr || std::get<routing_entry>(*stored).version !=
                               routing_versions_.back().first)
    store_.put(directory_kind::routing, "main", routing_);
  for (const std::string& name : store_.names(directory_kind::withdrawals)) {
    if (withdrawn_since_.count(name) == 0)
      store_.remove(directory_kind::withdrawals, name);
  }
  for (const auto& [name, since] : withdrawn_since_) {
    if (!store_.has(directory_kind::withdrawals, name))
      store_.put(directory_kind::withdrawals, name, withdrawal_entry{name});
  }
}

void emu_world::disrupt_target(const emu_event& event) {
  target* t = pick_target(event.selector);
  if (t == nullptr)
    return;
  const std::string name = t->name;
  if (event.kind == emu_disruption::overwrite) {
    store_.put_unreadable(directory_kind::targets, name);
    clock_.after(options_.shape.heartbeat_interval, [this, t, name] {
      if (t->alive)
        write_target_entry(t);
    });
    return;
  }
  if (event.kind == emu_disruption::target_drain) {
    t->draining = true;
    write_when_store_available([this, t, name] {
      store_.put(directory_kind::targets, name, entry_of(*t));
      mark_closed(t);
    });
    add_target(t->service, t->zone, {0x0a800000 + next_address_++, 8080});
    const time_us stays =
        min_drain_time +
        static_cast<time_us>(
            random() % static_cast<uint64_t>(max_drain_time - min_drain_time));
    clock_.after(stays, [this, t, name] {
      t->alive = false;
      write_when_store_available(
          [this, name] { store_.remove(directory_kind::targets, name); });
    });
    return;
  }
  log_followed(*t, "ends: " + std::string(name_of(event.kind)));
  t->alive = false;
  t->host_resets = event.kind == emu_disruption::target_reset;
  t->disturbed_at = clock_.now();
  t->flows.clear();
  t->queued_work.clear();
  t->busy_slots = 0;
  t->held_flows = 0;
  if (event.kind == emu_disruption::target_restart) {
    clock_.after(event.duration, [this, t, name] {
      t->alive = true;
      t->disturbed_at = clock_.now();
      t->started = clock_.now();
      t->cold_until = clock_.now() + cold_time;
      t->cold_openings.clear();
      log_followed(*t, "starts again");
      send_heartbeat(name);
    });
    return;
  }
  if (event.kind == emu_disruption::target_replace) {
    const auto& services = options_.shape.services;
    const std::string other =
        services[t->service == services[0].name ? services.size() - 1 : 0].name;
    clock_.after(replacement_delay,
                 [this, other, t] { add_target(other, t->zone, t->address); });
  }
  // A new target of its service starts at another address.
  clock_.after(replacement_delay, [this, service = t->service, zone = t->zone] {
    add_target(service, zone, {0x0a800000 + next_address_++, 8080});
  });
}

void emu_world::change_routing(uint64_t pick) {
  ++routing_.version;
  if (pick % 2 == 0 && routing_.routes.size() > first_extra_route_) {
    routing_.routes.pop_back();
  } else if (routing_.routes.size() < first_extra_route_ + max_extra_routes) {
    route_entry route;
    route.name = "extra-" + std::to_string(routing_.routes.size());
    route.address = {0xc6120002,
                     static_cast<uint16_t>(9000 + routing_.routes.size())};
    route.services = {{options_.shape.services[0].name, 1}};
    routing_.routes.push_back(route);
  }
  write_when_store_available([this] {
    store_.put(directory_kind::routing, "main", routing_);
    routing_versions_.emplace_back(routing_.version, clock_.now());
  });
}

}  // namespace turmeric::tests
