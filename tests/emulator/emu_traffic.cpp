/** @file emu_traffic.cpp Callers and targets. */
#include <algorithm>

#include "emu_world.h"

namespace turmeric::tests {
namespace {

constexpr time_us opening_retransmits[] = {200 * us_per_ms, 600 * us_per_ms};
constexpr time_us opening_timeout = 1400 * us_per_ms;
constexpr time_us min_retransmit_wait = 200 * us_per_ms;
constexpr time_us max_retransmit_wait = 1600 * us_per_ms;
constexpr int max_attempts = 3;
/** Time after which a target drops an opening without further segments; its
 * caller has got the answer of another target or has given up. */
constexpr time_us half_open_time = 400 * us_per_ms;
constexpr uint32_t first_port = 1024;
constexpr uint32_t port_count = 65536 - first_port;
constexpr double cold_work_factor = 1.6;
constexpr double slow_work_factor = 8;
/** Share of the packets that a lossy link loses. */
constexpr double link_loss_share = 0.33;
/** Share of the segments that an injected token fault affects. */
constexpr double token_fault_share = 0.5;

}  // namespace

void emu_world::issue_request() {
  const emu_shape& shape = options_.shape;
  if (options_.drain_time != 0 && clock_.now() >= first_request_at_ +
                                                      options_.duration -
                                                      options_.drain_time)
    return;
  double total = 0;
  double usual_total = 0;
  for (const auto& kind : shape.request_classes) {
    total += weight_of(kind);
    usual_total += kind.weight;
  }
  const time_us gap = static_cast<time_us>(
      us_per_s / (shape.requests_per_s * (total / usual_total)));
  clock_.after(1 + static_cast<time_us>(random() % (2 * gap)),
               [this] { issue_request(); });
  request r;
  r.number = next_number_++;
  double point = static_cast<double>(random() % 1000000) / 1e6 * total;
  while (r.class_index + 1 < shape.request_classes.size() &&
         point >= weight_of(shape.request_classes[r.class_index]))
    point -= weight_of(shape.request_classes[r.class_index++]);
  r.zone = shape.uneven_callers && chance(0.5) ? 0 : random() % shape.zones;
  choose_caller(&r);
  r.issued_at = clock_.now();
  ++report_.outcomes[r.class_index].requests;
  requests_[r.number] = r;
  clock_.after(shape.request_classes[r.class_index].deadline,
               [this, number = r.number] {
                 const auto it = requests_.find(number);
                 if (it != requests_.end())
                   finish_request(&it->second, false);
               });
  start_attempt(r.number);
}

double emu_world::weight_of(const emu_request_class& kind) const {
  const time_us time = clock_.now() - first_request_at_;
  double weight = kind.weight;
  for (const auto& burst : options_.shape.bursts) {
    if (time >= burst.start && time < burst.start + burst.duration &&
        (burst.request_class.empty() || burst.request_class == kind.name))
      weight *= burst.factor;
  }
  return weight;
}

void emu_world::choose_caller(request* r) {
  const emu_shape& shape = options_.shape;
  if (shape.greedy_share > 0 && chance(shape.greedy_share))
    r->caller = 1;
  else if (shape.callers != 0)
    r->caller = 2 + random() % shape.callers;
  if (r->caller != 0)
    r->zone = r->caller % shape.zones;
}

void emu_world::start_attempt(uint64_t request_number) {
  request& r = requests_.at(request_number);
  ++r.attempts;
  ++report_.attempts;
  flow f;
  f.number = next_number_++;
  f.request = r.number;
  f.zone = r.zone;
  f.header.source = {static_cast<uint32_t>(0x64400000 + (f.number >> 14)),
                     static_cast<uint16_t>(1024 + (f.number & 0x3fff))};
  f.header.destination = routing_.routes[r.class_index].address;
  f.stream = r.stream;
  if (r.stream != 0) {
    f.header.source.ip = static_cast<uint32_t>(0x64800000 + r.stream);
    streams_[r.stream].flow = f.number;
  }
  if (r.caller != 0) {
    const uint32_t port = first_port + caller_ports_[r.caller]++ % port_count;
    f.header.source = {static_cast<uint32_t>(0x64c00000 + r.caller),
                       static_cast<uint16_t>(port)};
  }
  const uint64_t number = f.number;
  flows_[number] = std::move(f);
  send_opening(number, 0);
  for (uint32_t copy = 0; copy < 2; ++copy) {
    clock_.after(opening_retransmits[copy],
                 [this, number, copy] { send_opening(number, copy + 1); });
  }
  clock_.after(opening_timeout, [this, number] {
    const auto it = flows_.find(number);
    if (it != flows_.end() && !it->second.connected)
      fail_attempt(number, false);
  });
}

void emu_world::send_opening(uint64_t flow_number, uint32_t copy) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.ended || it->second.connected)
    return;
  segment s = it->second.header;
  s.flags.opens = true;
  s.acknowledged = copy;
  send_segment(it->second, s);
}

void emu_world::send_segment(const flow& f, segment s) {
  balancer* b = choose_balancer(f.zone, key_of(s));
  if (b == nullptr)
    return;
  clock_.after(options_.shape.caller_latency, [this, b, n = f.number, s] {
    if (b->running)
      run_on_balancer(b, [this, b, n, s, arrived = clock_.now()] {
        receive_at_balancer(b, n, arrived, s);
      });
  });
}

void emu_world::receive_at_balancer(balancer* b,
                                    uint64_t flow_number,
                                    time_us arrived,
                                    segment s) {
  if (b->lossy_links != 0 && chance(link_loss_share))
    return;
  forwarding_decision decision =
      b->forwarding->on_segment(clock_.now(), s, clock_.now() - arrived);
  if (decision.action == forwarding_action::hold)
    b->held[key_of(s)] = {flow_number, arrived};
  send_deferred(b);
  schedule_forwarding_tick(b);
  forward_reports(b);
  const auto sender = flows_.find(flow_number);
  if (options_.injected_fault == emu_injected_fault::reset_stalled_flows &&
      s.data_bytes != 0 && sender != flows_.end() &&
      sender->second.request_copies > 1)
    decision.action = forwarding_action::reset;
  const bool guesses =
      options_.injected_fault == emu_injected_fault::guess_tokens ||
      options_.injected_fault == emu_injected_fault::reset_open_flows;
  // Injected fault: the balancer lacks some targets and does not drop
  // their segments.
  if (guesses && b->table && !s.flags.opens && chance(token_fault_share)) {
    if (options_.injected_fault == emu_injected_fault::guess_tokens) {
      const auto& all = b->table->targets();
      decision.action = forwarding_action::forward;
      decision.target =
          &std::next(all.begin(), static_cast<long>(random() % all.size()))
               ->second;
    }
    if (options_.injected_fault == emu_injected_fault::reset_open_flows)
      decision.action = forwarding_action::reset;
  }
  apply_decision(b, flow_number, arrived, s, decision);
}

void emu_world::send_deferred(balancer* b) {
  for (const auto& [opening, decision] :
       b->forwarding->take_deferred(clock_.now())) {
    const auto held = b->held.find(key_of(opening));
    if (held == b->held.end())
      continue;
    const auto [flow_number, arrived] = held->second;
    b->held.erase(held);
    apply_decision(b, flow_number, arrived, opening, decision);
  }
}

void emu_world::apply_decision(balancer* b,
                               uint64_t flow_number,
                               time_us arrived,
                               segment s,
                               const forwarding_decision& decision) {
  if (decision.action == forwarding_action::reset) {
    ++report_.refused;
    report_.resets += s.flags.opens ? 0 : 1;
    if (s.flags.opens)
      report_.refusal_times.push_back(clock_.now() - arrived);
    clock_.after(
        options_.shape.caller_latency,
        [this, flow_number, by = b->name] { on_reset(flow_number, by); });
  }
  if (decision.action != forwarding_action::forward)
    return;
  if (s.flags.opens)
    ++report_.openings;
  s.token = decision.target->token;
  if (s.flags.opens)
    log_followed_placement(*b, decision);
  const auto it = targets_.find(decision.target->entry.name);
  const size_t zone = it == targets_.end() ? b->zone : it->second->zone;
  if (b->isolated || !reachable(b->zone, zone))
    return;
  clock_.after(delay(b->zone, zone),
               [this, b, name = decision.target->entry.name,
                address = decision.target->entry.address, flow_number,
                s] { receive_at_target(b, name, address, flow_number, s); });
}

void emu_world::receive_at_target(balancer* from,
                                  const std::string& name,
                                  const endpoint& address,
                                  uint64_t flow_number,
                                  const segment& s) {
  const auto it = addresses_.find(address);
  if (it == addresses_.end())
    return;
  target* t = it->second;
  if (t->silences != 0)
    return;
  if (!t->alive) {
    if (t->host_resets)
      schedule_at_caller(
          *t, [this, flow_number, by = t->name] { on_reset(flow_number, by); });
    return;
  }
  // The prefix of the segment names another target.
  if (t->name != name)
    return;
  const auto f = flows_.find(flow_number);
  if (f != flows_.end())
    check_misrouted(*t, &f->second);
  if (s.flags.opens)
    receive_opening(from, t, flow_number, s);
  else
    receive_data(t, flow_number, s);
}

void emu_world::schedule_at_caller(const target&, std::function<void()> event) {
  clock_.after(options_.shape.caller_latency, std::move(event));
}

void emu_world::receive_opening(balancer* from,
                                target* t,
                                uint64_t flow_number,
                                const segment& s) {
  check_opening(*from, t, flow_number, s);
  if (t->service == options_.shape.services[0].name)
    ++openings_by_second_[clock_.now() / us_per_s][t->name];
  if (reset_if_full(*t, flow_number))
    return;
  auto [it, added] = t->flows.try_emplace(flow_number);
  if (added)
    it->second.sequence = static_cast<uint32_t>(random() | 1);
  if (added && options_.shape.max_held_flows != 0) {
    set_held(t, flow_number, true);
    clock_.after(half_open_time, [t, flow_number] {
      const auto half_open = t->flows.find(flow_number);
      if (half_open != t->flows.end() && !half_open->second.open)
        set_held(t, flow_number, false);
    });
  }
  schedule_at_caller(
      *t, [this, flow_number, sequence = it->second.sequence, token = s.token] {
        on_connected(flow_number, sequence, token);
      });
}

void emu_world::set_held(target* t, uint64_t flow_number, bool held) {
  const auto it = t->flows.find(flow_number);
  if (it == t->flows.end() || it->second.held == held)
    return;
  it->second.held = held;
  t->held_flows += held ? 1 : -1;
}

bool emu_world::reset_if_full(const target& t, uint64_t flow_number) {
  const size_t most = options_.shape.max_held_flows;
  if (most == 0 || t.held_flows < most || t.flows.count(flow_number) != 0)
    return false;
  schedule_at_caller(t, [this, flow_number, by = t.name] {
    // A caller ignores it once another target has answered a copy.
    const auto it = flows_.find(flow_number);
    if (it == flows_.end() || it->second.ended || it->second.connected)
      return;
    ++report_.rejected_openings;
    on_reset(flow_number, by);
  });
  return true;
}

void emu_world::on_connected(uint64_t flow_number,
                             uint32_t sequence,
                             flow_token token) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.ended)
    return;
  flow& f = it->second;
  f.token = token;  // Callers echo the last token received.
  if (f.connected)
    return;
  f.connected = true;
  f.acknowledged = sequence;
  send_request(flow_number, f.request_sequence, min_retransmit_wait);
}

void emu_world::send_request(uint64_t flow_number,
                             uint32_t sequence,
                             time_us wait) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.ended || it->second.answered ||
      it->second.request_sequence != sequence)
    return;
  segment s = it->second.header;
  s.flags.acknowledges = true;
  s.token = it->second.token;
  s.acknowledged = it->second.acknowledged;
  s.sequence = sequence;
  s.data_bytes = 100;
  ++it->second.request_copies;
  send_segment(it->second, s);
  clock_.after(wait, [this, flow_number, sequence, wait] {
    send_request(flow_number, sequence,
                 std::min(2 * wait, max_retransmit_wait));
  });
}

void emu_world::receive_data(target* t,
                             uint64_t flow_number,
                             const segment& s) {
  const auto it = t->flows.find(flow_number);
  if (it == t->flows.end() ||
      (!it->second.open && it->second.sequence != s.acknowledged)) {
    schedule_at_caller(
        *t, [this, flow_number, by = t->name] { on_reset(flow_number, by); });
    return;
  }
  const auto f = flows_.find(flow_number);
  target_flow& flow = it->second;
  if (flow.open && s.data_bytes == 0)
    return;  // Acknowledges an answer.
  if (flow.open && flow.request_sequence == s.sequence) {
    if (flow.served)
      schedule_at_caller(*t, [this, flow_number, s] {
        on_answer(flow_number, s.token, s.sequence);
      });
    return;
  }
  if (!flow.open && f != flows_.end() && f->second.open_target == nullptr) {
    f->second.open_target = t;
    f->second.open_target_name = t->name;
  }
  flow.open = true;
  flow.served = false;
  flow.request_sequence = s.sequence;
  if (f != flows_.end()) {
    const auto r = requests_.find(f->second.request);
    if (r != requests_.end())
      r->second.may_have_run = true;
  }
  accept_request(t, flow_number);
}

void emu_world::accept_request(target* t, uint64_t flow_number) {
  set_held(t, flow_number, true);
  if (t->busy_slots < options_.shape.slots) {
    start_work(t, flow_number);
  } else if (t->queued_work.size() < options_.shape.queue_capacity) {
    t->queued_work.push_back(
        [this, t, flow_number] { start_work(t, flow_number); });
  } else {
    // The target's queue is full; it reports the request as not run.
    ++report_.rejected_requests;
    set_held(t, flow_number, false);
    schedule_at_caller(
        *t, [this, flow_number] { fail_attempt(flow_number, false); });
  }
}

void emu_world::start_work(target* t, uint64_t flow_number) {
  ++t->busy_slots;
  const auto f = flows_.find(flow_number);
  time_us mean = 10 * us_per_ms;
  if (f != flows_.end()) {
    const auto r = requests_.find(f->second.request);
    if (r != requests_.end())
      mean = options_.shape.request_classes[r->second.class_index].mean_work;
  }
  time_us needed =
      mean / 2 + static_cast<time_us>(random() % static_cast<uint64_t>(mean));
  if (clock_.now() < t->cold_until)
    needed =
        static_cast<time_us>(static_cast<double>(needed) * cold_work_factor);
  if (t->slowdowns != 0)
    needed =
        static_cast<time_us>(static_cast<double>(needed) * slow_work_factor);
  needed = static_cast<time_us>(static_cast<double>(needed) / t->speed);
  // A first part of the response arrives earlier and is acknowledged.
  clock_.after(needed / 2 + options_.shape.caller_latency,
               [this, flow_number] { send_acknowledgement(flow_number); });
  clock_.after(needed, [this, name = t->name, flow_number] {
    const auto it = targets_.find(name);
    if (it != targets_.end() && it->second->alive)
      finish_work(it->second.get(), flow_number);
  });
}

void emu_world::finish_work(target* t, uint64_t flow_number) {
  if (t->busy_slots != 0)
    --t->busy_slots;
  const auto it = t->flows.find(flow_number);
  set_held(t, flow_number, false);
  if (it != t->flows.end()) {
    it->second.served = true;
    schedule_at_caller(*t, [this, flow_number, token = token_of(t->name),
                            sequence = it->second.request_sequence] {
      on_answer(flow_number, token, sequence);
    });
  }
  if (!t->queued_work.empty()) {
    const auto next = std::move(t->queued_work.front());
    t->queued_work.pop_front();
    next();
  }
}

void emu_world::send_acknowledgement(uint64_t flow_number) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.ended || !it->second.connected)
    return;
  segment s = it->second.header;
  s.flags.acknowledges = true;
  s.token = it->second.token;
  s.acknowledged = it->second.acknowledged + 1;
  send_segment(it->second, s);
}

void emu_world::on_answer(uint64_t flow_number,
                          flow_token token,
                          uint32_t sequence) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.ended ||
      it->second.request_sequence != sequence)
    return;
  flow& f = it->second;
  if (f.stream != 0) {
    on_stream_answer(&f, token);
    return;
  }
  f.token = token;
  f.answered = true;
  f.acknowledged += 600;
  segment s = f.header;
  s.flags.acknowledges = s.flags.finishes = true;
  s.token = token;
  s.acknowledged = f.acknowledged;
  send_segment(f, s);
  f.ended = true;
  const auto r = requests_.find(f.request);
  if (r != requests_.end())
    finish_request(&r->second, true);
}

void emu_world::on_reset(uint64_t flow_number, const std::string& by) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.ended)
    return;
  const flow& f = it->second;
  if (f.open_target != nullptr && by != f.open_target_name &&
      f.open_target->name == f.open_target_name &&
      undisturbed(*f.open_target)) {
    record_violation(emu_invariant::open_flow,
                     "reset by " + by + " of a flow at " + f.open_target_name);
  }
  fail_attempt(flow_number, f.open_target != nullptr);
}

void emu_world::fail_attempt(uint64_t flow_number, bool may_have_run) {
  const auto it = flows_.find(flow_number);
  if (it == flows_.end() || it->second.ended)
    return;
  it->second.ended = true;
  const auto r = requests_.find(it->second.request);
  if (r == requests_.end() || r->second.ended)
    return;
  const emu_request_class& kind =
      options_.shape.request_classes[r->second.class_index];
  const bool again =
      r->second.attempts < max_attempts && (kind.safe || !may_have_run);
  if (again)
    start_attempt(r->second.number);
  else
    finish_request(&r->second, false);
}

void emu_world::finish_request(request* r, bool served) {
  if (r->ended)
    return;
  r->ended = true;
  const emu_request_class& kind =
      options_.shape.request_classes[r->class_index];
  emu_outcome& out = report_.outcomes[r->class_index];
  const time_us took = clock_.now() - r->issued_at;
  const bool in_time = served && took <= kind.latency_objective;
  if (served)
    out.latencies.push_back(took);
  if (r->stream != 0)
    count_stream_request(*r, served, in_time);
  (in_time ? out.in_time : served ? out.late : out.failed) += 1;
  if (r->caller != 0) {
    emu_outcome& caller = report_.callers.at(r->caller - 1);
    ++caller.requests;
    (in_time ? caller.in_time : served ? caller.late : caller.failed) += 1;
  }
  const auto note = [&](time_us width, auto* bins) {
    const auto bin =
        static_cast<size_t>((r->issued_at - first_request_at_) / width);
    if (bins->size() <= bin)
      bins->resize(bin + 1);
    ++(*bins)[bin].first;
    (*bins)[bin].second += in_time ? 1 : 0;
  };
  note(us_per_s, &report_.by_second);
  note(us_per_s / 10, &report_.by_tenth_second);
  for (auto it = flows_.begin(); it != flows_.end();) {
    // Erases old flows: numbers ascend, and few requests are open at once.
    if (it->second.number + options_.shape.flow_history > next_number_)
      break;
    const bool kept = it->second.stream != 0 && !it->second.ended;
    it = kept ? std::next(it) : flows_.erase(it);
  }
  const uint64_t stream = r->stream;
  requests_.erase(r->number);
  if (stream != 0)
    await_stream_request(stream);
}

}  // namespace turmeric::tests
