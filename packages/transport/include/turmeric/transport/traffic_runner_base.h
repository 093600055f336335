/** @file traffic_runner_base.h Threads of the traffic path. */
#ifndef TURMERIC_TRANSPORT_TRAFFIC_RUNNER_BASE_H_
#define TURMERIC_TRANSPORT_TRAFFIC_RUNNER_BASE_H_

#include <asio.hpp>
#include <atomic>
#include <memory>
#include <thread>

#include "turmeric/coordination/traffic_core_base.h"
#include "turmeric/protocol/codec_func.h"
#include "turmeric/state/log_func.h"
#include "turmeric/state/settings_base.h"
#include "turmeric/transport/udp_base.h"

namespace turmeric {

/** Drives a traffic core with sockets, a clock and worker threads. */
class traffic_runner {
 public:
  traffic_runner(const settings& options,
                 codec_context peers,
                 member_record self);
  ~traffic_runner();

  /** Binds the sockets and starts the threads.
   * @return `internal` if a port is taken. */
  result<void> start();

  /** Hands a newer snapshot to the traffic thread without waiting. */
  void publish(std::shared_ptr<const route_table> table);

  /** Stops taking new work; what runs finishes. */
  void stop_accepting_work();

  /** @return Whether a stopping balancer may end. */
  bool may_end() const { return may_end_; }

  /** @return A copy of the metrics, made by the traffic thread. */
  traffic_metrics metrics();

  /** @return The snapshot handed in last; may be null. */
  std::shared_ptr<const route_table> table() const {
    return std::atomic_load(&next_table_);
  }

  /** Ends all threads. */
  void stop();

 private:
  void on_datagram(bool from_peer,
                   endpoint from,
                   const char* data,
                   size_t size);
  void take_newer_table();
  void execute(std::vector<traffic_action> actions);
  void execute_one(send_packet& action);
  void execute_one(start_work& action);
  void execute_one(cancel_work& action);
  void drop(endpoint from, const error& why);
  void arm_timer();

  codec_context callers_;
  codec_context peers_;
  member_record self_;
  uint16_t service_port_;
  asio::io_context loop_;
  asio::thread_pool workers_;
  asio::steady_timer timer_;
  udp_socket caller_socket_;
  udp_socket peer_socket_;
  traffic_core core_;
  std::shared_ptr<const route_table> next_table_;  ///< Atomic access only.
  std::shared_ptr<const route_table> table_;
  std::atomic<bool> may_end_{false};
  log_limiter drops_;
  std::thread thread_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_TRAFFIC_RUNNER_BASE_H_
