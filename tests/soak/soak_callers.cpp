/** @file soak_callers.cpp Callers: open flows, send requests and check what
 * they receive. */
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "soak_site.h"
#include "soak_traffic_internal.h"
#include "turmeric/platform/segment_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/socket_address_func.h"

namespace turmeric::tests {
namespace {

constexpr endpoint route_address{0xc6120001, 443};
/** With load phases; lower priority. */
constexpr endpoint second_route_address{0xc6120001, 444};
/** One in this many first copies of short flows' openings is lost. */
constexpr uint64_t loss_interval = 64;
/** One in this many flows of a load phase is of the first caller. */
constexpr int heavy_caller_interval = 3;
constexpr time_us scan_interval = 5 * us_per_ms;
constexpr time_us long_open_interval = 2 * us_per_ms;
/** Openings that are made up for at a time if the thread was delayed. */
constexpr int max_openings_per_pass = 20;
/** An opening's copies are sent at these times after it. */
constexpr std::array<time_us, 2> opening_copies = {200 * us_per_ms,
                                                   600 * us_per_ms};
constexpr time_us retransmit_interval = 200 * us_per_ms;
constexpr time_us max_retransmit_interval = 1600 * us_per_ms;
constexpr time_us flow_timeout = us_per_s;
constexpr time_us long_opening_timeout = 1400 * us_per_ms;
/** Time for a request of a long flow. */
constexpr time_us request_timeout = 8 * us_per_s;
/** Below the balancers' setting max_flow. */
constexpr time_us max_flow_age = 45 * us_per_s;
/** Requests of long flows for each injected fault. */
constexpr uint64_t plant_interval = 100;

}  // namespace

time_us soak_traffic::draw_pause() {
  std::uniform_int_distribution<time_us> usual(20 * us_per_ms, 400 * us_per_ms);
  std::uniform_int_distribution<time_us> longer(500 * us_per_ms, 3 * us_per_s);
  return long_random_() % 5 == 0 ? longer(long_random_) : usual(long_random_);
}

void soak_traffic::process_timers(time_us now) {
  finish_requests(now);
  open_due(now, load_.open_interval, &next_open_, false);
  if (load_phase_)
    open_due(now, load_.load_interval, &next_load_open_, true);
  if (now >= next_long_open_ && open_long_flows_ < load_.long_flows) {
    next_long_open_ = now + long_open_interval;
    open_flow(now, true, false);
  }
  if (now < next_scan_)
    return;
  next_scan_ = now + scan_interval;
  for (auto it = flows_.begin(); it != flows_.end();) {
    if (process_flow(now, &it->second)) {
      ++it;
    } else {
      open_long_flows_ -= it->second.long_lived ? 1 : 0;
      it = flows_.erase(it);
    }
  }
}

void soak_traffic::open_due(time_us now,
                            time_us interval,
                            time_us* next,
                            bool load_phase) {
  for (int i = 0; now >= *next; ++i) {
    *next = i < max_openings_per_pass && *next != 0 ? *next + interval
                                                    : now + interval;
    open_flow(now, false, load_phase);
  }
}

bool soak_traffic::process_flow(time_us now, flow* f) {
  const time_us age = now - f->opened_at;
  if (!f->long_lived && age >= flow_timeout) {
    ++counts_.timed_out;
    if (f->connected && load_.overloads()) {
      // The flow must not count at its target any longer.
      segment s = f->header;
      s.flags.resets = true;
      send(*f, s);
    }
    return false;
  }
  if (!f->connected) {
    const auto copy = static_cast<size_t>(f->retransmissions);
    if (copy < opening_copies.size() && age >= opening_copies[copy]) {
      ++f->retransmissions;
      segment s = f->header;
      s.flags.opens = true;
      s.acknowledged = static_cast<uint32_t>(f->retransmissions);
      send(*f, s);
      if (load_.plant == soak_plant::reset_opening_copy)
        plant_reset(*f, 0);
    }
    return age < long_opening_timeout;
  }
  if (f->pending && now - f->request_sent >= request_timeout) {
    ++counts_.long_lost;
    segment s = f->header;
    s.flags.resets = true;
    send(*f, s);
    return false;
  }
  const time_us interval = std::min(retransmit_interval << f->retransmissions,
                                    max_retransmit_interval);
  if (f->pending && now - f->last_sent >= interval) {
    ++f->retransmissions;
    send_request_copy(now, f);
  } else if (!f->pending && now >= f->next_request) {
    send_request(now, f);
  }
  return true;
}

void soak_traffic::open_flow(time_us now, bool long_lived, bool load_phase) {
  if (balancers_.empty())
    return;
  flow f;
  uint64_t key = 0;
  do {
    next_port_ = next_port_ == 65535 ? 1024 : next_port_ + 1;
    auto caller = static_cast<uint32_t>(next_port_ % caller_count);
    if (load_phase) {
      caller = next_port_ % heavy_caller_interval == 0
                   ? 0
                   : 1 + next_port_ % (caller_count - 1);
    }
    f.header.source = {first_caller_ip + caller, next_port_};
    const bool second = load_.overloads() && next_port_ / 2 % 2 != 0;
    f.header.destination = second ? second_route_address : route_address;
    key = hash_of(key_of(f.header));
  } while (flows_.count(key) != 0);
  f.opened_at = f.last_sent = now;
  f.long_lived = long_lived;
  if (long_lived) {
    ++open_long_flows_;
    f.requests_left = 20 + static_cast<int>(long_random_() % 180);
    if (long_random_() % 4 == 0)
      f.balancer = balancers_[long_random_() % balancers_.size()];
  } else {
    ++counts_.opened;
  }
  segment s = f.header;
  s.flags.opens = true;
  refused_.erase(key);
  const bool lost =
      load_.overloads() && !long_lived && loss_random_() % loss_interval == 0;
  if (!lost)
    f.first_balancer = send(f, s);
  flows_[key] = f;
}

void soak_traffic::send_request(time_us now, flow* f) {
  const bool too_old = now - f->opened_at >= max_flow_age;
  f->requests_left = too_old ? 0 : f->requests_left - 1;
  f->pending = true;
  f->request_sent = now;
  f->retransmissions = 0;
  plant_fault(f);
  send_request_copy(now, f);
}

void soak_traffic::plant_fault(flow* f) {
  if (load_.plant == soak_plant::none ||
      load_.plant == soak_plant::reset_opening_copy || !f->long_lived ||
      ++requests_to_plant_ % plant_interval != 0)
    return;
  if (load_.plant == soak_plant::move_open_flow) {
    const auto other =
        std::find_if(flows_.begin(), flows_.end(), [&](const auto& entry) {
          return entry.second.connected &&
                 entry.second.target_index != f->target_index;
        });
    if (other != flows_.end())
      f->header.token = other->second.header.token;
    return;
  }
  plant_reset(*f, f->header.acknowledged);
}

void soak_traffic::plant_reset(const flow& f, uint32_t sequence) {
  segment reset;
  reset.source = f.header.destination;
  reset.destination = f.header.source;
  reset.sequence = sequence;
  reset.flags.resets = true;
  const auto packet = encode_segment(reset);
  const uint32_t caller_ip = f.header.source.ip;
  const sockaddr_in to = to_sockaddr(
      {caller_ip, static_cast<uint16_t>(first_packet_port + port_offset_)});
  sendto(
      caller_sockets_[(caller_ip + 1 - first_caller_ip) % caller_count].get(),
      packet.data(), packet.size(), 0, reinterpret_cast<const sockaddr*>(&to),
      sizeof(to));
}

void soak_traffic::send_request_copy(time_us now, flow* f) {
  f->last_sent = now;
  segment s = f->header;
  s.flags.acknowledges = true;
  s.data_bytes = request_bytes;
  send(*f, s);
}

endpoint soak_traffic::send(const flow& f, const segment& s) {
  if (balancers_.empty())
    return {};
  const uint64_t copy = load_.overloads() && s.flags.opens ? s.acknowledged : 0;
  const endpoint to =
      f.balancer.port != 0
          ? f.balancer
          : balancers_[(hash_of(key_of(s)) + copy) % balancers_.size()];
  const auto packet =
      encode_segment(s, f.requests_left == 0 ? closing_mark : 0);
  const sockaddr_in address = to_sockaddr(to);
  sendto(caller_sockets_[s.source.ip - first_caller_ip].get(), packet.data(),
         packet.size(), 0, reinterpret_cast<const sockaddr*>(&address),
         sizeof(address));
  return to;
}

void soak_traffic::receive_at_caller(const uint8_t* data,
                                     size_t size,
                                     endpoint from) {
  const auto s = platform::read_segment(data, size);
  if (!s.has_value())
    return record_violation("unreadable segment received by a caller");
  segment caller_segment;
  caller_segment.source = s->destination;
  caller_segment.destination = s->source;
  const auto it = flows_.find(hash_of(key_of(caller_segment)));
  if (it == flows_.end())
    return;
  flow& f = it->second;
  if (s->flags.resets)
    return receive_reset(it, *s, from);
  if (s->flags.opens && !f.connected) {
    f.connected = true;
    counts_.long_opened += f.long_lived ? 1 : 0;
    f.target_index = from.ip - first_target_ip;
    f.header.token = s->token;
    f.header.acknowledged = s->sequence;
    send_request(boot_now(), &f);
  } else if (f.connected && from == targets_[f.target_index].address) {
    receive_response(
        it, *s,
        s->data_bytes != 0 && data[platform::header_bytes] == not_run_mark);
  }
}

void soak_traffic::receive_reset(flow_map::iterator it,
                                 const segment& s,
                                 endpoint from) {
  const flow& f = it->second;
  const bool by_target =
      f.connected && from == targets_[f.target_index].address;
  // A full target resets a copy of an opening that another one has accepted.
  // Its sequence number is outside the caller's window.
  if (f.connected && !by_target && s.sequence == 0 && is_target(from))
    return;
  if (!f.connected && !is_target(from))
    receive_refusal(f, from);
  if (f.connected && !by_target && targets_[f.target_index].alive)
    record_violation("open flow reset by " + to_text(from) + ": " +
                     describe(f));
  if (f.long_lived) {
    counts_.long_lost += f.connected ? 1 : 0;
    --open_long_flows_;
  } else {
    ++counts_.reset;
    counts_.reset_by_targets += !f.connected && is_target(from) ? 1 : 0;
  }
  flows_.erase(it);
}

bool soak_traffic::is_target(endpoint e) const {
  const size_t index = e.ip - first_target_ip;
  return index < targets_.size() && targets_[index].address == e;
}

void soak_traffic::receive_refusal(const flow& f, endpoint from) {
  ++counts_.refused;
  refused_.insert(hash_of(key_of(f.header)));
  const auto text = [&](const char* fault) {
    return fmt::format("{} by {}: {} after {} copies", fault, to_text(from),
                       to_text(f.header.source), f.retransmissions);
  };
  // Copies of an opening go to other balancers than the first one.
  if (f.retransmissions != 0 && !(from == f.first_balancer))
    record_violation(text("copy of an opening reset"));
  if (f.reached_target)
    record_violation(text("opening refused that had reached a target"));
}

void soak_traffic::receive_response(flow_map::iterator it,
                                    const segment& s,
                                    bool not_run) {
  flow& f = it->second;
  if (!f.pending || s.sequence != f.header.acknowledged || s.data_bytes == 0)
    return;
  const time_us now = boot_now();
  f.pending = false;
  f.header.token = s.token;
  f.header.sequence += request_bytes;
  f.header.acknowledged += static_cast<uint32_t>(s.data_bytes);
  counts_.late += now - f.request_sent > retransmit_interval ? 1 : 0;
  counts_.long_requests += f.long_lived ? 1 : 0;
  segment reply = f.header;
  reply.flags.acknowledges = true;
  reply.flags.finishes = s.flags.finishes;
  send(f, reply);
  if (!s.flags.finishes) {
    f.next_request = now + draw_pause();
    return;
  }
  if (f.long_lived)
    --open_long_flows_;
  else
    ++(not_run ? counts_.not_run : counts_.served);
  flows_.erase(it);
}

}  // namespace turmeric::tests
