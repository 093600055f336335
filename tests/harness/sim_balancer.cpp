/** @file sim_balancer.cpp Balancers of the simulated cluster. */
#include "sim_world.h"
#include "turmeric/state/json_func.h"
#include "turmeric/state/service_type.h"

namespace turmeric::tests {
namespace {

constexpr time_us control_interval = 20 * us_per_ms;
constexpr time_us traffic_interval = 10 * us_per_ms;
/** Time until a connection attempt to an unreachable target fails. */
constexpr time_us connect_timeout = 300 * us_per_ms;
constexpr time_us stop_poll_interval = 20 * us_per_ms;
constexpr uint16_t peer_port = 2;
constexpr uint16_t gossip_port = 3;
/** Datagrams held by the socket buffers of a paused process; more are lost. */
constexpr size_t backlog_limit = 2000;

endpoint address_of(int number, uint16_t port) {
  return {0x0a000000u + static_cast<uint32_t>(number), port};
}

std::string zone_name(int zone) {
  return "zone" + std::to_string(zone);
}

control_options make_control_options() {
  control_options o;
  for (int i = 0; i < balancer_count; ++i)
    o.members.seeds.push_back(address_of(i, gossip_port));
  o.watch_timeout = 3 * us_per_s;
  return o;
}

traffic_options make_traffic_options(const sim_options& sim) {
  traffic_options o;
  o.flow_choices = sim.flow_choices;
  o.flows.flow_timeout = 2 * us_per_s;
  o.flows.note_interval = 500 * us_per_ms;
  return o;
}

/** @return Hash of the services, withdrawn zones and draining targets of a
 * revision, by which the revisions in force on balancers are compared. */
uint64_t hash_config(const service_index& index) {
  uint64_t sum = 0;
  for (const auto& [id, service] : index.services)
    sum += hash_name(to_json(*service));
  for (const zone_id zone : index.withdrawn_zones)
    sum += hash_pair(zone.value, 1);
  for (const target_id target : index.draining)
    sum += hash_pair(target.value, 2);
  return sum;
}

}  // namespace

void sim_world::start_balancer(int number) {
  balancer& b = *balancers_[static_cast<size_t>(number)];
  b.alive = true;
  b.frozen = false;
  b.stopping = false;
  b.backlog.clear();
  ++b.generation;
  b.incarnation = static_cast<uint64_t>(clock_.now()) + 1;
  b.in_force = 0;
  b.pending_table.reset();
  record_balancer_event(number, event_kind::balancer_up);
  member_record self;
  self.name = "balancer" + std::to_string(number);
  self.id = id_of<member_id>(self.name);
  self.zone = id_of<zone_id>(zone_name(b.zone));
  self.incarnation = b.incarnation;
  self.gossip = address_of(number, gossip_port);
  self.peer = address_of(number, peer_port);
  const random_source source = [this] { return random(); };
  b.control =
      std::make_unique<control_core>(make_control_options(), self, source);
  b.traffic = std::make_unique<traffic_core>(
      make_traffic_options(options_), self, source, options_.injected_faults);
  tick_control(number, b.generation);
  tick_traffic(number, b.generation);
}

void sim_world::record_balancer_event(int number, event_kind kind) {
  history_event e;
  e.kind = kind;
  e.balancer = number;
  record(e);
}

void sim_world::tick_control(int number, uint64_t generation) {
  balancer& b = *balancers_[static_cast<size_t>(number)];
  if (!b.alive || b.generation != generation)
    return;
  if (!b.frozen)
    execute(b, b.control->tick(clock_.now()));
  clock_.after(control_interval,
               [=, world = this] { world->tick_control(number, generation); });
}

void sim_world::tick_traffic(int number, uint64_t generation) {
  balancer& b = *balancers_[static_cast<size_t>(number)];
  if (!b.alive || b.generation != generation)
    return;
  if (!b.frozen)
    execute(b, b.traffic->tick(clock_.now()));
  clock_.after(traffic_interval,
               [=, world = this] { world->tick_traffic(number, generation); });
}

void sim_world::execute(balancer& b, std::vector<control_action> actions) {
  for (auto& action : actions) {
    if (auto* gossip = std::get_if<outgoing_gossip>(&action))
      send_gossip(b, *gossip);
    else if (auto* call = std::get_if<platform_call>(&action))
      call_platform_from(b, *call);
    else
      install_table(b, std::get<publish_routes>(action).table);
  }
}

void sim_world::send_gossip(balancer& from, const outgoing_gossip& out) {
  const auto to = static_cast<int>(out.to.ip - 0x0a000000u);
  balancer& receiver = *balancers_[static_cast<size_t>(to)];
  const endpoint source = address_of(from.number, gossip_port);
  transmit(from.zone, receiver.zone, [this, to, source, m = out.message] {
    balancer& b = *balancers_[static_cast<size_t>(to)];
    if (b.frozen && b.backlog.size() >= backlog_limit)
      return;
    deliver(to, b.generation, [this, to, source, m] {
      balancer& recipient = *balancers_[static_cast<size_t>(to)];
      execute(recipient, recipient.control->receive(clock_.now(), source, m));
    });
  });
}

void sim_world::call_platform_from(balancer& from, const platform_call& call) {
  const int number = from.number;
  const uint64_t generation = from.generation;
  call_platform(
      call, from.zone, [this, number, generation](platform_reply reply) {
        deliver(number, generation, [this, number, reply] {
          balancer& b = *balancers_[static_cast<size_t>(number)];
          execute(b, b.control->on_platform_reply(clock_.now(), reply));
        });
      });
}

void sim_world::install_table(balancer& b,
                              std::shared_ptr<const route_table> table) {
  const bool stuck =
      options_.inject_stuck_revision && b.number == 0 && b.in_force > 0;
  if (stuck)
    return;
  b.pending_table = std::move(table);
  const int number = b.number;
  const uint64_t generation = b.generation;
  // The traffic thread takes the snapshot up to 2 ms later.
  clock_.after(static_cast<time_us>(random() % 2000), [=, world = this] {
    world->deliver(number, generation, [world, number] {
      balancer& recipient = *world->balancers_[static_cast<size_t>(number)];
      if (!recipient.pending_table)
        return;
      const auto next = std::move(recipient.pending_table);
      const service_index& index = *next->index;
      if (index.in_force != recipient.in_force) {
        history_event e;
        e.kind = event_kind::in_force;
        e.balancer = number;
        e.incarnation = recipient.incarnation;
        e.config_revision = index.in_force;
        e.config_hash = hash_config(index);
        world->record(e);
        recipient.in_force = index.in_force;
      }
      world->execute(recipient, recipient.traffic->update_routes(
                                    world->clock_.now(), next));
    });
  });
}

void sim_world::execute(balancer& b, std::vector<traffic_action> actions) {
  for (auto& action : actions) {
    if (auto* send = std::get_if<send_packet>(&action))
      send_traffic(b, *send);
    else if (auto* start = std::get_if<start_work>(&action))
      start_work_on(b, *start);
    else
      cancel_work_on(b, std::get<cancel_work>(action));
  }
}

void sim_world::send_traffic(balancer& from, const send_packet& out) {
  if (out.to_peer) {
    const auto to = static_cast<int>(out.to.ip - 0x0a000000u);
    balancer& receiver = *balancers_[static_cast<size_t>(to)];
    transmit(from.zone, receiver.zone, [this, to, m = out.body] {
      balancer& b = *balancers_[static_cast<size_t>(to)];
      if (b.frozen && b.backlog.size() >= backlog_limit)
        return;
      deliver(to, b.generation, [this, to, m] {
        balancer& recipient = *balancers_[static_cast<size_t>(to)];
        execute(recipient,
                recipient.traffic->receive_from_peer(clock_.now(), m));
      });
    });
    return;
  }
  if (target* t = target_at(out.to)) {
    const int number = t->number;
    const int sender = from.number;
    transmit(from.zone, t->zone, [this, number, sender, m = out.body] {
      if (const auto* d = std::get_if<datagram>(&m))
        receive_datagram(number, *d, sender);
    });
    return;
  }
  transmit(from.zone, outside_zone,
           [this, to = out.to, m = out.body] { receive_at_caller(to, m); });
}

void sim_world::start_work_on(balancer& from, const start_work& work) {
  target* t = target_at(work.target);
  const int number = from.number;
  const uint64_t generation = from.generation;
  const bool reachable =
      t != nullptr && !cut(from.zone, t->zone) && !cut(t->zone, from.zone);
  if (!reachable) {
    const int target_number = t == nullptr ? -1 : t->number;
    clock_.after(connect_timeout, [=, world = this] {
      world->deliver_work_result(
          number, generation, target_number,
          {work.serial, work_status::unreachable, 0, ""});
    });
    return;
  }
  const int target_number = t->number;
  clock_.after(delay(from.zone, t->zone), [=, world = this] {
    world->receive_work(target_number, work, number, generation);
  });
}

void sim_world::cancel_work_on(balancer& from, const cancel_work& work) {
  target* t = target_at(work.target);
  if (t == nullptr || cut(from.zone, t->zone))
    return;
  for (auto& [key, running] : t->running) {
    if (running.request == work.request.value)
      running.cancelled = true;
  }
}

void sim_world::deliver_work_result(int number,
                                    uint64_t generation,
                                    int target_number,
                                    work_result outcome) {
  deliver(number, generation, [this, number, target_number, outcome] {
    balancer& b = *balancers_[static_cast<size_t>(number)];
    if (outcome.status != work_status::answered && target_number >= 0) {
      history_event e;
      e.kind = event_kind::failure_observed;
      e.balancer = number;
      e.incarnation = b.incarnation;
      e.target = target_number;
      record(e);
    }
    execute(b, b.traffic->handle_work_result(clock_.now(), outcome));
  });
}

void sim_world::graceful_stop(int number, time_us downtime) {
  balancer& b = *balancers_[static_cast<size_t>(number)];
  if (!b.alive || b.frozen || b.stopping)
    return;
  b.stopping = true;
  b.leaving_since = clock_.now();
  execute(b, b.control->leave(clock_.now()));
  b.traffic->stop(clock_.now());
  if (options_.injected_faults.drop_on_stop) {
    crash(number, downtime);
    return;
  }
  finish_stop(number, b.generation, downtime);
}

void sim_world::finish_stop(int number, uint64_t generation, time_us downtime) {
  balancer& b = *balancers_[static_cast<size_t>(number)];
  if (!b.alive || b.generation != generation)
    return;
  if (!b.traffic->may_end(clock_.now()) || b.frozen) {
    clock_.after(stop_poll_interval, [=, world = this] {
      world->finish_stop(number, generation, downtime);
    });
    return;
  }
  crash(number, downtime);
}

void sim_world::crash(int number, time_us downtime) {
  balancer& b = *balancers_[static_cast<size_t>(number)];
  if (!b.alive)
    return;
  b.alive = false;
  if (!b.stopping)
    b.leaving_since = clock_.now();
  record_balancer_event(number, event_kind::balancer_down);
  clock_.after(downtime, [this, number] {
    if (!balancers_[static_cast<size_t>(number)]->alive)
      start_balancer(number);
  });
}

void sim_world::freeze(int number, time_us duration) {
  balancer& b = *balancers_[static_cast<size_t>(number)];
  if (!b.alive || b.frozen)
    return;
  b.frozen = true;
  record_disturbance(number, true);
  const uint64_t generation = b.generation;
  clock_.after(duration,
               [=, world = this] { world->unfreeze(number, generation); });
}

void sim_world::unfreeze(int number, uint64_t generation) {
  balancer& b = *balancers_[static_cast<size_t>(number)];
  record_disturbance(number, false);
  if (!b.alive || b.generation != generation)
    return;
  b.frozen = false;
  while (!b.backlog.empty() && b.alive) {
    const sim_clock::event next = std::move(b.backlog.front());
    b.backlog.pop_front();
    next();
  }
}

}  // namespace turmeric::tests
