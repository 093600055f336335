/** @file soak_traffic.cpp The thread of targets and callers, their sockets and
 * packets. */
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "soak_site.h"
#include "soak_traffic_internal.h"
#include "turmeric/platform/segment_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/socket_address_func.h"

namespace turmeric::tests {
namespace {

constexpr uint16_t max_port_offset = 50;
constexpr int receive_buffer_bytes = 1 << 20;
constexpr size_t target_slots = 2;
constexpr size_t max_described_violations = 20;

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

}  // namespace

std::vector<uint8_t> encode_segment(const segment& s, uint8_t first_byte) {
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

soak_counts& soak_counts::operator+=(const soak_counts& more) {
  opened += more.opened;
  served += more.served;
  timed_out += more.timed_out;
  reset += more.reset;
  not_run += more.not_run;
  reset_by_targets += more.reset_by_targets;
  refused += more.refused;
  long_opened += more.long_opened;
  long_requests += more.long_requests;
  long_lost += more.long_lost;
  late += more.late;
  violations += more.violations;
  violation_texts.insert(violation_texts.end(), more.violation_texts.begin(),
                         more.violation_texts.end());
  return *this;
}

soak_traffic::soak_traffic(size_t targets, const soak_load& load, uint64_t seed)
    : load_(load),
      random_(seed),
      long_random_(seed + 3000017),
      loss_random_(seed + 5000011) {
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

void soak_traffic::set_load_phase(bool active) {
  const std::lock_guard<std::mutex> lock(mutex_);
  load_phase_ = active;
  next_load_open_ = 0;
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
    // Timers get the time before packets are read. Else the copy of an opening
    // might be sent although its refusal has arrived while this thread waited.
    const time_us now = boot_now();
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
    process_timers(now);
  }
}

}  // namespace turmeric::tests
