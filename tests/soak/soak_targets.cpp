/** @file soak_targets.cpp Targets: accept openings, serve requests and check
 * what they receive. */
#include <sys/socket.h>

#include <algorithm>

#include "soak_site.h"
#include "soak_traffic_internal.h"
#include "turmeric/platform/segment_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/socket_address_func.h"

namespace turmeric::tests {
namespace {

/** Longer queues take no requests. */
constexpr time_us max_queue_time = us_per_s;
constexpr time_us max_service_time = us_per_s;
/** With load phases, one in this many targets takes twice as long. */
constexpr size_t slow_target_interval = 3;
/** A full target forgets flows without segments for this long: their callers
 * have given up, and the last segment was lost. A caller pauses for up to 3 s.
 */
constexpr time_us max_idle_time = 5 * us_per_s;
/** The same for flows that are waiting for the first request or have got the
 * last response. */
constexpr time_us max_half_open_time = us_per_s;
/** Openings may reach a target for this long after it began to drain. */
constexpr time_us drain_grace = 3 * us_per_s;
/** That bound holds once no fault has been active for this long, since
 * balancers need this time to be in touch with the registry and each other
 * again. */
constexpr time_us recovery_time = 4 * us_per_s;

}  // namespace

time_us soak_traffic::draw_service_time(size_t index) {
  if (load_.service_time == 0)
    return 0;
  if (load_.overloads()) {
    // A narrow distribution: a balancer takes responses of twice the median for
    // ones that have waited in a queue.
    std::uniform_int_distribution<time_us> time(load_.service_time / 2,
                                                load_.service_time * 3 / 2);
    const bool slow = index % slow_target_interval == slow_target_interval - 1;
    return time(long_random_) * (slow ? 2 : 1);
  }
  std::exponential_distribution<double> time(
      1 / static_cast<double>(load_.service_time));
  return std::min(static_cast<time_us>(time(long_random_)), max_service_time);
}

void soak_traffic::receive_at_target(size_t index,
                                     const uint8_t* data,
                                     size_t size) {
  target& t = targets_[index];
  if (!t.alive || size < platform::target_prefix_bytes)
    return;
  uint64_t target_number = 0;
  for (size_t i = 0; i < platform::target_prefix_bytes; ++i)
    target_number = target_number << 8 | data[i];
  if (target_number != first_target_number + index)
    return;
  const uint8_t* packet = data + platform::target_prefix_bytes;
  const auto s =
      platform::read_segment(packet, size - platform::target_prefix_bytes);
  if (!s.has_value())
    return record_violation("unreadable segment received by a target");
  const uint64_t key = hash_of(key_of(*s));
  if (refused_.count(key) != 0)
    record_violation("refused opening of " + to_text(s->source) + " reached " +
                     name_of(index));
  if (s->flags.opens)
    return receive_opening(index, key, *s);
  const auto caller_flow = flows_.find(key);
  if (caller_flow != flows_.end() && caller_flow->second.connected &&
      caller_flow->second.target_index != index &&
      targets_[caller_flow->second.target_index].alive)
    record_violation("segment of an open flow reached " + name_of(index) +
                     ": " + describe(caller_flow->second));
  if (s->flags.finishes || s->flags.resets) {
    t.flows.erase(key);
  } else if (t.flows.count(key) == 0) {
    segment reset;
    reset.flags.resets = true;
    reset.sequence = s->acknowledged;
    send_from_target(index, *s, reset);
  } else if (s->data_bytes != 0) {
    receive_request(index, key, *s,
                    packet[platform::header_bytes] == closing_mark);
  }
}

void soak_traffic::receive_opening(size_t index,
                                   uint64_t key,
                                   const segment& s) {
  target& t = targets_[index];
  const time_us now = boot_now();
  if (t.draining_since != 0 && now - t.draining_since > drain_grace &&
      now - undisturbed_since_ > recovery_time)
    record_violation("opening past the drain bound at target " +
                     name_of(index));
  const auto caller_flow = flows_.find(key);
  if (caller_flow != flows_.end())
    caller_flow->second.reached_target = true;
  if (t.flows.count(key) == 0 && is_full(now, &t)) {
    segment reset;
    reset.flags.resets = true;
    return send_from_target(index, s, reset);
  }
  target_flow opened;
  opened.last_segment = now;
  opened.sequence = static_cast<uint32_t>(random_() | 1);
  opened.expected = s.sequence;
  segment reply;
  reply.flags.opens = reply.flags.acknowledges = true;
  reply.sequence = t.flows.try_emplace(key, opened).first->second.sequence;
  send_from_target(index, s, reply);
}

bool soak_traffic::is_full(time_us now, target* t) const {
  if (load_.target_flows == 0 || t->flows.size() < load_.target_flows)
    return false;
  for (auto it = t->flows.begin(); it != t->flows.end();) {
    const target_flow& f = it->second;
    const bool half_open = f.closes || f.last_request.data_bytes == 0;
    const time_us bound = half_open ? max_half_open_time : max_idle_time;
    it = !f.busy && now - f.last_segment >= bound ? t->flows.erase(it)
                                                  : std::next(it);
  }
  return t->flows.size() >= load_.target_flows;
}

void soak_traffic::receive_request(size_t index,
                                   uint64_t key,
                                   const segment& s,
                                   bool last) {
  target& t = targets_[index];
  const time_us now = boot_now();
  target_flow& f = t.flows[key];
  f.last_segment = now;
  if (f.busy)
    return;
  if (s.sequence + request_bytes == f.expected)
    return send_response(index, f);  // The last response was lost.
  if (s.sequence != f.expected)
    return;
  f.not_run = load_.target_queue != 0 &&
              static_cast<size_t>(std::count_if(
                  t.flows.begin(), t.flows.end(), [](const auto& entry) {
                    return entry.second.busy;
                  })) >= t.slots.size() + load_.target_queue;
  if (f.not_run) {
    f.closes = last;
    f.last_request = s;
    f.expected += request_bytes;
    f.sequence += response_bytes;
    return send_response(index, f);
  }
  const auto slot = std::min_element(t.slots.begin(), t.slots.end());
  const time_us start = std::max(now, *slot);
  if (start - now > max_queue_time)
    return;
  *slot = start + draw_service_time(index);
  f.busy = true;
  f.closes = last;
  f.last_request = s;
  f.expected += request_bytes;
  work_.emplace(*slot, std::make_pair(index, key));
}

void soak_traffic::finish_requests(time_us now) {
  while (!work_.empty() && work_.begin()->first <= now) {
    const auto [index, key] = work_.begin()->second;
    work_.erase(work_.begin());
    target& t = targets_[index];
    const auto f = t.flows.find(key);
    if (f == t.flows.end() || !f->second.busy)
      continue;
    f->second.busy = false;
    f->second.closes = f->second.closes || t.draining_since != 0;
    f->second.sequence += response_bytes;
    send_response(index, f->second);
  }
}

void soak_traffic::send_response(size_t index, const target_flow& f) {
  segment reply;
  reply.flags.acknowledges = true;
  reply.flags.finishes = f.closes;
  reply.sequence = f.sequence - static_cast<uint32_t>(response_bytes);
  reply.data_bytes = response_bytes;
  reply.acknowledged = f.expected;
  send_from_target(index, f.last_request, reply, f.not_run ? not_run_mark : 0);
}

void soak_traffic::send_from_target(size_t index,
                                    const segment& request,
                                    segment reply,
                                    uint8_t first_byte) {
  reply.source = request.destination;
  reply.destination = request.source;
  reply.token = request.token;
  const auto packet = encode_segment(reply, first_byte);
  const sockaddr_in to =
      to_sockaddr({request.source.ip,
                   static_cast<uint16_t>(first_packet_port + port_offset_)});
  sendto(targets_[index].socket.get(), packet.data(), packet.size(), 0,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

}  // namespace turmeric::tests
