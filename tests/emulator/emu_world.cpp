/** @file emu_world.cpp Set-up, balancers, their network and store calls. */
#include "emu_world.h"

#include <algorithm>

namespace turmeric::tests {
namespace {

constexpr uint16_t peer_port = 7720;
constexpr time_us probe_interval = 500 * us_per_ms;
constexpr int failed_probes_to_leave = 2;
/** Too many for a configuration that is pushed whole. */
constexpr uint16_t idle_routes = 300;
/** Time from a process's start until its sockets are bound. */
constexpr time_us boot_time = 30 * us_per_ms;
/** Time from a process's end until its restart. */
constexpr time_us restart_time = 300 * us_per_ms;
constexpr time_us stop_time = 2 * us_per_s;
constexpr time_us expiry_check_interval = 100 * us_per_ms;
/** Longest time of a slow balancer for one event. */
constexpr time_us max_slow_event = 6 * us_per_ms;
/** Events of a slow balancer that would wait longer are lost. */
constexpr time_us max_slow_backlog = 400 * us_per_ms;

std::string zone_name(size_t zone) {
  return "zone-" + std::to_string(zone);
}

}  // namespace

emu_world::emu_world(emu_options options)
    : options_(std::move(options)), random_(options_.seed), store_(&clock_) {
  report_.outcomes.resize(options_.shape.request_classes.size());
  if (options_.shape.greedy_share > 0 || options_.shape.callers != 0)
    report_.callers.resize(1 + options_.shape.callers);
}

emu_world::~emu_world() = default;

bool emu_world::chance(double share) {
  return static_cast<double>(random() >> 11) * 0x1p-53 < share;
}

void emu_world::set_up() {
  clock_.run_until(1000 * us_per_s);
  const emu_shape& shape = options_.shape;
  routing_.version = 1;
  for (const auto& kind : shape.request_classes) {
    route_entry route;
    route.name = kind.name;
    route.address = {0xc6120001,
                     static_cast<uint16_t>(8000 + routing_.routes.size())};
    route.kind = kind.safe ? route_kind::safe : route_kind::unsafe;
    route.services = {{kind.service, 1}};
    route.priority = kind.priority;
    route.latency_objective = kind.latency_objective;
    routing_.routes.push_back(route);
  }
  if (options_.mixed_releases)
    add_idle_routes();
  first_extra_route_ = routing_.routes.size();
  for (const auto& service : shape.services)
    routing_.services.push_back({service.name, 2000, 0.0});
  store_.put(directory_kind::routing, "main", routing_);
  routing_versions_.emplace_back(routing_.version, clock_.now());
  size_t next_zone = 0;
  for (const auto& service : shape.services) {
    std::vector<size_t> zones;
    for (size_t zone = 0; zone < service.zone_targets.size(); ++zone)
      zones.insert(zones.end(), service.zone_targets[zone], zone);
    for (size_t i = 0; i < service.targets; ++i) {
      add_target(service.name, zones.empty() ? next_zone : zones.at(i),
                 {0x0a800000 + next_address_, 8080});
      ++next_address_;
      next_zone = (next_zone + 1) % shape.zones;
    }
  }
  for (size_t i = 0; i < shape.balancers; ++i) {
    auto b = std::make_unique<balancer>();
    b->number = i;
    b->zone = i % shape.zones;
    b->name = "front-" + std::to_string(i);
    b->address = {static_cast<uint32_t>(0x0a010001 + i), peer_port};
    balancers_.push_back(std::move(b));
  }
  for (const auto& b : balancers_)
    start_balancer(b.get());
}

void emu_world::add_idle_routes() {
  constexpr uint16_t first_port = 20000;
  for (uint16_t i = 0; i < idle_routes; ++i) {
    route_entry route;
    route.name = "idle-" + std::to_string(i);
    route.address = {0xc6120001, static_cast<uint16_t>(first_port + i)};
    route.services = {{options_.shape.services.front().name, 1}};
    routing_.routes.push_back(route);
  }
}

emu_report emu_world::run() {
  set_up();
  probe_all();
  expire_silent_targets();
  first_request_at_ = last_event_end_ = clock_.now() + options_.warm_up;
  clock_.after(options_.warm_up, [this] { issue_request(); });
  start_streams();
  schedule_events();
  clock_.run_until(first_request_at_ + options_.duration);
  check_service();
  measure_imbalance();
  return report_;
}

bool emu_world::reachable(size_t a, size_t b) const {
  if (a == b)
    return true;
  return cut_zones_.count(a) == 0 && cut_zones_.count(b) == 0 &&
         cut_pairs_.count({std::min(a, b), std::max(a, b)}) == 0;
}

bool emu_world::store_reachable_from(const balancer& b) const {
  return !b.isolated && cut_zones_.count(b.zone) == 0;
}

time_us emu_world::delay(size_t a, size_t b) const {
  return a == b ? options_.shape.zone_latency
                : options_.shape.cross_zone_latency;
}

void emu_world::start_balancer(balancer* b) {
  if (b->running)
    return;
  b->running = true;
  b->stopping = b->ready = false;
  b->disturbed_at = clock_.now();
  ++b->generation;
  b->routing_version = 0;
  b->table = nullptr;
  const auto source = [this] { return random(); };
  directory_options directory;
  directory.peers.name = b->name;
  directory.peers.zone = zone_name(b->zone);
  directory.peers.address = b->address;
  directory.incarnation = static_cast<uint64_t>(clock_.now()) + 1;
  if (options_.mixed_releases && chance(0.5))
    directory.features = 0;
  for (size_t i = 0; i < std::min<size_t>(3, balancers_.size()); ++i)
    directory.seeds.push_back(
        balancers_[i * (balancers_.size() - 1) / 2 % balancers_.size()]
            ->address);
  b->directory = std::make_unique<directory_core>(directory, source);
  b->held.clear();
  forwarding_options forwarding;
  forwarding.placing.zone = zone_name(b->zone);
  forwarding.log_one_in = 0;
  forwarding.detect_full_targets = options_.overload_control;
  forwarding.placing.learn_weights =
      options_.overload_control && !options_.equal_weights;
  forwarding.admission.enabled = options_.overload_control;
  forwarding.admission.fair_shares = options_.overload_control;
  if (options_.make_placement_hook)
    forwarding.placing.pick = options_.make_placement_hook(b->number);
  b->forwarding = std::make_unique<forwarding_core>(forwarding, source);
  const uint64_t generation = b->generation;
  clock_.after(boot_time, [this, b, generation] {
    if (b->generation == generation && b->running)
      execute(b, b->directory->start(clock_.now()));
  });
}

void emu_world::terminate_balancer(balancer* b) {
  b->running = b->ready = b->frozen = false;
  b->backlog.clear();
  b->disturbed_at = clock_.now();
  ++b->generation;
}

void emu_world::stop_balancer(balancer* b) {
  if (!b->running || b->stopping)
    return;
  b->stopping = true;
  b->disturbed_at = clock_.now();
  execute(b, b->directory->leave(clock_.now()));
  const uint64_t generation = b->generation;
  clock_.after(stop_time, [this, b, generation] {
    if (b->generation != generation)
      return;
    terminate_balancer(b);
    clock_.after(restart_time, [this, b] { start_balancer(b); });
  });
}

void emu_world::run_on_balancer(balancer* b, sim_clock::event event) {
  if (!b->running)
    return;
  if (b->frozen)
    b->backlog.push_back(std::move(event));
  else if (b->slowdowns != 0 || clock_.now() <= b->busy_until)
    run_on_slow_balancer(b, std::move(event));
  else
    event();
}

void emu_world::run_on_slow_balancer(balancer* b, sim_clock::event event) {
  const time_us now = clock_.now();
  b->busy_until = std::max(now, b->busy_until);
  // After the slowdown, events still run in their order.
  if (b->slowdowns != 0)
    b->busy_until += 1 + static_cast<time_us>(
                             random() % static_cast<uint64_t>(max_slow_event));
  if (b->busy_until - now > max_slow_backlog)
    return;
  clock_.after(b->busy_until - now,
               [b, generation = b->generation, event = std::move(event)] {
                 if (b->generation == generation && b->running)
                   event();
               });
}

void emu_world::schedule_directory_tick(balancer* b) {
  const uint64_t generation = b->generation;
  const time_us due =
      std::max<time_us>(b->directory->next_tick() - clock_.now(), 1);
  clock_.after(due, [this, b, generation] {
    if (b->generation != generation)
      return;
    run_on_balancer(b, [this, b] {
      if (clock_.now() >= b->directory->next_tick())
        execute(b, b->directory->tick(clock_.now()));
    });
  });
}

void emu_world::schedule_forwarding_tick(balancer* b) {
  const time_us next = b->forwarding->next_tick();
  if (next == INT64_MAX)
    return;
  const uint64_t generation = b->generation;
  clock_.after(
      std::max<time_us>(next - clock_.now(), 1), [this, b, generation] {
        if (b->generation != generation)
          return;
        run_on_balancer(b, [this, b] {
          b->forwarding->tick(clock_.now());
          send_deferred(b);
          forward_reports(b);
          // Once only: each segment schedules a tick as well.
          if (!b->held.empty() && b->deferred_tick <= clock_.now()) {
            b->deferred_tick =
                std::max(b->forwarding->next_tick(), clock_.now() + us_per_ms);
            schedule_forwarding_tick(b);
          }
        });
      });
}

void emu_world::forward_reports(balancer* b) {
  const auto reports = b->forwarding->take_reports();
  for (const auto& report : reports)
    log_followed_report(*b, report);
  if (!reports.empty())
    execute(b, b->directory->on_local_reports(clock_.now(), reports));
}

void emu_world::execute(balancer* b, directory_core::actions actions) {
  for (auto& action : actions) {
    if (auto* call = std::get_if<registry_call>(&action))
      execute_one(b, *call);
    else if (auto* message = std::get_if<send_peer_message>(&action))
      execute_one(b, *message);
    else if (auto* published = std::get_if<publish_table>(&action))
      execute_one(b, *published);
    else if (auto* reported = std::get_if<reported_targets>(&action))
      execute_one(b, *reported);
  }
  schedule_directory_tick(b);
}

registry_reply emu_world::with_injected_fault(registry_reply reply,
                                              directory_kind kind) {
  const emu_injected_fault plant = options_.injected_fault;
  if (plant == emu_injected_fault::ignore_era)
    reply.era = 0;
  if (plant == emu_injected_fault::ignore_withdrawals &&
      kind == directory_kind::withdrawals)
    reply.changes.clear();
  if (plant == emu_injected_fault::ignore_configuration &&
      kind == directory_kind::routing && clock_.now() > first_request_at_)
    reply.changes.clear();
  if (kind != directory_kind::targets)
    return reply;
  for (auto& change : reply.changes) {
    if (change.value == nullptr)
      continue;
    target_entry t = std::get<target_entry>(*change.value);
    if (plant == emu_injected_fault::ignore_draining)
      t.draining = false;
    if (plant == emu_injected_fault::cold_as_warm)
      t.cold_until = 0;
    if (plant == emu_injected_fault::wrong_service)
      t.service = options_.shape.services[0].name;
    change.value = std::make_shared<const directory_value>(t);
  }
  return reply;
}

void emu_world::execute_one(balancer* b, const registry_call& call) {
  if (warm_up_over()) {
    ++report_.registry_calls;
    ++report_.calls_by_cause[{call.kind, call.cause}];
  }
  const uint64_t generation = b->generation;
  // The call fails at its timeout unless a reply arrived before.
  auto open = std::make_shared<bool>(true);
  const auto finish = [this, b, generation, open,
                       kind = call.kind](registry_reply reply) {
    if (!std::exchange(*open, false) || b->generation != generation)
      return;
    run_on_balancer(b, [this, b, kind, reply = std::move(reply)] {
      execute(b, b->directory->on_reply(clock_.now(),
                                        with_injected_fault(reply, kind)));
    });
  };
  registry_reply failure;
  failure.id = call.id;
  failure.status = registry_status::unreachable;
  clock_.after(call.timeout, [finish, failure] { finish(failure); });
  if (!store_reachable_from(*b) || store_silent_)
    return;
  const time_us one_way = options_.shape.store_round_trip / 2;
  const auto second = static_cast<uint64_t>(clock_.now() / us_per_s);
  if (std::exchange(counted_second_, second) != second)
    calls_in_second_ = 0;
  if (++calls_in_second_ > options_.shape.store_calls_per_s) {
    failure.status = registry_status::throttled;
    clock_.after(2 * one_way, [finish, failure] { finish(failure); });
    return;
  }
  if (store_down_ || b->refused_by_store) {
    failure.status = registry_status::refused;
    clock_.after(2 * one_way, [finish, failure] { finish(failure); });
    return;
  }
  clock_.after(one_way, [this, b, call, finish, one_way] {
    store_.call(call, [this, b, finish, one_way](const registry_reply& reply) {
      if (store_reachable_from(*b) && !store_silent_ && !store_down_)
        clock_.after(one_way, [finish, reply] { finish(reply); });
    });
  });
}

void emu_world::execute_one(balancer* b, const send_peer_message& message) {
  if (warm_up_over()) {
    ++report_.peer_messages;
    if (options_.message_observer)
      options_.message_observer(b->number, message.body);
  }
  for (const auto& other : balancers_) {
    balancer* to = other.get();
    if (!(to->address == message.to))
      continue;
    if (b->isolated || to->isolated || !reachable(b->zone, to->zone))
      return;
    clock_.after(delay(b->zone, to->zone), [this, to, body = message.body] {
      run_on_balancer(to, [this, to, body] {
        execute(to, to->directory->on_peer_message(clock_.now(), body));
      });
    });
  }
}

void emu_world::execute_one(balancer* b, const publish_table& published) {
  b->table = published.table;
  b->ready = true;
  b->forwarding->set_table(clock_.now(), published.table);
  b->forwarding->set_balancers(hash_name(b->name), published.balancers);
  b->forwarding->set_zone_balancers(published.zone_balancers);
  b->forwarding->set_silent_zones(published.silent_zones);
  b->forwarding->set_registry_lost(published.registry_lost);
  if (options_.injected_fault == emu_injected_fault::old_configuration &&
      chance(0.2))
    b->routing_version = UINT64_MAX;
  if (b->table->routing_version() < b->routing_version)
    record_violation(emu_invariant::no_regress, b->name);
  b->routing_version = b->table->routing_version();
}

void emu_world::execute_one(balancer* b, const reported_targets& reported) {
  b->forwarding->on_peer_reports(clock_.now(), reported.reports);
}

void emu_world::probe_all() {
  for (const auto& b : balancers_) {
    const bool ok = b->running && !b->frozen && b->ready && !b->stopping;
    b->failed_probes = ok ? 0 : b->failed_probes + 1;
    if (ok)
      b->in_rotation = true;
    else if (b->failed_probes >= failed_probes_to_leave)
      b->in_rotation = false;
  }
  clock_.after(probe_interval, [this] { probe_all(); });
}

emu_world::balancer* emu_world::choose_balancer(size_t zone,
                                                const flow_key& key) {
  const size_t zones = options_.shape.zones;
  for (size_t step = 0; step < zones; ++step) {
    std::vector<balancer*> all;
    std::vector<balancer*> in;
    for (const auto& b : balancers_) {
      if (b->zone != (zone + step) % zones)
        continue;
      all.push_back(b.get());
      if (b->in_rotation)
        in.push_back(b.get());
    }
    if (in.empty())
      continue;
    const auto& from = in.size() * 2 < all.size() ? all : in;
    return from[hash_of(key) % from.size()];
  }
  return nullptr;
}

void emu_world::expire_silent_targets() {
  const time_us limit = 3 * options_.shape.heartbeat_interval;
  for (const auto& [name, t] : targets_) {
    if (!store_.has(directory_kind::targets, name) ||
        clock_.now() - std::max(t->last_heartbeat, store_restored_at_) < limit)
      continue;
    store_.remove(directory_kind::targets, name);
    mark_closed(t.get());
  }
  clock_.after(expiry_check_interval, [this] { expire_silent_targets(); });
}

}  // namespace turmeric::tests
