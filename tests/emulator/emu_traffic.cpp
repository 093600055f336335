/** @file emu_traffic.cpp Callers and targets. */
#include <algorithm>

#include "emu_world.h"

namespace turmeric::tests {
namespace {

constexpr time_us opening_copies[] = {200 * us_per_ms, 600 * us_per_ms};
constexpr time_us opening_limit = 1400 * us_per_ms;
constexpr time_us first_repeat = 200 * us_per_ms;
constexpr time_us last_repeat = 1600 * us_per_ms;
constexpr int max_attempts = 3;
constexpr double cold_factor = 1.6;
/** Share of the segments whose target a planted fault forgets. */
constexpr double lost_targets = 0.5;

}  // namespace

void emu_world::ask() {
  const emu_shape& shape = options_.shape;
  const time_us gap = static_cast<time_us>(us_per_s / shape.requests_per_s);
  clock_.after(1 + static_cast<time_us>(random() % (2 * gap)),
               [this] { ask(); });
  double total = 0;
  for (const auto& kind : shape.classes)
    total += kind.weight;
  request r;
  r.number = next_number_++;
  double point = static_cast<double>(random() % 1000000) / 1e6 * total;
  while (r.kind + 1 < shape.classes.size() &&
         point >= shape.classes[r.kind].weight)
    point -= shape.classes[r.kind++].weight;
  r.zone = shape.uneven_callers && chance(0.5) ? 0 : random() % shape.zones;
  r.asked = clock_.now();
  ++report_.outcomes[r.kind].requests;
  requests_[r.number] = r;
  clock_.after(shape.classes[r.kind].deadline, [this, number = r.number] {
    const auto it = requests_.find(number);
    if (it != requests_.end())
      finish(&it->second, false);
  });
  attempt(r.number);
}

void emu_world::attempt(uint64_t request_number) {
  request& r = requests_.at(request_number);
  ++r.attempts;
  flow f;
  f.number = next_number_++;
  f.request = r.number;
  f.zone = r.zone;
  f.head.source = {static_cast<uint32_t>(0x64400000 + (f.number >> 14)),
                   static_cast<uint16_t>(1024 + (f.number & 0x3fff))};
  f.head.destination = routing_.routes[r.kind].address;
  const uint64_t number = f.number;
  flows_[number] = std::move(f);
  send_opening(number, 0);
  for (uint32_t copy = 0; copy < 2; ++copy) {
    clock_.after(opening_copies[copy],
                 [this, number, copy] { send_opening(number, copy + 1); });
  }
  clock_.after(opening_limit, [this, number] {
    const auto it = flows_.find(number);
    if (it != flows_.end() && !it->second.connected)
      attempt_failed(number, false);
  });
}

void emu_world::send_opening(uint64_t flow_number, uint32_t copy) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.over || it->second.connected)
    return;
  segment s = it->second.head;
  s.flags.opens = true;
  s.acknowledged = copy;
  send(it->second, s);
}

void emu_world::send(const flow& f, segment s) {
  balancer* b = route(f.zone, key_of(s));
  if (b == nullptr)
    return;
  clock_.after(options_.shape.to_caller, [this, b, n = f.number, s] {
    if (b->running)
      on_balancer(b, [this, b, n, s] { at_balancer(b, n, s); });
  });
}

void emu_world::at_balancer(balancer* b, uint64_t flow_number, segment s) {
  forwarding_decision decision = b->forwarding->on_segment(clock_.now(), s);
  arm_traffic(b);
  pass_reports(b);
  const bool guesses = options_.plant == emu_plant::guess_tokens ||
                       options_.plant == emu_plant::reset_open_flows;
  // Planted: the balancer has lost some targets and does not drop segments.
  if (guesses && b->table && !s.flags.opens && chance(lost_targets)) {
    if (options_.plant == emu_plant::guess_tokens) {
      const auto& all = b->table->targets();
      decision.action = forwarding_action::forward;
      decision.target =
          &std::next(all.begin(), static_cast<long>(random() % all.size()))
               ->second;
    }
    if (options_.plant == emu_plant::reset_open_flows)
      decision.action = forwarding_action::reset;
  }
  if (decision.action == forwarding_action::reset) {
    ++report_.refused;
    clock_.after(options_.shape.to_caller,
                 [this, flow_number] { got_reset(flow_number, false, ""); });
  }
  if (decision.action != forwarding_action::forward)
    return;
  if (s.flags.opens)
    ++report_.openings;
  s.token = decision.target->token;
  if (s.flags.opens)
    follow_placement(*b, decision);
  const auto it = targets_.find(decision.target->entry.name);
  const size_t zone = it == targets_.end() ? b->zone : it->second->zone;
  if (b->cut || !reachable(b->zone, zone))
    return;
  clock_.after(delay(b->zone, zone),
               [this, b, name = decision.target->entry.name,
                address = decision.target->entry.address, flow_number,
                s] { at_target(b, name, address, flow_number, s); });
}

void emu_world::at_target(balancer* from,
                          const std::string& name,
                          const endpoint& address,
                          uint64_t flow_number,
                          const segment& s) {
  const auto it = addresses_.find(address);
  if (it == addresses_.end())
    return;
  target* t = it->second;
  if (!t->alive) {
    if (t->resets)
      to_caller(*t, [this, flow_number, by = t->name] {
        got_reset(flow_number, true, by);
      });
    return;
  }
  // The number in front of the segment names another target.
  if (t->name != name)
    return;
  const auto f = flows_.find(flow_number);
  if (f != flows_.end())
    check_astray(*t, &f->second);
  if (s.flags.opens)
    opening_at(from, t, flow_number, s);
  else
    data_at(t, flow_number, s);
}

void emu_world::to_caller(const target&, std::function<void()> event) {
  clock_.after(options_.shape.to_caller, std::move(event));
}

void emu_world::opening_at(balancer* from,
                           target* t,
                           uint64_t flow_number,
                           const segment& s) {
  check_opening(*from, t, flow_number, s);
  if (t->service == options_.shape.services[0].name)
    ++openings_[clock_.now() / us_per_s][t->name];
  auto [it, added] = t->flows.try_emplace(flow_number);
  if (added)
    it->second.sequence = static_cast<uint32_t>(random() | 1);
  to_caller(*t, [this, flow_number, sequence = it->second.sequence,
                 token = s.token] { connected(flow_number, sequence, token); });
}

void emu_world::connected(uint64_t flow_number,
                          uint32_t sequence,
                          flow_token token) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.over)
    return;
  flow& f = it->second;
  f.token = token;  // The caller sends back the last one that it got.
  if (f.connected)
    return;
  f.connected = true;
  f.acknowledged = sequence;
  send_request(flow_number, first_repeat);
}

void emu_world::send_request(uint64_t flow_number, time_us wait) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.over || it->second.answered)
    return;
  segment s = it->second.head;
  s.flags.acknowledges = true;
  s.token = it->second.token;
  s.acknowledged = it->second.acknowledged;
  s.data_bytes = 100;
  send(it->second, s);
  clock_.after(wait, [this, flow_number, wait] {
    send_request(flow_number, std::min(2 * wait, last_repeat));
  });
}

void emu_world::data_at(target* t, uint64_t flow_number, const segment& s) {
  const auto it = t->flows.find(flow_number);
  if (it == t->flows.end() ||
      (!it->second.open && it->second.sequence != s.acknowledged)) {
    to_caller(*t, [this, flow_number, by = t->name] {
      got_reset(flow_number, true, by);
    });
    return;
  }
  const auto f = flows_.find(flow_number);
  if (!it->second.open) {
    it->second.open = true;
    if (f != flows_.end() && f->second.open_at == nullptr) {
      f->second.open_at = t;
      f->second.open_name = t->name;
    }
    if (f != flows_.end()) {
      const auto r = requests_.find(f->second.request);
      if (r != requests_.end())
        r->second.may_have_run = true;
    }
    if (t->busy < options_.shape.slots) {
      work(t, flow_number);
    } else if (t->waiting.size() < options_.shape.queue) {
      t->waiting.push_back([this, t, flow_number] { work(t, flow_number); });
    } else {
      // The target says that it has not run the request.
      to_caller(*t,
                [this, flow_number] { attempt_failed(flow_number, false); });
    }
    return;
  }
  if (it->second.served)
    to_caller(*t, [this, flow_number, token = s.token] {
      answered(flow_number, token);
    });
}

void emu_world::work(target* t, uint64_t flow_number) {
  ++t->busy;
  const auto f = flows_.find(flow_number);
  time_us mean = 10 * us_per_ms;
  if (f != flows_.end()) {
    const auto r = requests_.find(f->second.request);
    if (r != requests_.end())
      mean = options_.shape.classes[r->second.kind].work;
  }
  time_us needed =
      mean / 2 + static_cast<time_us>(random() % static_cast<uint64_t>(mean));
  if (clock_.now() < t->cold_until)
    needed = static_cast<time_us>(static_cast<double>(needed) * cold_factor);
  // Part of the answer arrives before the rest, and is acknowledged.
  clock_.after(needed / 2 + options_.shape.to_caller,
               [this, flow_number] { acknowledge(flow_number); });
  clock_.after(needed, [this, name = t->name, flow_number] {
    const auto it = targets_.find(name);
    if (it != targets_.end() && it->second->alive)
      work_done(it->second.get(), flow_number);
  });
}

void emu_world::work_done(target* t, uint64_t flow_number) {
  if (t->busy != 0)
    --t->busy;
  const auto it = t->flows.find(flow_number);
  if (it != t->flows.end()) {
    it->second.served = true;
    to_caller(*t, [this, flow_number, token = token_of(t->name)] {
      answered(flow_number, token);
    });
  }
  if (!t->waiting.empty()) {
    const auto next = std::move(t->waiting.front());
    t->waiting.pop_front();
    next();
  }
}

void emu_world::acknowledge(uint64_t flow_number) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.over || !it->second.connected)
    return;
  segment s = it->second.head;
  s.flags.acknowledges = true;
  s.token = it->second.token;
  s.acknowledged = it->second.acknowledged + 1;
  send(it->second, s);
}

void emu_world::answered(uint64_t flow_number, flow_token token) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.over)
    return;
  flow& f = it->second;
  f.token = token;
  f.answered = true;
  f.acknowledged += 600;
  segment s = f.head;
  s.flags.acknowledges = s.flags.finishes = true;
  s.token = token;
  s.acknowledged = f.acknowledged;
  send(f, s);
  f.over = true;
  const auto r = requests_.find(f.request);
  if (r != requests_.end())
    finish(&r->second, true);
}

void emu_world::got_reset(uint64_t flow_number,
                          bool from_target,
                          const std::string& by) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.over)
    return;
  flow& f = it->second;
  const bool by_own = from_target && by == f.open_name;
  if (f.open_at != nullptr && !by_own && f.open_at->name == f.open_name &&
      undisturbed(*f.open_at)) {
    violate(emu_rule::open_flow, "reset by " +
                                     (from_target ? by : "a balancer") +
                                     " of a flow at " + f.open_name);
  }
  attempt_failed(flow_number, f.open_at != nullptr);
}

void emu_world::attempt_failed(uint64_t flow_number, bool may_have_run) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.over)
    return;
  it->second.over = true;
  const auto r = requests_.find(it->second.request);
  if (r == requests_.end() || r->second.over)
    return;
  const emu_class& kind = options_.shape.classes[r->second.kind];
  const bool again =
      r->second.attempts < max_attempts && (kind.safe || !may_have_run);
  if (again)
    attempt(r->second.number);
  else
    finish(&r->second, false);
}

void emu_world::finish(request* r, bool served) {
  if (r->over)
    return;
  r->over = true;
  const emu_class& kind = options_.shape.classes[r->kind];
  emu_outcome& out = report_.outcomes[r->kind];
  const time_us took = clock_.now() - r->asked;
  const bool in_time = served && took <= kind.objective;
  if (served)
    out.latencies.push_back(took);
  (in_time ? out.in_time : served ? out.late : out.failed) += 1;
  const auto note = [&](time_us width, auto* bins) {
    const auto bin = static_cast<size_t>((r->asked - start_) / width);
    if (bins->size() <= bin)
      bins->resize(bin + 1);
    ++(*bins)[bin].first;
    (*bins)[bin].second += in_time ? 1 : 0;
  };
  note(us_per_s, &report_.seconds);
  note(us_per_s / 10, &report_.tenths);
  for (auto it = flows_.begin(); it != flows_.end();) {
    // Old flows go; requests are numbered in order, and few are open at once.
    if (it->second.number + 20000 > next_number_)
      break;
    it = flows_.erase(it);
  }
  requests_.erase(r->number);
}

}  // namespace turmeric::tests
