/** @file segment_runner_base.h The traffic thread of the forwarding mode. */
#ifndef TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_
#define TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_

#include <atomic>
#include <functional>
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

/** A target as the traffic thread sees it. */
struct target_snapshot {
  std::string name;
  std::string zone;
  std::string service;
  endpoint address;
  flow_token token = 0;
  bool open = false;  ///< Gets new flows.
  bool draining = false;
  time_us cold_left = 0;
  uint32_t in_hand = 0;
  uint32_t failures = 0;
  uint32_t reported = 0;  ///< Failures that other balancers told of.
};

/** A flow as the traffic thread remembers it. */
struct flow_snapshot {
  flow_key key;
  std::string target;
  bool answered = false;
  bool ended = false;
  time_us quiet = 0;  ///< Since its last segment.
};

/** A copy of what the traffic thread knows. */
struct traffic_snapshot {
  forwarding_counters counters;
  latency_histogram answer_times = make_latency_histogram();
  size_t flows = 0;
  uint64_t routing_version = 0;
  time_us table_age = 0;
  std::array<uint64_t, directory_kinds> revisions{};
  std::vector<target_snapshot> targets;
  std::vector<flow_snapshot> flow_list;  ///< Only where asked for.
};

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
    uint64_t self = 0;                     ///< This balancer, by hashed name.
    std::vector<uint64_t> balancers;       ///< Other live ones.
    std::vector<uint64_t> zone_balancers;  ///< Those of the own zone.
    std::set<std::string> silent_zones;    ///< Whose balancers are not heard.
    bool registry_lost = false;  ///< It can't tell which targets are cold.
  };

  /** Sets what to call, on the traffic thread, after this process stood still.
   * @pre Not started. */
  void on_pause(std::function<void()> hook) { on_pause_ = std::move(hook); }

  /** Sets what to call, on the traffic thread, with what other balancers should
   * know of targets.
   * @pre Not started. */
  void on_reports(std::function<void(std::vector<target_report>)> hook) {
    on_reports_ = std::move(hook);
  }

  /** Takes what other balancers told; used from the next batch on. */
  void reported(const std::vector<target_report>& reports);

  /** Replaces the snapshot; taken with the next batch. */
  void publish(update next);

  /** @return A copy of what the traffic thread knows.
   * @param with_flows Whether to list the flows too. */
  traffic_snapshot snapshot(bool with_flows);

  /** @return When the last segment came; boot time, 0 for never. */
  time_us last_segment() const { return last_segment_; }

  /** Ends the thread. */
  void stop();

 private:
  struct batch;
  target_snapshot view_of(time_us now, const forwarding_target& target) const;
  void run();
  void await_first_table();
  int wait_ms();
  void write_events(time_us now);
  void write_event(const forwarding_event& event, uint64_t suppressed) const;
  void take_update();
  void wake();
  void handle(time_us now, batch* b, int count);
  void handle_one(time_us now, batch* b, int index);

  endpoint local_;
  file_descriptor socket_;
  file_descriptor wake_;
  std::mutex core_mutex_;  ///< Held for a batch, or to copy the counters.
  forwarding_core core_;
  std::vector<log_limiter> lines_;  ///< By kind of event.
  std::mutex update_mutex_;
  std::optional<update> update_;
  std::vector<target_report> reported_;  ///< Not yet taken.
  bool published_ = false;               ///< Whether there has been a snapshot.
  /** Snapshot in use; actions of a batch point into it. */
  std::shared_ptr<const forwarding_table> table_;
  std::function<void()> on_pause_;
  std::function<void(std::vector<target_report>)> on_reports_;
  std::atomic<time_us> last_segment_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_
