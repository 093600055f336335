/** @file segment_runner_base.h The traffic thread of the forwarding mode. */
#ifndef TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_
#define TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "turmeric/coordination/forwarding_core_base.h"
#include "turmeric/state/error_type.h"
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

  /** Replaces the snapshot; taken with the next batch. */
  void publish(std::shared_ptr<const forwarding_table> table,
               uint64_t self,
               std::vector<uint64_t> balancers);

  /** @return A copy of the counters. */
  forwarding_counters counters();

  /** @return When the last segment came; boot time, 0 for never. */
  time_us last_segment() const { return last_segment_; }

  /** Ends the thread. */
  void stop();

 private:
  struct batch;
  /** A snapshot on its way to the traffic thread. */
  struct update {
    std::shared_ptr<const forwarding_table> table;
    uint64_t self = 0;
    std::vector<uint64_t> balancers;
  };

  void run();
  void await_first_table();
  int wait_ms();
  void take_update();
  void wake();
  void handle(time_us now, batch* b, int count);
  void handle_one(time_us now, batch* b, int index);

  endpoint local_;
  file_descriptor socket_;
  file_descriptor wake_;
  std::mutex core_mutex_;  ///< Held for a batch, or to copy the counters.
  forwarding_core core_;
  std::mutex update_mutex_;
  std::unique_ptr<update> update_;
  bool published_ = false;  ///< Whether there has been a snapshot.
  /** Snapshot in use; actions of a batch point into it. */
  std::shared_ptr<const forwarding_table> table_;
  std::atomic<time_us> last_segment_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_
