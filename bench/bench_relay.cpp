/** @file bench_relay.cpp Rate of relaying opaque datagrams on loopback.
 *
 * Compares the complete traffic thread of a balancer with a bare loop that
 * receives and sends, in one run, with the same sender and receiver.
 */
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

#include "bench_common.h"
#include "turmeric/transport/traffic_runner_base.h"

namespace turmeric::bench {
namespace {

constexpr uint32_t loopback = 0x7f000001;
constexpr auto warm_up = std::chrono::milliseconds(300);
constexpr auto measuring_time = std::chrono::seconds(2);
constexpr int rounds = 3;
constexpr int buffer_bytes = 4 << 20;

/** A UDP socket on loopback with a receive timeout of 50 ms, closed at the end
 * of its scope. Port 0 takes any free port. */
class udp_socket {
 public:
  explicit udp_socket(uint16_t port) : fd_(socket(AF_INET, SOCK_DGRAM, 0)) {
    sockaddr_in socket_address = address(port);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&socket_address),
             sizeof(socket_address)) != 0)
      std::abort();
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    timeval receive_timeout{0, 50000};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
               sizeof(receive_timeout));
  }
  ~udp_socket() { close(fd_); }
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;

  static sockaddr_in address(uint16_t port) {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_port = htons(port);
    socket_address.sin_addr.s_addr = htonl(loopback);
    return socket_address;
  }

  uint16_t port() const {
    sockaddr_in socket_address{};
    socklen_t length = sizeof(socket_address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&socket_address), &length);
    return ntohs(socket_address.sin_port);
  }

  ssize_t receive(char* data, size_t size) const {
    return recv(fd_, data, size, 0);
  }

  void send(uint16_t to, const char* data, size_t size) const {
    const sockaddr_in socket_address = address(to);
    sendto(fd_, data, size, 0,
           reinterpret_cast<const sockaddr*>(&socket_address),
           sizeof(socket_address));
  }

 private:
  int fd_;
};

/** @return Packets a second that reach @p sink while a sender floods
 * port @p ingress_port. */
double measure_rate(const udp_socket& sink,
                    uint16_t ingress_port,
                    const std::vector<std::string>& packets) {
  std::atomic<bool> stop{false};
  std::atomic<uint64_t> received{0};
  std::thread receiver([&] {
    char data[2048];
    while (!stop) {
      if (sink.receive(data, sizeof(data)) > 0)
        ++received;
    }
  });
  std::thread sender([&] {
    const udp_socket source(0);
    for (size_t i = 0; !stop; ++i) {
      const std::string& packet_bytes = packets[i % packets.size()];
      source.send(ingress_port, packet_bytes.data(), packet_bytes.size());
    }
  });
  std::this_thread::sleep_for(warm_up);
  const uint64_t before = received;
  std::this_thread::sleep_for(measuring_time);
  const uint64_t packet_count = received - before;
  stop = true;
  sender.join();
  receiver.join();
  return static_cast<double>(packet_count) /
         std::chrono::duration<double>(measuring_time).count();
}

double bare_rate(const std::vector<std::string>& packets) {
  const udp_socket sink(0);
  const udp_socket ingress(0);
  std::atomic<bool> stop{false};
  std::thread relay_loop([&] {
    char data[2048];
    while (!stop) {
      const ssize_t size = ingress.receive(data, sizeof(data));
      if (size > 0)
        ingress.send(sink.port(), data, static_cast<size_t>(size));
    }
  });
  const double rate = measure_rate(sink, ingress.port(), packets);
  stop = true;
  relay_loop.join();
  return rate;
}

double balancer_rate(const std::vector<std::string>& packets,
                     const codec_context& context,
                     service_config service) {
  const udp_socket sink(0);
  uint16_t service_port = 0;
  member_record self;
  {
    const udp_socket service_socket(0), peer_socket(0);
    service_port = service_socket.port();
    self.peer = {loopback, peer_socket.port()};
  }
  for (auto& target : service.targets)
    target.address = {loopback, sink.port()};
  self.id = member_id{1};
  self.zone = service.targets.front().zone;
  settings options;
  if (!options.set("network", "service_port", std::to_string(service_port)) ||
      !options.set("traffic", "workers", "1"))
    std::abort();
  traffic_runner runner(options, context, self);
  if (!runner.start())
    std::abort();
  config_change change;
  change.number = 1;
  change.entries.push_back(
      {"service/" + full_name(service), to_json(service), 0});
  config_state state;
  state.apply(change);
  index_builder builder;
  auto table = make_route_table(builder.build(state), 0, -1);
  table->self = self;
  table->members = {self};
  runner.publish(table);
  // A balancer without peers decides only after flow_options::no_peer_timeout,
  // which is 3 s.
  std::this_thread::sleep_for(std::chrono::milliseconds(3500));
  const double rate = measure_rate(sink, service_port, packets);
  runner.stop();
  return rate;
}

int run() {
  const codec_context context =
      make_codec_context("bench", std::string(64, '1')).value();
  codec_context caller_context = context;
  caller_context.key.clear();
  const service_config service = make_service(1, 15, 1);
  std::vector<std::string> packets;
  for (uint64_t i = 0; i < 1000; ++i) {
    datagram opening;
    opening.service = service.id;
    opening.flow = flow_id{i * 7919};
    opening.opens = true;
    opening.payload = std::string(200, 'x');
    packets.push_back(encode(caller_context, packet(std::move(opening))));
  }
  double min_ratio = 1e9, worst_bare = 0, worst_balancer = 0;
  for (int i = 0; i < rounds; ++i) {
    const double bare = bare_rate(packets);
    const double balancer = balancer_rate(packets, context, service);
    fmt::print(
        "round {}: bare loop {:.0f} packets/s, balancer {:.0f}, ratio "
        "{:.2f}\n",
        i + 1, bare, balancer, balancer / bare);
    if (balancer / bare < min_ratio) {
      min_ratio = balancer / bare;
      worst_bare = bare;
      worst_balancer = balancer;
    }
  }
  fmt::print(
      "{{\"bench\":\"relay\",\"bare_per_s\":{:.0f},\"balancer_per_s\":"
      "{:.0f},\"ratio\":{:.2f},\"target_ratio\":0.5}}\n",
      worst_bare, worst_balancer, min_ratio);
  return 0;
}

}  // namespace
}  // namespace turmeric::bench

int main() {
  return turmeric::bench::run();
}
