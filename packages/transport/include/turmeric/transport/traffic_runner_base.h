/** @file traffic_runner_base.h Threads of the traffic path, in the requests
 * mode. */
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

/** Runs a traffic core on a thread with an event loop; sends its packets, and
 * calls targets on worker threads. */
class traffic_runner {
 public:
  /** @param peer_context Signs and checks packets of other balancers; packets
   * of callers use it without the key. */
  traffic_runner(const settings& options,
                 codec_context peer_context,
                 member_record self);
  ~traffic_runner();

  /** Binds the sockets and starts the threads.
   * @return `internal` if a port cannot be bound. */
  result<void> start();

  /** Replaces the routing snapshot without waiting; applied at the traffic
   * thread's next packet or tick. */
  void publish(std::shared_ptr<const route_table> table);

  /** Stops issuing permits and starting new requests. Running and queued ones
   * finish. */
  void stop_accepting_work();

  /** @return Whether a stopping balancer may end; see traffic_core::may_end().
   * Updated after each event of the traffic thread. */
  bool may_end() const { return may_end_; }

  /** @return A copy of the metrics; blocks until the traffic thread made it.
   * @pre start() succeeded and stop() was not called. */
  traffic_metrics metrics();

  /** @return The snapshot published last; null before the first. */
  std::shared_ptr<const route_table> table() const {
    return std::atomic_load(&published_table_);
  }

  /** Ends all threads; waits for all running and queued calls to targets. */
  void stop();

 private:
  void on_datagram(bool from_peer,
                   endpoint from,
                   const char* data,
                   size_t size);
  void apply_published_table();
  void execute(std::vector<traffic_action> actions);
  void execute_one(send_packet& action);
  void execute_one(start_work& action);
  void execute_one(cancel_work& action);
  void record_drop(endpoint from, const error& why);
  void arm_timer();

  codec_context caller_context_;
  codec_context peer_context_;
  member_record self_;
  uint16_t service_port_;
  asio::io_context loop_;
  asio::thread_pool workers_;
  asio::steady_timer timer_;
  udp_socket caller_socket_;
  udp_socket peer_socket_;
  traffic_core core_;
  /** Accessed atomically only. */
  std::shared_ptr<const route_table> published_table_;
  std::shared_ptr<const route_table> table_;  ///< Snapshot that the core uses.
  std::atomic<bool> may_end_{false};
  log_limiter drop_log_limiter_;
  std::thread thread_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_TRAFFIC_RUNNER_BASE_H_
