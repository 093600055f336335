/** @file fabric_main.cpp The packet fabric as a process.
 *
 * Hands every packet of a caller to a balancer chosen at random. Each caller
 * address gets a socket of its own, so that answers find their way back.
 * Loss and duplication are in percent.
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
  endpoint listen;
  std::vector<endpoint> balancers;
  uint64_t seed = 1;
  uint64_t loss = 0;
  uint64_t duplicates = 0;
};

class fabric {
 public:
  fabric(asio::io_context& loop, fabric_options options)
      : loop_(loop),
        options_(std::move(options)),
        random_(options_.seed),
        callers_(loop) {}

  bool start() {
    if (!callers_.bind(options_.listen))
      return false;
    callers_.start([this](endpoint from, const char* data, size_t size) {
      from_caller(from, std::string(data, size));
    });
    return true;
  }

 private:
  int copies() {
    if (random_() % 100 < options_.loss)
      return 0;
    return random_() % 100 < options_.duplicates ? 2 : 1;
  }

  udp_socket* path_of(endpoint caller) {
    auto& path = paths_[caller];
    if (path)
      return path.get();
    path = std::make_unique<udp_socket>(loop_);
    if (!path->bind({options_.listen.ip, 0}))
      return nullptr;
    path->start([this, caller](endpoint, const char* data, size_t size) {
      for (int i = copies(); i > 0; --i)
        callers_.send(caller, std::string(data, size));
    });
    return path.get();
  }

  void from_caller(endpoint caller, const std::string& data) {
    udp_socket* path = path_of(caller);
    for (int i = copies(); i > 0 && path != nullptr; --i) {
      const size_t pick = random_() % options_.balancers.size();
      path->send(options_.balancers[pick], data);
    }
  }

  asio::io_context& loop_;
  fabric_options options_;
  std::mt19937_64 random_;
  udp_socket callers_;
  std::map<endpoint, std::unique_ptr<udp_socket>> paths_;
};

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  using namespace turmeric::tests;
  const option_map options(argc, argv);
  catch_stop();
  fabric_options f;
  f.listen = options.address("listen");
  for (const auto& text : split(options.text("balancers")))
    f.balancers.push_back(turmeric::parse_endpoint(text).value());
  f.seed = static_cast<uint64_t>(options.number("seed", 1));
  f.loss = static_cast<uint64_t>(options.number("loss", 0));
  f.duplicates = static_cast<uint64_t>(options.number("duplicates", 0));
  asio::io_context loop;
  fabric standin(loop, f);
  if (f.balancers.empty() || !standin.start())
    return 1;
  std::thread runner([&] { loop.run(); });
  wait_for_stop();
  loop.stop();
  runner.join();
  return 0;
}
