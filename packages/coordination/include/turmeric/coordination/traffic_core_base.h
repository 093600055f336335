/** @file traffic_core_base.h Traffic decisions of one balancer.
 *
 * Issues permits, forwards packets to the balancer that alone starts work on
 * a target, runs requests at most once and answers duplicates from memory.
 * Reads configuration and members from an immutable snapshot. Does no I/O.
 */
#ifndef TURMERIC_COORDINATION_TRAFFIC_CORE_BASE_H_
#define TURMERIC_COORDINATION_TRAFFIC_CORE_BASE_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "turmeric/coordination/flow_steering_base.h"
#include "turmeric/coordination/target_gate_base.h"
#include "turmeric/coordination/traffic_action_type.h"
#include "turmeric/coordination/traffic_metrics_base.h"
#include "turmeric/state/route_base.h"

namespace turmeric {

/** Timing and bounds of the traffic core. */
struct traffic_options {
  time_us permit_lifetime = 5 * us_per_s;
  time_us result_retention =
      15 * us_per_s;  ///< Final results are kept this long.
  time_us take_over_wait = 2 * us_per_s;
  time_us pause_limit = us_per_s;  ///< A longer gap was a pause.
  time_us drain_grace =
      500 * us_per_ms;               ///< For permits issued before a drain.
  size_t max_body = 32 * 1024;       ///< Bytes of a request.
  size_t max_kept_bytes = 64 << 20;  ///< Answers kept for retransmission.
  size_t max_attempts = 1 << 20;     ///< Permits remembered at once.
  uint8_t max_hops = 4;
  time_us load_sample = 50 * us_per_ms;     ///< Between samples of a load.
  time_us load_interval = 500 * us_per_ms;  ///< Between reports of loads.
  size_t flow_choices = 3;  ///< Targets compared for a new flow; 1 for none.
  time_us no_target_retry = 500 * us_per_ms;
  gate_options gate;
  flow_options flows;
};

/** Faults made on purpose, for showing that the checkers find them. */
struct traffic_injected_faults {
  bool run_twice = false;        ///< Forgets that a permit is spent.
  bool refuse_running = false;   ///< Says "not run" of a running request.
  bool ignore_service = false;   ///< Runs work on another service's target.
  bool ignore_zone_out = false;  ///< Sends work to withdrawn zones.
  bool ignore_drain = false;     ///< Sends new work to draining targets.
  bool no_ramp = false;          ///< Loads a cold target fully.
  bool no_limit = false;         ///< Starts everything at once.
  bool drop_on_stop = false;     ///< Forgets running work when stopping.
  bool mix_answers = false;      ///< Answers with another request's body.
  flow_plants flows;
};

/** Runs requests; see the file's comment. */
class traffic_core {
 public:
  traffic_core(traffic_options options,
               member_record self,
               random_source random,
               traffic_injected_faults plants = {});

  /** Takes a newer snapshot into use. */
  std::vector<traffic_action> update_routes(
      time_us now,
      std::shared_ptr<const route_table> table);

  /** Handles a packet that the fabric delivered. */
  std::vector<traffic_action> receive_from_caller(time_us now,
                                                  endpoint from,
                                                  packet body);

  /** Handles a packet that another balancer forwarded. */
  std::vector<traffic_action> receive_from_peer(time_us now, packet body);

  /** Handles the end of a started request. */
  std::vector<traffic_action> handle_work_result(time_us now, work_result end);

  /** Runs the timers. */
  std::vector<traffic_action> tick(time_us now);

  /** Stops issuing permits; what runs finishes. */
  void stop(time_us now);

  /** @return Whether a stopping balancer may end: nothing runs, and every
   * permit that it has issued is too old to be used. Until then it answers
   * for its permits, since nobody else can say that a request did not run. */
  bool may_end(time_us now) const;

  /** Counts a datagram that the decoder refused. */
  void count_drop(result_code why) { metrics_.count(why); }

  /** @return The steering of opaque flows. */
  const flow_steering& flows() const { return flows_; }

  /** @return Counters and histograms. */
  const traffic_metrics& metrics() const { return metrics_; }

 private:
  enum class stage : uint8_t { issued, waiting, running, done };
  struct attempt {
    permit right;
    service_id service;
    flow_id flow;
    request_id request;
    stage at = stage::issued;
    work_class work = work_class::interactive;
    time_us expires = 0;  ///< The permit's end.
    time_us forget = 0;   ///< The record's end.
    time_us deadline = 0;
    time_us arrived = 0;
    time_us done = 0;
    bool cancelled = false;
    endpoint reply_to;
    std::string body;  ///< Request until started, then the answer.
    result_code code = result_code::ok;
    uint32_t retry_after_ms = 0;
    uint64_t checksum = 0;
    std::vector<permit> next;
  };
  struct resolved {
    const target_config* target = nullptr;
    std::shared_ptr<const service_config> service;
  };
  using actions = std::vector<traffic_action>;

  void handle(time_us now, packet body, actions* out);
  void on(time_us now, permit_request m, actions* out);
  void on(time_us now, run_request m, actions* out);
  void on(time_us now, cancel_request m, actions* out);
  void on(time_us now, home_release m, actions* out);
  void on(time_us now, datagram m, actions* out);
  void on(time_us now, flow_query m, actions* out);
  void on(time_us now, const flow_hint& m, actions* out);
  void on(time_us now, flow_records m, actions* out);
  void on(time_us now, bucket_notes m, actions* out);
  void on(time_us now, const moving_pull& m, actions* out);
  void on(time_us now, const moving_list& m, actions* out);
  void on(time_us now, const permit_grant& m, actions* out);
  void on(time_us now, const answer_part& m, actions* out);
  void on(time_us now, const request_pending& m, actions* out);
  void on(time_us now, const load_report& m, actions* out);

  template <typename Message>
  void forward(Message m, const member_record* to, actions* out);
  template <typename Message>
  bool forward_to_issuer(time_us now, Message* m, actions* out);
  void answer_at_once(const permit_request& m,
                      result_code code,
                      time_us retry_after,
                      actions* out);
  void answer_unknown(const run_request& m, actions* out);
  const target_config* pick_target(const service_config& service,
                                   const permit_request& m) const;
  bool may_work_on(const target_config& target) const;
  bool withdrawn(const target_config& target) const;
  permit issue(time_us now,
               service_id service,
               flow_id flow,
               request_id request,
               target_id target);
  void send_pending(const attempt& a, actions* out);
  void run(time_us now, const run_request& m, attempt* a, actions* out);
  result_code reason_to_refuse(time_us now,
                               const run_request& m,
                               const attempt& a) const;
  void finish(time_us now,
              attempt* a,
              result_code code,
              time_us retry_after,
              std::string body,
              actions* out);
  void send_result(time_us now,
                   const attempt& a,
                   const std::vector<uint16_t>& missing,
                   actions* out);
  endpoint foreign_address(service_id service) const;
  target_gate& gate_of(time_us now, target_id target, uint32_t slots);
  void pump(time_us now, target_id target, actions* out);
  void pump_all(time_us now, actions* out);
  void forget_old(time_us now);
  void sample_loads(time_us now, actions* out);
  void report_loads(actions* out);
  const target_config* less_loaded(const service_config& service,
                                   flow_id flow,
                                   const target_config* chosen);
  void refuse_waiting(time_us now,
                      target_gate* gate,
                      result_code code,
                      actions* out);
  void release_moved_targets(time_us now, actions* out);
  void send_release(time_us now,
                    target_id target,
                    const target_gate& gate,
                    actions* out);
  void cancel_overdue(time_us now, actions* out);
  void count(result_code code) { metrics_.count(code); }

  traffic_options options_;
  member_record self_;
  random_source random_;
  traffic_injected_faults plants_;
  std::shared_ptr<const route_table> table_;
  std::unordered_map<uint64_t, attempt> attempts_;
  std::deque<uint64_t> by_age_;  ///< Serials in order of issue.
  std::map<target_id, target_gate> gates_;
  std::set<uint64_t> running_;  ///< Serials of started requests.
  std::map<target_id, time_us> drained_at_;
  std::unordered_map<target_id, double> loads_;  ///< Own and reported ones.
  time_us next_sample_ = 0;
  time_us next_report_ = 0;
  traffic_metrics metrics_;
  flow_steering flows_;
  uint64_t next_serial_ = 1;
  size_t unfinished_ = 0;
  size_t kept_bytes_ = 0;
  time_us last_seen_ = -1;
  time_us started_ = -1;
  time_us stop_began_ = 0;
  std::string last_body_;  ///< For the plant of mixed answers only.
  bool stopping_ = false;
  bool doubtful_ = false;  ///< Paused; waits for a newer snapshot.
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TRAFFIC_CORE_BASE_H_
