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
constexpr endpoint route{0xc6120001, 443};
constexpr time_us open_interval = 5 * us_per_ms;
constexpr time_us copy_time = 200 * us_per_ms;
constexpr time_us deadline = us_per_s;
constexpr int most_copies = 3;
constexpr time_us drain_bound = 3 * us_per_s;
/** The platform's bounds hold once calm has lasted this long. */
constexpr time_us touch_time = 4 * us_per_s;
/** Start of a target's name; hex digits name it in front of segments. */
constexpr uint64_t first_number = 0xa0;

file_descriptor bind_udp(endpoint e) {
  file_descriptor fd(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0));
  const sockaddr_in address = to_sockaddr(e);
  if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    fmt::print(stderr, "soak: UDP port {} is taken\n", e.port);
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

/** The header's bytes; the keyed sum is not checked on loopback. */
std::array<uint8_t, platform::header_bytes> packet_of(const segment& s) {
  std::array<uint8_t, platform::header_bytes> out{};
  put_32(&out[0], 1);  // Not 0, which marks a balancer's own resets.
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
    : random_(seed), port_(port), caller_(bind_udp({caller_ip, port})) {
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
  return fmt::format("t-{:x}", first_number + target);
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
  targets_[index].draining = since;
}

void soak_traffic::set_calm_since(time_us since) {
  const std::lock_guard<std::mutex> lock(mutex_);
  calm_since_ = since;
}

soak_counts soak_traffic::take_counts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(counts_, {});
}

void soak_traffic::violate(const std::string& what) {
  counts_.violations.push_back(what);
}

void soak_traffic::run() {
  std::vector<pollfd> waiting = {{caller_.get(), POLLIN, 0}};
  for (const auto& t : targets_)
    waiting.push_back({t.socket.get(), POLLIN, 0});
  std::array<uint8_t, 2048> buffer{};
  while (!stopping_) {
    poll(waiting.data(), waiting.size(), 1);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (size_t i = 0; i < waiting.size(); ++i) {
      if ((waiting[i].revents & POLLIN) == 0)
        continue;
      sockaddr_in from{};
      socklen_t size = sizeof(from);
      ssize_t got = 0;
      while ((got = recvfrom(waiting[i].fd, buffer.data(), buffer.size(), 0,
                             reinterpret_cast<sockaddr*>(&from), &size)) >= 0) {
        const endpoint sender{ntohl(from.sin_addr.s_addr),
                              ntohs(from.sin_port)};
        if (i == 0)
          at_caller(buffer.data(), static_cast<size_t>(got), sender);
        else
          at_target(i - 1, buffer.data(), static_cast<size_t>(got));
      }
    }
    step(boot_now());
  }
}

void soak_traffic::step(time_us now) {
  if (now >= next_open_) {
    next_open_ = now + open_interval;
    open_flow(now);
  }
  for (auto it = flows_.begin(); it != flows_.end();) {
    flow& f = it->second;
    if (now - f.started >= deadline) {
      ++counts_.failed;
      it = flows_.erase(it);
      continue;
    }
    if (now - f.sent >= copy_time && f.copies < most_copies) {
      ++f.copies;
      f.sent = now;
      segment s = f.head;
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
  f.head.source = {caller_ip, next_port_};
  f.head.destination = route;
  f.started = f.sent = now;
  ++counts_.asked;
  segment s = f.head;
  s.flags.opens = true;
  flows_[hash_of(key_of(s))] = f;
  send(s);
}

void soak_traffic::send(const segment& s) {
  if (balancers_.empty())
    return;
  const endpoint to = balancers_[hash_of(key_of(s)) % balancers_.size()];
  const auto packet = packet_of(s);
  const sockaddr_in address = to_sockaddr(to);
  sendto(caller_.get(), packet.data(), packet.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void soak_traffic::at_target(size_t index, const uint8_t* data, size_t size) {
  target& t = targets_[index];
  if (!t.alive || size < platform::target_prefix_bytes)
    return;
  uint64_t number = 0;
  for (size_t i = 0; i < platform::target_prefix_bytes; ++i)
    number = number << 8 | data[i];
  if (number != first_number + index)
    return;
  const auto s = platform::read_segment(data + platform::target_prefix_bytes,
                                        size - platform::target_prefix_bytes);
  if (!s.has_value())
    return violate("unreadable segment at a target");
  const uint64_t key = hash_of(key_of(*s));
  segment reply;
  reply.source = s->destination;
  reply.destination = s->source;
  reply.token = s->token;
  reply.flags.acknowledges = true;
  const auto f = flows_.find(key);
  if (s->flags.opens) {
    const time_us now = boot_now();
    if (t.draining != 0 && now - t.draining > drain_bound &&
        now - calm_since_ > touch_time)
      violate("opening at draining " + name_of(index));
    reply.flags.opens = true;
    reply.sequence =
        t.flows.try_emplace(key, static_cast<uint32_t>(random_() | 1))
            .first->second;
  } else if (t.flows.count(key) == 0) {
    if (f != flows_.end() && f->second.connected && f->second.at != index &&
        targets_[f->second.at].alive)
      violate("segment of a flow at " + name_of(f->second.at) + " reached " +
              name_of(index));
    return;
  } else {
    reply.flags.finishes = true;
    reply.sequence = t.flows[key];
  }
  const auto packet = packet_of(reply);
  const sockaddr_in to = to_sockaddr({caller_ip, port_});
  sendto(t.socket.get(), packet.data(), packet.size(), 0,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void soak_traffic::at_caller(const uint8_t* data, size_t size, endpoint from) {
  const auto s = platform::read_segment(data, size);
  if (!s.has_value())
    return violate("unreadable segment at a caller");
  segment own;
  own.source = s->destination;
  own.destination = s->source;
  const auto it = flows_.find(hash_of(key_of(own)));
  if (it == flows_.end())
    return;
  flow& f = it->second;
  if (s->flags.resets) {
    ++counts_.refused;
    if (f.connected && targets_[f.at].alive)
      violate("reset of an open flow");
    flows_.erase(it);
    return;
  }
  if (s->flags.opens && !f.connected) {
    f.connected = true;
    f.at = from.ip - target_ip;
    f.copies = 0;
    f.sent = boot_now();
    f.head.token = s->token;
    f.head.acknowledged = s->sequence;
    segment request = f.head;
    request.flags.acknowledges = true;
    send(request);
  } else if (s->flags.finishes) {
    ++counts_.served;
    segment last = f.head;
    last.flags.acknowledges = last.flags.finishes = true;
    send(last);
    flows_.erase(it);
  }
}

}  // namespace turmeric::tests
