/** @file traffic_core_base.h Traffic decisions of one balancer.
 *
 * Issues permits, forwards packets to the home of a target (the one balancer
 * that starts work on it), runs each request at most once and answers
 * duplicates from stored results. Reads configuration and members from an
 * immutable snapshot. Does no I/O.
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

struct traffic_options {
  time_us permit_lifetime = 5 * us_per_s;  ///< From the issue of a permit.
  /** Time that a final result is kept, from the issue of its permit or the
   * request's deadline, whichever is later. */
  time_us result_retention = 15 * us_per_s;
  /** Time after a change of a target's home in which requests that the earlier
   * home started are assumed to be running. */
  time_us take_over_wait = 2 * us_per_s;
  /** A longer gap between calls counts as a pause of this process. */
  time_us pause_threshold = us_per_s;
  /** Time that permits issued before a drain stay usable. */
  time_us drain_grace = 500 * us_per_ms;
  size_t max_body = 32 * 1024;         ///< Bytes of a request's body.
  size_t max_result_bytes = 64 << 20;  ///< Of results kept for retransmission.
  size_t max_attempts = 1 << 20;       ///< Permits stored at once.
  uint8_t max_hops = 4;                ///< Most forwards of one packet.
  time_us load_sample_interval = 50 * us_per_ms;
  time_us load_report_interval = 500 * us_per_ms;
  /** Targets whose loads are compared for a new flow; 1 for no comparison. */
  size_t flow_choices = 3;
  /** Retry-after of a refusal for want of a target or of a known service. */
  time_us no_target_retry_after = 500 * us_per_ms;
  gate_options gate;
  flow_options flows;
};

/** Faults injected on purpose, so that tests show that checkers find them. */
struct traffic_injected_faults {
  bool run_twice = false;        ///< Runs a request again under a used permit.
  bool refuse_running = false;   ///< Answers "not run" while the request runs.
  bool ignore_service = false;   ///< Sends work to another service's target.
  bool ignore_zone_out = false;  ///< Sends work to withdrawn zones.
  bool ignore_drain = false;     ///< Sends new work to draining targets.
  bool no_ramp = false;          ///< Skips slow start on a cold target.
  bool no_limit = false;      ///< Starts requests without a limit per target.
  bool drop_on_stop = false;  ///< Discards running work when stopping.
  bool mix_answers = false;   ///< Answers with the body of another request.
  flow_injected_faults flows;
};

class traffic_core {
 public:
  traffic_core(traffic_options options,
               member_record self,
               random_source random,
               traffic_injected_faults injected_faults = {});

  /** Switches to a newer snapshot. After a pause of this process, no permits
   * are issued and no requests are started until this is called. */
  std::vector<traffic_action> update_routes(
      time_us now,
      std::shared_ptr<const route_table> table);

  /** Drops and counts packet types that only balancers may send. */
  std::vector<traffic_action> receive_from_caller(time_us now,
                                                  endpoint from,
                                                  packet body);

  std::vector<traffic_action> receive_from_peer(time_us now, packet body);

  /** Takes the result of a start_work; ignored if its request is not running.
   */
  std::vector<traffic_action> handle_work_result(time_us now, work_result end);

  /** Starts queued work, cancels overdue work, reports loads and evicts expired
   * records. */
  std::vector<traffic_action> tick(time_us now);

  /** Stops issuing permits and accepting requests; running and queued requests
   * finish. */
  void stop(time_us now);

  /** @return Whether a stopping balancer may end: no request is queued or
   * running and all its permits have expired. Until then it must answer for
   * them, since no other balancer can determine whether a request ran under
   * them. */
  bool may_end(time_us now) const;

  /** Counts a datagram that the decoder rejected. */
  void count_drop(result_code why) { metrics_.count(why); }

  const flow_steering& flows() const { return flows_; }

  const traffic_metrics& metrics() const { return metrics_; }

 private:
  enum class attempt_state : uint8_t { issued, waiting, running, done };
  /** An issued permit and the request that runs under it, if any. */
  struct attempt {
    permit own_permit;
    service_id service;
    flow_id flow;
    request_id request;
    attempt_state state = attempt_state::issued;
    request_priority work = request_priority::interactive;
    time_us expires = 0;       ///< End of the permit's lifetime.
    time_us retain_until = 0;  ///< Then the record may be evicted.
    time_us deadline = 0;
    time_us arrived_at = 0;
    time_us done_at = 0;
    bool cancelled = false;
    endpoint reply_to;
    std::string body;  ///< Request until it starts, then the answer.
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
  void on(time_us now, moving_buckets m, actions* out);
  void on(time_us now, const moving_buckets_request& m, actions* out);
  void on(time_us now, const moving_buckets_reply& m, actions* out);
  void on(time_us now, const permit_grant& m, actions* out);
  void on(time_us now, const answer_part& m, actions* out);
  void on(time_us now, const request_pending& m, actions* out);
  void on(time_us now, const load_report& m, actions* out);

  template <typename Message>
  void forward(Message m, const member_record* to, actions* out);
  template <typename Message>
  bool forward_to_issuer(time_us now, Message* m, actions* out);
  void refuse_permit(const permit_request& m,
                     result_code code,
                     time_us retry_after,
                     actions* out);
  void send_unknown_outcome(const run_request& m, actions* out);
  const target_config* pick_target(const service_config& service,
                                   const permit_request& m) const;
  bool is_eligible(const target_config& target) const;
  bool withdrawn(const target_config& target) const;
  permit issue_permit(time_us now,
                      service_id service,
                      flow_id flow,
                      request_id request,
                      target_id target);
  void send_pending(const attempt& a, actions* out);
  void admit(time_us now, const run_request& m, attempt* a, actions* out);
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
  endpoint other_service_address(service_id service) const;
  target_gate& gate_for(time_us now, target_id target, uint32_t slots);
  void start_queued(time_us now, target_id target, actions* out);
  void start_all_queued(time_us now, actions* out);
  void evict_expired(time_us now);
  void sample_loads(time_us now, actions* out);
  void report_loads(actions* out);
  const target_config* least_loaded(const service_config& service,
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
  traffic_injected_faults injected_faults_;
  std::shared_ptr<const route_table> table_;
  std::unordered_map<uint64_t, attempt> attempts_;
  std::deque<uint64_t> serials_by_age_;  ///< Permit serials, oldest first.
  std::map<target_id, target_gate> gates_;
  std::set<uint64_t> running_;  ///< Permit serials of started requests.
  std::map<target_id, time_us> drained_at_;
  std::unordered_map<target_id, double>
      loads_;  ///< Own and reported loads, in requests.
  time_us next_sample_ = 0;
  time_us next_report_ = 0;
  traffic_metrics metrics_;
  flow_steering flows_;
  uint64_t next_serial_ = 1;
  size_t unfinished_requests_ = 0;
  size_t result_bytes_ = 0;
  time_us last_active_ = -1;
  time_us started_ = -1;
  time_us stop_began_ = 0;
  std::string swapped_body_;  ///< Used only by the fault `mix_answers`.
  bool stopping_ = false;
  bool table_stale_ = false;  ///< After a pause, until the next snapshot.
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TRAFFIC_CORE_BASE_H_
