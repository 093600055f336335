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
#include <unordered_map>
#include <vector>

#include "turmeric/coordination/forwarding_core_base.h"
#include "turmeric/state/error_type.h"
#include "turmeric/state/log_func.h"
#include "turmeric/transport/file_descriptor_base.h"

namespace turmeric {

struct target_snapshot {
  std::string name;
  std::string zone;
  std::string service;
  endpoint address;
  flow_token token = 0;
  /** Eligible and not in its cold start, which limits the rate of new flows. */
  bool accepts_new_flows = false;
  bool draining = false;
  time_us cold_remaining = 0;      ///< Until its cold start ends; 0 if it has.
  uint32_t active_flows = 0;       ///< "in_hand" in JSON and metrics.
  uint32_t failures = 0;           ///< Openings in a row left unanswered.
  uint32_t reported_failures = 0;  ///< Unanswered openings that peers reported.
  double weight = 1.0;             ///< Share of new flows; see target_weights.
};

/** Load of a service, as this balancer sees it. */
struct service_snapshot {
  std::string name;
  service_load load = service_load::normal;
  admission_status admission;
};

struct flow_snapshot {
  flow_key key;
  std::string target;     ///< Name; empty if the target is not in the table.
  bool answered = false;  ///< The target has answered the opening.
  bool ended = false;     ///< Closed by the caller.
  time_us idle_time = 0;  ///< Since its last segment.
};

/** A copy of the traffic thread's state. Without a forwarding table, only the
 * counters, answer times and flow count are set. */
struct traffic_snapshot {
  forwarding_counters counters;
  latency_histogram answer_times = make_latency_histogram();
  size_t flow_count = 0;
  uint64_t routing_version = 0;
  time_us table_age = 0;  ///< Since the forwarding table was received.
  std::array<uint64_t, directory_kinds> revisions{};
  std::vector<target_snapshot> targets;
  /** The services that have flows or a limit; empty without admission. */
  std::vector<service_snapshot> services;
  std::vector<flow_snapshot> flow_list;  ///< Empty unless requested.
};

/** Receives segments in batches, decides on them with a forwarding core, and
 * sends in batches. */
class segment_runner {
 public:
  /** @param local Address that the platform's routers send to. Resets are sent
   * to the caller's address, at the port of @p local. */
  segment_runner(endpoint local,
                 forwarding_options options,
                 random_source random);
  ~segment_runner();

  /** Binds the socket and starts the thread.
   * @return `internal` if a socket or eventfd cannot be opened or bound, for
   * instance because the port is in use. */
  result<void> start();

  /** State published by the control thread. */
  struct update {
    std::shared_ptr<const forwarding_table> table;
    uint64_t self = 0;                     ///< Hashed name of this balancer.
    std::vector<uint64_t> balancers;       ///< The other live balancers.
    std::vector<uint64_t> zone_balancers;  ///< Those of the own zone.
    std::set<std::string> silent_zones;    ///< No heartbeats arrive from them.
    /** The registry is unreachable, so the entry of a restarted target may not
     * show yet that it is cold. */
    bool registry_lost = false;
  };

  /** Sets a handler for detected pauses of this process, called on the traffic
   * thread. @pre Not started. */
  void on_pause(std::function<void()> hook) { on_pause_ = std::move(hook); }

  /** Sets a handler for reports to send to peers, called on the traffic thread.
   * @pre Not started. */
  void on_reports(std::function<void(std::vector<target_report>)> hook) {
    on_reports_ = std::move(hook);
  }

  /** Queues reports from peers; they take effect with the next batch. */
  void on_peer_reports(const std::vector<target_report>& reports);

  /** Replaces the published state; takes effect with the next batch. */
  void publish(update next);

  /** @param with_flows Whether to list the flows too. */
  traffic_snapshot snapshot(bool with_flows);

  /** @return Boot time at which the last segments were received; 0 if none
   * were. */
  time_us last_segment() const { return last_segment_; }

  /** Ends the thread and waits for it. */
  void stop();

 private:
  struct batch;
  target_snapshot snapshot_of(time_us now,
                              const forwarding_target& target) const;
  void run();
  /** @return Boot time since which packets may wait in the socket. */
  time_us await_first_table();
  int poll_timeout_ms();
  void log_events(time_us now);
  void log_event(const forwarding_event& event, uint64_t suppressed) const;
  void apply_update();
  void wake();
  void clear_wake();
  /** @param longest_wait Bound on the time that the segments waited. */
  void handle_batch(time_us now, time_us longest_wait, batch* b, int count);
  /** See forwarding_core::on_segment(). */
  void handle_segment(time_us now,
                      time_us waited,
                      time_us longest_wait,
                      batch* b,
                      int index);
  /** Sends or drops the packets whose wait has ended. */
  void send_deferred(time_us now, batch* b);

  endpoint local_;
  file_descriptor socket_;
  file_descriptor wake_;
  std::mutex core_mutex_;  ///< Held for a batch, or to copy the state.
  forwarding_core core_;
  std::vector<log_limiter> event_limiters_;  ///< By kind of event.
  std::mutex update_mutex_;                  ///< Guards the next three members.
  std::optional<update> update_;
  std::vector<target_report> pending_reports_;  ///< Not yet applied.
  bool table_published_ = false;
  /** Table in use; actions of a batch point into it. */
  std::shared_ptr<const forwarding_table> table_;
  /** Packets that wait, with space for the prefix that names the target. */
  std::unordered_map<flow_key, std::vector<uint8_t>, flow_key_hash> held_;
  std::function<void()> on_pause_;
  std::function<void(std::vector<target_report>)> on_reports_;
  std::atomic<time_us> last_segment_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SEGMENT_RUNNER_BASE_H_
