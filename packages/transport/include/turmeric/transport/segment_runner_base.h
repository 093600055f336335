/** @file segment_runner_base.h The traffic thread of the forwarding mode. */
#ifndef TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_
#define TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "turmeric/coordination/forwarding_core_base.h"
#include "turmeric/state/error_type.h"
#include "turmeric/state/log_func.h"
#include "turmeric/transport/file_descriptor_base.h"

namespace turmeric {

/** Receives segments in batches, decides with a core, sends in batches. */
class segment_runner {
 public:
  /** @param local Address that the platform's routers send to; resets go to
   * the same port of the callers. */
  segment_runner(endpoint local,
                 forwarding_options options,
                 random_source random);
  ~segment_runner();

  /** Binds the socket and starts the thread.
   * @return `internal` if the port is taken. */
  result<void> start();

  /** What the control thread hands over. */
  struct update {
    std::shared_ptr<const forwarding_table> table;
    uint64_t self = 0;                   ///< This balancer, by hashed name.
    std::vector<uint64_t> balancers;     ///< Other live ones.
    std::set<std::string> silent_zones;  ///< Whose balancers are not heard.
  };

  /** Replaces the snapshot; taken with the next batch. */
  void publish(update next);

  /** @return A copy of the counters. */
  forwarding_counters counters();

  /** @return When the last segment came; boot time, 0 for never. */
  time_us last_segment() const { return last_segment_; }

  /** Ends the thread. */
  void stop();

 private:
  struct batch;
  void run();
  void await_first_table();
  int wait_ms();
  void write_events(time_us now);
  void take_update();
  void wake();
  void handle(time_us now, batch* b, int count);
  void handle_one(time_us now, batch* b, int index);

  endpoint local_;
  file_descriptor socket_;
  file_descriptor wake_;
  std::mutex core_mutex_;  ///< Held for a batch, or to copy the counters.
  forwarding_core core_;
  log_limiter belief_lines_;
  std::mutex update_mutex_;
  std::optional<update> update_;
  bool published_ = false;  ///< Whether there has been a snapshot.
  /** Snapshot in use; actions of a batch point into it. */
  std::shared_ptr<const forwarding_table> table_;
  std::atomic<time_us> last_segment_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_
