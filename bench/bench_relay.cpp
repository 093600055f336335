/** @file bench_relay.cpp Relaying of opaque datagrams on loopback.
 *
 * The balancer's whole traffic thread against a bare receive-and-send loop, in
 * one run, with the same sender and the same receiver.
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
constexpr auto settle = std::chrono::milliseconds(300);
constexpr auto measured = std::chrono::seconds(2);
constexpr int rounds = 3;
constexpr int buffer_bytes = 4 << 20;

/** A plain UDP socket, closed at the end of its scope. */
class plain_socket {
 public:
  explicit plain_socket(uint16_t port) : fd_(socket(AF_INET, SOCK_DGRAM, 0)) {
    sockaddr_in a = address(port);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof(a)) != 0)
      std::abort();
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    timeval wait{0, 50000};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
  }
  ~plain_socket() { close(fd_); }
  plain_socket(const plain_socket&) = delete;
  plain_socket& operator=(const plain_socket&) = delete;

  static sockaddr_in address(uint16_t port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(port);
    a.sin_addr.s_addr = htonl(loopback);
    return a;
  }

  uint16_t port() const {
    sockaddr_in a{};
    socklen_t size = sizeof(a);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size);
    return ntohs(a.sin_port);
  }

  ssize_t receive(char* data, size_t size) const {
    return recv(fd_, data, size, 0);
  }

  void send(uint16_t to, const char* data, size_t size) const {
    const sockaddr_in a = address(to);
    sendto(fd_, data, size, 0, reinterpret_cast<const sockaddr*>(&a),
           sizeof(a));
  }

 private:
  int fd_;
};

/** Packets a second that arrive at @p sink while a sender floods @p entry. */
double flood(const plain_socket& sink,
             uint16_t entry,
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
    const plain_socket source(0);
    for (size_t i = 0; !stop; ++i) {
      const std::string& p = packets[i % packets.size()];
      source.send(entry, p.data(), p.size());
    }
  });
  std::this_thread::sleep_for(settle);
  const uint64_t before = received;
  std::this_thread::sleep_for(measured);
  const uint64_t count = received - before;
  stop = true;
  sender.join();
  receiver.join();
  return static_cast<double>(count) /
         std::chrono::duration<double>(measured).count();
}

double bare_rate(const std::vector<std::string>& packets) {
  const plain_socket sink(0);
  const plain_socket entry(0);
  std::atomic<bool> stop{false};
  std::thread loop([&] {
    char data[2048];
    while (!stop) {
      const ssize_t size = entry.receive(data, sizeof(data));
      if (size > 0)
        entry.send(sink.port(), data, static_cast<size_t>(size));
    }
  });
  const double rate = flood(sink, entry.port(), packets);
  stop = true;
  loop.join();
  return rate;
}

double balancer_rate(const std::vector<std::string>& packets,
                     const codec_context& context,
                     service_config service) {
  const plain_socket sink(0);
  uint16_t service_port = 0;
  member_record self;
  {
    const plain_socket first(0), second(0);
    service_port = first.port();
    self.peer = {loopback, second.port()};
  }
  for (auto& target : service.targets)
    target.address = {loopback, sink.port()};
  self.id = member_id{1};
  self.zone = service.targets.front().zone;
  settings s;
  if (!s.set("network", "service_port", std::to_string(service_port)) ||
      !s.set("traffic", "workers", "1"))
    std::abort();
  traffic_runner runner(s, context, self);
  if (!runner.start())
    std::abort();
  config_change c;
  c.number = 1;
  c.entries.push_back({"service/" + full_name(service), to_json(service), 0});
  config_state state;
  state.apply(c);
  index_builder builder;
  auto table = make_table(builder.build(state), 0, -1);
  table->self = self;
  table->members = {self};
  runner.publish(table);
  // A lone balancer decides only after a while; see flow_options.
  std::this_thread::sleep_for(std::chrono::milliseconds(3500));
  const double rate = flood(sink, service_port, packets);
  runner.stop();
  return rate;
}

int run() {
  const codec_context context =
      make_codec_context("bench", std::string(64, '1')).value();
  codec_context callers = context;
  callers.key.clear();
  const service_config service = make_service(1, 15, 1);
  std::vector<std::string> packets;
  for (uint64_t i = 0; i < 1000; ++i) {
    datagram m;
    m.service = service.id;
    m.flow = flow_id{i * 7919};
    m.opens = true;
    m.payload = std::string(200, 'x');
    packets.push_back(encode(callers, packet(std::move(m))));
  }
  double worst_ratio = 1e9, bare = 0, ours = 0;
  for (int i = 0; i < rounds; ++i) {
    const double b = bare_rate(packets);
    const double o = balancer_rate(packets, context, service);
    fmt::print(
        "round {}: bare loop {:.0f} packets/s, balancer {:.0f}, ratio "
        "{:.2f}\n",
        i + 1, b, o, o / b);
    if (o / b < worst_ratio) {
      worst_ratio = o / b;
      bare = b;
      ours = o;
    }
  }
  fmt::print(
      "{{\"bench\":\"relay\",\"bare_per_s\":{:.0f},\"balancer_per_s\":"
      "{:.0f},\"ratio\":{:.2f},\"target_ratio\":0.5}}\n",
      bare, ours, worst_ratio);
  return 0;
}

}  // namespace
}  // namespace turmeric::bench

int main() {
  return turmeric::bench::run();
}
