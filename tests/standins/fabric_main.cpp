/** @file fabric_main.cpp The packet fabric as a process.
 *
 * Sends every packet of a caller to a random balancer. Each caller address has
 * its own socket, whose replies go back to it. Packets are lost and duplicated
 * at random in both directions.
 */
#include <asio.hpp>
#include <map>
#include <memory>
#include <random>
#include <thread>

#include "options.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/udp_base.h"

namespace turmeric::tests {
namespace {

struct fabric_options {
  endpoint listen;  ///< UDP address for the packets of callers.
  std::vector<endpoint> balancers;
  uint64_t seed = 1;
  uint64_t loss_percent = 0;
  uint64_t duplicate_percent = 0;  ///< Of the packets that are not lost.
};

class fabric {
 public:
  fabric(asio::io_context& loop, fabric_options options)
      : loop_(loop),
        options_(std::move(options)),
        random_(options_.seed),
        listen_socket_(loop) {}

  /** @return Whether the listening address could be bound. */
  bool start() {
    if (!listen_socket_.bind(options_.listen))
      return false;
    listen_socket_.start([this](endpoint from, const char* data, size_t size) {
      forward_to_balancer(from, std::string(data, size));
    });
    return true;
  }

 private:
  /** @return Copies to send: 0 for a lost packet, 2 for a duplicate, else 1. */
  int draw_copies() {
    if (random_() % 100 < options_.loss_percent)
      return 0;
    return random_() % 100 < options_.duplicate_percent ? 2 : 1;
  }

  /** @return Its socket to the balancers; null if it cannot be bound. */
  udp_socket* socket_of(endpoint caller) {
    auto& caller_socket = caller_sockets_[caller];
    if (caller_socket)
      return caller_socket.get();
    caller_socket = std::make_unique<udp_socket>(loop_);
    if (!caller_socket->bind({options_.listen.ip, 0}))
      return nullptr;
    caller_socket->start(
        [this, caller](endpoint, const char* data, size_t size) {
          for (int i = draw_copies(); i > 0; --i)
            listen_socket_.send(caller, std::string(data, size));
        });
    return caller_socket.get();
  }

  void forward_to_balancer(endpoint caller, const std::string& data) {
    udp_socket* caller_socket = socket_of(caller);
    for (int i = draw_copies(); i > 0 && caller_socket != nullptr; --i) {
      const size_t balancer_index = random_() % options_.balancers.size();
      caller_socket->send(options_.balancers[balancer_index], data);
    }
  }

  asio::io_context& loop_;
  fabric_options options_;
  std::mt19937_64 random_;
  udp_socket listen_socket_;
  std::map<endpoint, std::unique_ptr<udp_socket>> caller_sockets_;
};

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  using namespace turmeric::tests;
  const option_map options(argc, argv);
  install_stop_handlers();
  fabric_options settings;
  settings.listen = options.address("listen");
  for (const auto& text : split(options.text("balancers")))
    settings.balancers.push_back(turmeric::parse_endpoint(text).value());
  settings.seed = static_cast<uint64_t>(options.number("seed", 1));
  settings.loss_percent = static_cast<uint64_t>(options.number("loss", 0));
  settings.duplicate_percent =
      static_cast<uint64_t>(options.number("duplicates", 0));
  asio::io_context loop;
  fabric standin(loop, settings);
  if (settings.balancers.empty() || !standin.start())
    return 1;
  std::thread loop_thread([&] { loop.run(); });
  wait_for_stop();
  loop.stop();
  loop_thread.join();
  return 0;
}
