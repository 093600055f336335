/** @file soak_traffic.cpp Targets and callers on one thread. */
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cstdlib>

#include "soak_site.h"
#include "turmeric/platform/segment_func.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/socket_address_func.h"

namespace turmeric::tests {
namespace {

constexpr uint32_t caller_ip = 0x7f0a0201;  // 127.10.2.1
constexpr uint32_t target_ip = 0x7f0a0101;  // 127.10.1.1 and on
constexpr uint16_t target_port = 18080;
constexpr endpoint route_address{0xc6120001, 443};
constexpr time_us open_interval = 5 * us_per_ms;
constexpr time_us retransmit_interval = 200 * us_per_ms;
constexpr time_us flow_timeout = us_per_s;
constexpr int max_retransmissions = 3;
/** Openings may reach a target for this long after it began to drain. */
constexpr time_us drain_grace = 3 * us_per_s;
/** That bound holds once no fault has been active for this long, since
 * balancers need this time to be in touch with the registry and each other
 * again. */
constexpr time_us recovery_time = 4 * us_per_s;
/** Number of the first target. A target's number is in its name, in hex, and in
 * the prefix of the packets that balancers send to it. */
constexpr uint64_t first_target_number = 0xa0;

file_descriptor bind_udp(endpoint e) {
  file_descriptor fd(
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in address = to_sockaddr(e);
  if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    fmt::print(stderr, "soak: cannot bind a UDP socket to loopback port {}\n",
               e.port);
    std::exit(3);
  }
  return fd;
}

void put_16(uint8_t* p, uint16_t v) {
  p[0] = static_cast<uint8_t>(v >> 8);
  p[1] = static_cast<uint8_t>(v);
}

void put_32(uint8_t* p, uint32_t v) {
  put_16(p, static_cast<uint16_t>(v >> 16));
  put_16(p + 2, static_cast<uint16_t>(v));
}

/** @return The header of @p s in bytes. The keyed checksum is left out, as it
 * is not checked on loopback. */
std::array<uint8_t, platform::header_bytes> encode_segment(const segment& s) {
  std::array<uint8_t, platform::header_bytes> out{};
  put_32(&out[0], 1);  // 0 would mark a reset made by a balancer.
  out[4] = static_cast<uint8_t>(
      (s.flags.opens ? 128 : 0) | (s.flags.acknowledges ? 2 : 0) |
      (s.flags.finishes ? 4 : 0) | (s.flags.resets ? 8 : 0));
  put_16(&out[8], s.source.port);
  put_16(&out[10], s.destination.port);
  put_32(&out[12], s.destination.ip);
  put_32(&out[16], s.source.ip);
  put_32(&out[20], s.sequence);
  put_32(&out[24], s.acknowledged);
  put_32(&out[28], s.token);
  return out;
}

}  // namespace

soak_traffic::soak_traffic(uint16_t port, size_t targets, uint64_t seed)
    : random_(seed), port_(port), caller_socket_(bind_udp({caller_ip, port})) {
  for (size_t i = 0; i < targets; ++i) {
    target t;
    t.address = {target_ip + static_cast<uint32_t>(i), target_port};
    t.socket = bind_udp(t.address);
    targets_.push_back(std::move(t));
  }
  thread_ = std::thread([this] { run(); });
}

soak_traffic::~soak_traffic() {
  stopping_ = true;
  thread_.join();
}

std::string soak_traffic::name_of(size_t target) const {
  return fmt::format("t-{:x}", first_target_number + target);
}

void soak_traffic::set_balancers(std::vector<endpoint> in_rotation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  balancers_ = std::move(in_rotation);
}

void soak_traffic::set_alive(size_t index, bool alive) {
  const std::lock_guard<std::mutex> lock(mutex_);
  targets_[index].alive = alive;
  if (!alive)
    targets_[index].flows.clear();
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
  counts_.violations.push_back(what);
}

void soak_traffic::run() {
  std::vector<pollfd> polled = {{caller_socket_.get(), POLLIN, 0}};
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
        if (i == 0)
          receive_at_caller(buffer.data(), static_cast<size_t>(received_bytes),
                            sender);
        else
          receive_at_target(i - 1, buffer.data(),
                            static_cast<size_t>(received_bytes));
      }
    }
    process_timers(boot_now());
  }
}

void soak_traffic::process_timers(time_us now) {
  if (now >= next_open_) {
    next_open_ = now + open_interval;
    open_flow(now);
  }
  for (auto it = flows_.begin(); it != flows_.end();) {
    flow& f = it->second;
    if (now - f.opened_at >= flow_timeout) {
      ++counts_.timed_out;
      it = flows_.erase(it);
      continue;
    }
    if (now - f.last_sent >= retransmit_interval &&
        f.retransmissions < max_retransmissions) {
      ++f.retransmissions;
      f.last_sent = now;
      segment s = f.header;
      s.flags.opens = !f.connected;
      s.flags.acknowledges = f.connected;
      send(s);
    }
    ++it;
  }
}

void soak_traffic::open_flow(time_us now) {
  if (balancers_.empty())
    return;
  flow f;
  next_port_ = next_port_ == 65535 ? 1024 : next_port_ + 1;
  f.header.source = {caller_ip, next_port_};
  f.header.destination = route_address;
  f.opened_at = f.last_sent = now;
  ++counts_.opened;
  segment s = f.header;
  s.flags.opens = true;
  flows_[hash_of(key_of(s))] = f;
  send(s);
}

void soak_traffic::send(const segment& s) {
  if (balancers_.empty())
    return;
  const endpoint to = balancers_[hash_of(key_of(s)) % balancers_.size()];
  const auto packet = encode_segment(s);
  const sockaddr_in address = to_sockaddr(to);
  sendto(caller_socket_.get(), packet.data(), packet.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
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
  const auto s = platform::read_segment(data + platform::target_prefix_bytes,
                                        size - platform::target_prefix_bytes);
  if (!s.has_value())
    return record_violation("unreadable segment received by a target");
  const uint64_t key = hash_of(key_of(*s));
  segment reply;
  reply.source = s->destination;
  reply.destination = s->source;
  reply.token = s->token;
  reply.flags.acknowledges = true;
  const auto f = flows_.find(key);
  if (s->flags.opens) {
    const time_us now = boot_now();
    if (t.draining_since != 0 && now - t.draining_since > drain_grace &&
        now - undisturbed_since_ > recovery_time)
      record_violation("opening past the drain bound at target " +
                       name_of(index));
    reply.flags.opens = true;
    reply.sequence =
        t.flows.try_emplace(key, static_cast<uint32_t>(random_() | 1))
            .first->second;
  } else if (t.flows.count(key) == 0) {
    if (f != flows_.end() && f->second.connected &&
        f->second.target_index != index &&
        targets_[f->second.target_index].alive)
      record_violation("segment of a flow that is open at target " +
                       name_of(f->second.target_index) + " reached " +
                       name_of(index));
    return;
  } else {
    reply.flags.finishes = true;
    reply.sequence = t.flows[key];
  }
  const auto packet = encode_segment(reply);
  const sockaddr_in to = to_sockaddr({caller_ip, port_});
  sendto(t.socket.get(), packet.data(), packet.size(), 0,
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
  if (s->flags.resets) {
    ++counts_.reset;
    if (f.connected && targets_[f.target_index].alive)
      record_violation("reset of an open flow whose target replies");
    flows_.erase(it);
    return;
  }
  if (s->flags.opens && !f.connected) {
    f.connected = true;
    f.target_index = from.ip - target_ip;
    f.retransmissions = 0;
    f.last_sent = boot_now();
    f.header.token = s->token;
    f.header.acknowledged = s->sequence;
    segment request = f.header;
    request.flags.acknowledges = true;
    send(request);
  } else if (s->flags.finishes) {
    ++counts_.served;
    segment final_segment = f.header;
    final_segment.flags.acknowledges = final_segment.flags.finishes = true;
    send(final_segment);
    flows_.erase(it);
  }
}

}  // namespace turmeric::tests
