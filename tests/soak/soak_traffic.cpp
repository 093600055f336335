/** @file soak_traffic.cpp Targets and callers on one thread. */
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "soak_site.h"
#include "turmeric/platform/segment_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/socket_address_func.h"

namespace turmeric::tests {
namespace {

constexpr uint32_t first_caller_ip = 0x7f0a0201;  // 127.10.2.1 and on
constexpr uint32_t first_target_ip = 0x7f0a0101;  // 127.10.1.1 and on
constexpr size_t caller_count = 16;
constexpr uint16_t max_port_offset = 50;
constexpr endpoint route_address{0xc6120001, 443};
constexpr int receive_buffer_bytes = 1 << 20;
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
constexpr size_t target_slots = 2;
/** Longer queues take no requests. */
constexpr time_us max_queue_time = us_per_s;
constexpr time_us max_service_time = us_per_s;
constexpr size_t request_bytes = 64;
constexpr size_t response_bytes = 256;
/** First byte of the data of a flow's last request. */
constexpr uint8_t closing_mark = 1;
/** Openings may reach a target for this long after it began to drain. */
constexpr time_us drain_grace = 3 * us_per_s;
/** That bound holds once no fault has been active for this long, since
 * balancers need this time to be in touch with the registry and each other
 * again. */
constexpr time_us recovery_time = 4 * us_per_s;
/** Number of the first target. A target's number is in its name, in hex, and in
 * the prefix of the packets that balancers send to it. */
constexpr uint64_t first_target_number = 0xa0;
constexpr size_t max_described_violations = 20;
/** Requests of long flows for each injected fault. */
constexpr uint64_t plant_interval = 100;

/** @return An invalid descriptor if the address is in use. */
file_descriptor bind_udp(endpoint e) {
  file_descriptor fd(
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
             sizeof(receive_buffer_bytes));
  const sockaddr_in address = to_sockaddr(e);
  if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0)
    return {};
  return fd;
}

[[noreturn]] void exit_without_port(const std::string& what) {
  fmt::print(stderr, "soak: cannot bind UDP sockets on loopback for {}\n",
             what);
  std::exit(3);
}

void put_16(uint8_t* p, uint16_t v) {
  p[0] = static_cast<uint8_t>(v >> 8);
  p[1] = static_cast<uint8_t>(v);
}

void put_32(uint8_t* p, uint32_t v) {
  put_16(p, static_cast<uint16_t>(v >> 16));
  put_16(p + 2, static_cast<uint16_t>(v));
}

/** @return @p s as a packet; its data are zeros after @p first_byte. The keyed
 * checksum is left out, as it is not checked on loopback. */
std::vector<uint8_t> encode_segment(const segment& s, uint8_t first_byte = 0) {
  std::vector<uint8_t> out(platform::header_bytes + s.data_bytes);
  put_32(&out[0], 1);  // 0 would mark a reset made by a balancer.
  out[4] = static_cast<uint8_t>(
      (s.flags.opens ? 128 : 0) | (s.flags.acknowledges ? 2 : 0) |
      (s.flags.finishes ? 4 : 0) | (s.flags.resets ? 8 : 0));
  put_16(&out[6], static_cast<uint16_t>(s.data_bytes));
  put_16(&out[8], s.source.port);
  put_16(&out[10], s.destination.port);
  put_32(&out[12], s.destination.ip);
  put_32(&out[16], s.source.ip);
  put_32(&out[20], s.sequence);
  put_32(&out[24], s.acknowledged);
  put_32(&out[28], s.token);
  if (s.data_bytes != 0)
    out[platform::header_bytes] = first_byte;
  return out;
}

}  // namespace

soak_traffic::soak_traffic(size_t targets, const soak_load& load, uint64_t seed)
    : load_(load), random_(seed), long_random_(seed + 3000017) {
  while (!bind_callers(port_offset_)) {
    if (++port_offset_ == max_port_offset)
      exit_without_port("callers");
  }
  for (size_t i = 0; i < targets; ++i) {
    target t;
    t.address = {first_target_ip + static_cast<uint32_t>(i),
                 static_cast<uint16_t>(first_target_port + port_offset_)};
    t.socket = bind_udp(t.address);
    if (!t.socket.valid())
      exit_without_port("target " + name_of(i));
    t.slots.resize(target_slots);
    targets_.push_back(std::move(t));
  }
  thread_ = std::thread([this] { run(); });
}

soak_traffic::~soak_traffic() {
  stopping_ = true;
  thread_.join();
}

bool soak_traffic::bind_callers(uint16_t port_offset) {
  caller_sockets_.clear();
  for (size_t i = 0; i < caller_count; ++i) {
    caller_sockets_.push_back(
        bind_udp({first_caller_ip + static_cast<uint32_t>(i),
                  static_cast<uint16_t>(first_packet_port + port_offset)}));
    if (!caller_sockets_.back().valid())
      return false;
  }
  return true;
}

std::string soak_traffic::name_of(size_t target) const {
  return fmt::format("t-{:x}", first_target_number + target);
}

void soak_traffic::set_balancers(std::vector<endpoint> in_rotation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  balancers_ = std::move(in_rotation);
}

void soak_traffic::on_balancer_exit(endpoint balancer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [key, f] : flows_) {
    if (f.balancer == balancer)
      f.balancer = {};
  }
}

void soak_traffic::set_alive(size_t index, bool alive) {
  const std::lock_guard<std::mutex> lock(mutex_);
  target& t = targets_[index];
  t.alive = alive;
  t.silent_until = boot_now();
  if (!alive) {
    t.flows.clear();
    std::fill(t.slots.begin(), t.slots.end(), 0);
  }
}

void soak_traffic::set_draining(size_t index, time_us since) {
  const std::lock_guard<std::mutex> lock(mutex_);
  targets_[index].draining_since = since;
}

void soak_traffic::set_undisturbed_since(time_us since) {
  const std::lock_guard<std::mutex> lock(mutex_);
  undisturbed_since_ = since;
}

soak_counts soak_traffic::take_counts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(counts_, {});
}

void soak_traffic::record_violation(const std::string& what) {
  ++counts_.violations;
  if (violations_described_ == max_described_violations)
    return;
  ++violations_described_;
  counts_.violation_texts.push_back(what);
}

std::string soak_traffic::describe(const flow& f) const {
  const target& t = targets_[f.target_index];
  const time_us now = boot_now();
  const auto seconds = [](time_us t) {
    return static_cast<double>(t) / us_per_s;
  };
  return fmt::format(
      "{} flow {} open at {} for {:.3f} s, target not silent for {}",
      f.long_lived ? "long" : "short", to_text(f.header.source),
      name_of(f.target_index), seconds(now - f.opened_at),
      t.silent_until == 0
          ? "the whole run"
          : fmt::format("{:.3f} s", seconds(now - t.silent_until)));
}

void soak_traffic::run() {
  std::vector<pollfd> polled;
  for (const auto& caller : caller_sockets_)
    polled.push_back({caller.get(), POLLIN, 0});
  for (const auto& t : targets_)
    polled.push_back({t.socket.get(), POLLIN, 0});
  std::array<uint8_t, 2048> buffer{};
  while (!stopping_) {
    poll(polled.data(), polled.size(), 1);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (size_t i = 0; i < polled.size(); ++i) {
      if ((polled[i].revents & POLLIN) == 0)
        continue;
      sockaddr_in from{};
      socklen_t size = sizeof(from);
      ssize_t received_bytes = 0;
      while ((received_bytes =
                  recvfrom(polled[i].fd, buffer.data(), buffer.size(), 0,
                           reinterpret_cast<sockaddr*>(&from), &size)) >= 0) {
        const endpoint sender{ntohl(from.sin_addr.s_addr),
                              ntohs(from.sin_port)};
        if (i < caller_count)
          receive_at_caller(buffer.data(), static_cast<size_t>(received_bytes),
                            sender);
        else
          receive_at_target(i - caller_count, buffer.data(),
                            static_cast<size_t>(received_bytes));
      }
    }
    process_timers(boot_now());
  }
}

time_us soak_traffic::draw_pause() {
  std::uniform_int_distribution<time_us> usual(20 * us_per_ms, 400 * us_per_ms);
  std::uniform_int_distribution<time_us> longer(500 * us_per_ms, 3 * us_per_s);
  return long_random_() % 5 == 0 ? longer(long_random_) : usual(long_random_);
}

time_us soak_traffic::draw_service_time() {
  if (load_.service_time == 0)
    return 0;
  std::exponential_distribution<double> time(
      1 / static_cast<double>(load_.service_time));
  return std::min(static_cast<time_us>(time(long_random_)), max_service_time);
}

void soak_traffic::process_timers(time_us now) {
  finish_requests(now);
  for (int i = 0; now >= next_open_; ++i) {
    next_open_ = i < max_openings_per_pass && next_open_ != 0
                     ? next_open_ + load_.open_interval
                     : now + load_.open_interval;
    open_flow(now, false);
  }
  if (now >= next_long_open_ && open_long_flows_ < load_.long_flows) {
    next_long_open_ = now + long_open_interval;
    open_flow(now, true);
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

bool soak_traffic::process_flow(time_us now, flow* f) {
  const time_us age = now - f->opened_at;
  if (!f->long_lived && age >= flow_timeout) {
    ++counts_.timed_out;
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

void soak_traffic::open_flow(time_us now, bool long_lived) {
  if (balancers_.empty())
    return;
  flow f;
  uint64_t key = 0;
  do {
    next_port_ = next_port_ == 65535 ? 1024 : next_port_ + 1;
    f.header.source = {
        first_caller_ip + static_cast<uint32_t>(next_port_ % caller_count),
        next_port_};
    f.header.destination = route_address;
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
  flows_[key] = f;
  send(f, s);
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
  if (load_.plant == soak_plant::none || !f->long_lived ||
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
  segment reset;
  reset.source = f->header.destination;
  reset.destination = f->header.source;
  reset.sequence = f->header.acknowledged;
  reset.flags.resets = true;
  const auto packet = encode_segment(reset);
  const uint32_t caller_ip = f->header.source.ip;
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

void soak_traffic::send(const flow& f, const segment& s) {
  if (balancers_.empty())
    return;
  const endpoint to = f.balancer.port != 0
                          ? f.balancer
                          : balancers_[hash_of(key_of(s)) % balancers_.size()];
  const auto packet =
      encode_segment(s, f.requests_left == 0 ? closing_mark : 0);
  const sockaddr_in address = to_sockaddr(to);
  sendto(caller_sockets_[s.source.ip - first_caller_ip].get(), packet.data(),
         packet.size(), 0, reinterpret_cast<const sockaddr*>(&address),
         sizeof(address));
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
  target_flow opened;
  opened.sequence = static_cast<uint32_t>(random_() | 1);
  opened.expected = s.sequence;
  segment reply;
  reply.flags.opens = reply.flags.acknowledges = true;
  reply.sequence = t.flows.try_emplace(key, opened).first->second.sequence;
  send_from_target(index, s, reply);
}

void soak_traffic::receive_request(size_t index,
                                   uint64_t key,
                                   const segment& s,
                                   bool last) {
  target& t = targets_[index];
  target_flow& f = t.flows[key];
  if (f.busy)
    return;
  if (s.sequence + request_bytes == f.expected)
    return send_response(index, f);  // The last response was lost.
  if (s.sequence != f.expected)
    return;
  const time_us now = boot_now();
  const auto slot = std::min_element(t.slots.begin(), t.slots.end());
  const time_us start = std::max(now, *slot);
  if (start - now > max_queue_time)
    return;
  *slot = start + draw_service_time();
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
  send_from_target(index, f.last_request, reply);
}

void soak_traffic::send_from_target(size_t index,
                                    const segment& request,
                                    segment reply) {
  reply.source = request.destination;
  reply.destination = request.source;
  reply.token = request.token;
  const auto packet = encode_segment(reply);
  const sockaddr_in to =
      to_sockaddr({request.source.ip,
                   static_cast<uint16_t>(first_packet_port + port_offset_)});
  sendto(targets_[index].socket.get(), packet.data(), packet.size(), 0,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
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
    return receive_reset(it, from);
  if (s->flags.opens && !f.connected) {
    f.connected = true;
    counts_.long_opened += f.long_lived ? 1 : 0;
    f.target_index = from.ip - first_target_ip;
    f.header.token = s->token;
    f.header.acknowledged = s->sequence;
    send_request(boot_now(), &f);
  } else if (f.connected && from == targets_[f.target_index].address) {
    receive_response(it, *s);
  }
}

void soak_traffic::receive_reset(flow_map::iterator it, endpoint from) {
  const flow& f = it->second;
  const bool by_target =
      f.connected && from == targets_[f.target_index].address;
  if (f.connected && !by_target && targets_[f.target_index].alive)
    record_violation("open flow reset by " + to_text(from) + ": " +
                     describe(f));
  if (f.long_lived) {
    counts_.long_lost += f.connected ? 1 : 0;
    --open_long_flows_;
  } else {
    ++counts_.reset;
  }
  flows_.erase(it);
}

void soak_traffic::receive_response(flow_map::iterator it, const segment& s) {
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
    ++counts_.served;
  flows_.erase(it);
}

}  // namespace turmeric::tests
