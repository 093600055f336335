/** @file sim_target.cpp Targets of the simulated cluster. */
#include <fmt/format.h>

#include "sim_world.h"
#include "turmeric/state/service_type.h"

namespace turmeric::tests {
namespace {

/** Requests that a warm target runs at once. */
constexpr size_t slots = 2;
constexpr size_t cold_limit = 1;  ///< Requests that a cold target runs at once.
constexpr time_us cold_duration = 1200 * us_per_ms;
/** Requests take up to twice this time on a warm target. */
constexpr time_us min_work_time = 15 * us_per_ms;
/** Factor on the time of a request on a cold target. */
constexpr int cold_slowdown = 4;
/** Time until a balancer detects that the connection to a target failed. */
constexpr time_us connection_failure_delay = 200 * us_per_ms;
constexpr uint32_t target_ip = 0x0a010000u;
constexpr uint16_t target_port = 80;

std::string answer_for(uint64_t request, const std::string& service) {
  std::string body = fmt::format("request={} service={}\n", request, service);
  // Every third answer is too large for one part.
  if (request % 3 == 0)
    body.append(3000, static_cast<char>('a' + request % 26));
  return body;
}

}  // namespace

/** @return The body that an answer to @p request of @p service must have. */
std::string expected_answer(uint64_t request, const std::string& service) {
  return answer_for(request, service);
}

void sim_world::add_target(const std::string& service,
                           int zone,
                           bool is_declared) {
  auto t = std::make_unique<target>();
  t->number = static_cast<int>(targets_.size());
  t->zone = zone;
  t->service = service;
  t->name = fmt::format("{}/t{}", service, t->number);
  t->declared = is_declared;
  t->cold_until = clock_.now() + cold_duration;
  targets_.push_back(std::move(t));
}

sim_world::target* sim_world::target_at(endpoint address) {
  if (address.port != target_port || address.ip < target_ip)
    return nullptr;
  const size_t number = address.ip - target_ip;
  return number < targets_.size() ? targets_[number].get() : nullptr;
}

bool sim_world::cold(const target& t) const {
  return clock_.now() < t.cold_until;
}

void sim_world::turn_cold(int number) {
  target& t = *targets_[static_cast<size_t>(number)];
  t.cold_until = clock_.now() + cold_duration;
  history_event e;
  e.kind = event_kind::target_cold;
  e.target = number;
  record(e);
}

void sim_world::restart_target(int number) {
  target& t = *targets_[static_cast<size_t>(number)];
  ++t.generation;
  t.flows.clear();
  auto failed = std::move(t.running);
  t.running.clear();
  turn_cold(number);
  for (const auto& [key, w] : failed) {
    const running_work work = w;
    clock_.after(us_per_ms, [=, world = this] {
      world->deliver_work_result(
          work.balancer, work.generation, number,
          {work.serial, work_status::failed_after_send, 0, ""});
    });
  }
}

void sim_world::receive_work(int number,
                             const start_work& work,
                             int from,
                             uint64_t generation) {
  target& t = *targets_[static_cast<size_t>(number)];
  const balancer& b = *balancers_[static_cast<size_t>(from)];
  const size_t limit = cold(t) ? cold_limit : slots;
  if (!cold(t))
    t.never_warm = false;
  history_event e;
  e.balancer = from;
  e.incarnation = b.incarnation;
  e.target = number;
  e.zone = t.zone;
  e.target_name = t.name;
  e.request = work.request.value;
  e.service = work.service_name;
  e.target_service = t.service;
  e.cold = cold(t);
  e.never_warm = t.never_warm;
  if (t.running.size() >= limit) {
    e.kind = event_kind::overload;
    record(e);
    // Overload makes a cold target fail; its warm-up starts again.
    if (cold(t))
      t.cold_until = clock_.now() + cold_duration;
    clock_.after(delay(t.zone, b.zone), [=, world = this] {
      world->deliver_work_result(from, generation, number,
                                 {work.serial, work_status::refused, 100, ""});
    });
    return;
  }
  e.kind = event_kind::request_started;
  record(e);
  const uint64_t key = ++next_work_;
  t.running[key] = {from, generation, work.serial, work.request.value, false};
  time_us duration =
      min_work_time + static_cast<time_us>(random() % min_work_time);
  if (cold(t))
    duration *= cold_slowdown;
  clock_.after(duration, [=, world = this, target_generation = t.generation] {
    world->finish_work(number, target_generation, key);
  });
}

void sim_world::finish_work(int number,
                            uint64_t target_generation,
                            uint64_t key) {
  target& t = *targets_[static_cast<size_t>(number)];
  if (t.generation != target_generation)
    return;
  const running_work work = t.running.at(key);
  t.running.erase(key);
  const balancer& b = *balancers_[static_cast<size_t>(work.balancer)];
  work_result outcome{work.serial, work_status::answered, 0,
                      answer_for(work.request, t.service)};
  time_us wait = delay(t.zone, b.zone);
  if (cut(t.zone, b.zone)) {
    outcome = {work.serial, work_status::failed_after_send, 0, ""};
    wait = connection_failure_delay;
  }
  clock_.after(wait, [=, world = this] {
    world->deliver_work_result(work.balancer, work.generation, number, outcome);
  });
}

void sim_world::receive_datagram(int number, const datagram& m, int from) {
  target& t = *targets_[static_cast<size_t>(number)];
  history_event e;
  e.kind = event_kind::packet_received;
  e.balancer = from;
  e.target = number;
  e.zone = t.zone;
  e.target_name = t.name;
  e.flow = m.flow.value;
  e.opens = m.opens;
  e.target_service = t.service;
  e.service = m.service == id_of<service_id>(t.service) ? t.service : "other";
  if (m.opens)
    e.first_opening = t.flows.insert(m.flow.value).second;
  e.target_has_flow = t.flows.count(m.flow.value) > 0;
  record(e);
}

std::vector<service_config> sim_world::declared_services() const {
  std::map<std::string, service_config> services;
  for (const auto& t : targets_) {
    if (!t->declared)
      continue;
    service_config& s = services[t->service];
    s.account = t->service.substr(0, t->service.find('/'));
    s.name = t->service.substr(t->service.find('/') + 1);
    s.id = id_of<service_id>(t->service);
    s.slots = slots;
    target_config c;
    c.name = t->name;
    c.id = id_of<target_id>(c.name);
    c.zone_name = "zone" + std::to_string(t->zone);
    c.zone = id_of<zone_id>(c.zone_name);
    c.address = {target_ip + static_cast<uint32_t>(t->number), target_port};
    s.targets.push_back(std::move(c));
  }
  std::vector<service_config> out;
  for (auto& [name, service] : services)
    out.push_back(std::move(service));
  return out;
}

}  // namespace turmeric::tests
