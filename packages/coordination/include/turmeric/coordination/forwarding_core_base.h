/** @file forwarding_core_base.h Decides where segments are forwarded.
 *
 * A target is chosen for openings only. Every later segment carries the token
 * of its target, so that any balancer can forward it. Flow state serves to
 * recognize retransmitted openings and to find out which targets answer.
 */
#ifndef TURMERIC_COORDINATION_FORWARDING_CORE_BASE_H_
#define TURMERIC_COORDINATION_FORWARDING_CORE_BASE_H_

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "turmeric/coordination/overload/admission_base.h"
#include "turmeric/coordination/overload/load_monitor_base.h"
#include "turmeric/coordination/placement_base.h"
#include "turmeric/coordination/traffic_metrics_base.h"

namespace turmeric {

struct forwarding_options {
  placement_options placing;
  /** An opening counts as unanswered if its caller sends no further segment for
   * this long. Several times a usual handshake of 5 to 10 ms. */
  time_us answer_timeout = 40 * us_per_ms;
  /** A copy of an opening that arrives sooner than this after the first was
   * forwarded goes to the same target. Callers retransmit after 200 ms, so the
   * copies were delayed on the way and the target had no time to answer. */
  time_us min_retransmit_time = 150 * us_per_ms;
  /** An opening that has waited longer in this process is dropped: its caller
   * sends the next copy, which another balancer may get, or gives up. By the
   * number of copies sent before; callers send them after 200 and 600 ms and
   * give up after 1.4 s. */
  std::array<time_us, 3> max_opening_waits = {150 * us_per_ms, 350 * us_per_ms,
                                              750 * us_per_ms};
  /** Copies of an opening are recognized for this long; the caller has given up
   * by then. */
  time_us opening_lifetime = 1500 * us_per_ms;
  /** A flow without segments for this time no longer counts as active. Longer
   * than the delay of the callers' first retransmission. */
  time_us active_timeout = 400 * us_per_ms;
  /** The same for a flow whose caller has acknowledged bytes of an answer since
   * it last sent some: long flows carry many requests, and between them no slot
   * is in use. Above the gaps between the acknowledgements of one answer. */
  time_us answered_timeout = 50 * us_per_ms;
  /** Time without segments after which a flow's state is removed. */
  time_us flow_idle_timeout = 15 * us_per_s;
  /** Flows whose state is kept. Further ones are forwarded but not tracked or
   * counted as load. */
  size_t max_flows = 200000;
  /** Openings are dropped for this long after a pause of the process. The
   * registry answers within it, and callers retransmit after 200 ms. */
  time_us resume_delay = 150 * us_per_ms;
  /** One flow in this many is logged, with all its events; 0 for none. Refused,
   * retransmitted and unanswered openings and dropped segments are logged for
   * every flow. */
  uint64_t log_one_in = 16;
  /** Whether peers get no report of an opening that a target may have reset
   * because it is full; see may_be_full(). */
  bool detect_full_targets = false;
  load_monitor_options load;
  admission_options admission;
};

enum class forwarding_action : uint8_t {
  drop,
  forward,
  reset,
  hold,  ///< Keep the segment until take_deferred() returns it.
  end
};

/** Why a segment is treated so. */
enum class forwarding_reason : uint8_t {
  opened,         ///< Forwarded to a newly chosen target.
  repeated,       ///< A retransmitted opening, to the same target.
  moved,          ///< A retransmitted opening, to another target.
  continued,      ///< Forwarded by the token of its target.
  no_table,       ///< No table has been received yet.
  no_route,       ///< No route at its destination.
  no_target,      ///< The route's services have no target that may take it.
  unknown_token,  ///< The token names no target.
  not_a_caller,   ///< A segment that only targets send.
  paused,         ///< Dropped after a pause of the process; see on_pause().
  superseded,     ///< An opening whose next copy has been sent.
  waiting,        ///< An opening that waits, as its service is saturated.
  overloaded,     ///< Refused, as its service is saturated.
  end
};

/** @return The name of @p reason in logs and metrics. */
std::string_view name_of(forwarding_reason reason);

struct forwarding_decision {
  forwarding_action action = forwarding_action::drop;
  forwarding_reason reason = forwarding_reason::no_table;
  const forwarding_target* target = nullptr;  ///< Set if forwarded.
  placement_choice choice;                    ///< Set for openings.
};

/** A decision on a segment that was held. */
struct deferred_decision {
  segment opening;
  forwarding_decision decision;
};

/** Events of flows and targets, for the log. */
enum class forwarding_event_kind : uint8_t {
  placed,              ///< An opening went to a target.
  refused,             ///< An opening was reset.
  dropped,             ///< A segment was dropped.
  answered,            ///< The caller has got an answer from the target.
  ended,               ///< The caller closed the flow.
  opening_unanswered,  ///< A target left an opening unanswered.
  target_recovered,    ///< A target answered after unanswered openings.
  target_reported,     ///< A peer reported on a target.
  load_changed,        ///< A service is saturated, or no longer.
  end
};

/** @return The text of @p kind in logs. */
std::string_view name_of(forwarding_event_kind kind);

struct forwarding_event {
  forwarding_event_kind kind = forwarding_event_kind::end;
  forwarding_reason reason = forwarding_reason::end;  ///< For decisions.
  flow_key flow;
  flow_token token = 0;
  std::string target;         ///< Empty if there is none.
  std::string zone;           ///< Of the target.
  uint32_t failures = 0;      ///< Openings in a row that it left unanswered.
  uint32_t reported = 0;      ///< Those that peers reported.
  uint32_t active_flows = 0;  ///< Of the target; "in_hand" in the log.
  size_t candidates = 0;      ///< Targets that the flow could be placed on.
  double cost = 0.0;          ///< Of the chosen target.
  time_us since_opening = 0;
  time_us waited = 0;     ///< Time for which the opening was held.
  time_us table_age = 0;  ///< Time since the table was received.
  std::string service;    ///< Of a change of its load.
  service_load load = service_load::end;  ///< The same.
  double delayed_share = 0.0;             ///< The same; see load_monitor.
};

/** Counters of one balancer. */
struct forwarding_counters {
  std::array<uint64_t, static_cast<size_t>(forwarding_reason::end)> reasons{};
  uint64_t unanswered = 0;  ///< Openings left unanswered.
  uint64_t suspicions = 0;  ///< Times that a target became suspected.
  uint64_t reports = 0;     ///< Reports on targets by peers.
  /** Unanswered openings not reported, as the target may be full. */
  uint64_t reports_withheld = 0;
  uint64_t requests_lost = 0;  ///< Probably reset by their targets.
  uint64_t other_zone = 0;     ///< Openings placed in other zones.
  uint64_t events_lost = 0;    ///< Events discarded: too many pending.
  uint64_t malformed = 0;      ///< Packets that could not be read.
};

struct flow_state {
  flow_token token = 0;
  time_us opened = 0;
  time_us last_segment = 0;
  uint32_t acknowledged = 0;  ///< By the caller's last segment.
  bool answered = false;
  bool counted_unanswered = false;
  bool report_withheld = false;  ///< Peers have no report of the silence.
  bool active = false;           ///< Counted as an active flow of its target.
  /** The caller has sent bytes that no acknowledgement of an answer followed.
   */
  bool awaits_answer = true;
  bool quiet_check_pending = false;
  bool answered_check_pending = false;
  bool ended = false;  ///< Closed by the caller; its last segments follow.
  /** When the first segment of the request that awaits its answer came; 0 if
   * none does or another balancer may have got it. */
  time_us request_started = 0;
  /** Service for which admission counts it as awaiting an answer; null if it
   * does not. */
  const std::string* in_flight = nullptr;
};
/** Decides on the segments of one balancer. For the traffic thread only. */
class forwarding_core {
 public:
  forwarding_core(forwarding_options options, random_source random);

  void set_table(time_us now, std::shared_ptr<const forwarding_table> table);

  /** Call after the process was paused. Openings that waited meanwhile are
   * dropped, since their callers have retransmitted them or given up. So are
   * new ones during `resume_delay`, in which the directory may be updated. */
  void on_pause(time_us now) {
    drop_openings_until_ = now + options_.resume_delay;
    admission_.drop_waiting();
  }

  /** Sets the balancers that share the targets; see placement. */
  void set_balancers(uint64_t self, std::vector<uint64_t> others);

  /** See placement. */
  void set_zone_balancers(std::vector<uint64_t> others) {
    placement_.set_zone_balancers(std::move(others));
  }

  /** Sets the zones from which no heartbeats arrive. */
  void set_silent_zones(std::set<std::string> zones) {
    placement_.set_silent_zones(std::move(zones));
  }

  /** See placement. */
  void set_registry_lost(bool lost) { placement_.set_registry_lost(lost); }

  /** Ignores reports on unknown targets. */
  void on_peer_reports(time_us now, const std::vector<target_report>& reports);

  /** @return Reports for peers since the last call. */
  std::vector<target_report> take_reports() {
    return placement_.take_reports();
  }

  /** Decides on a caller's segment. The decision's target lives as long as the
   * table in use.
   * @param waited Longest time for which the segment may have waited in this
   * process, if that is long enough to matter; else 0.
   * @param longest_wait The same, however short. */
  forwarding_decision on_segment(time_us now,
                                 const segment& s,
                                 time_us waited = 0,
                                 time_us longest_wait = 0);

  /** @return Decisions on segments for which on_segment() returned `hold`. To
   * be called after on_segment() and tick(). */
  std::vector<deferred_decision> take_deferred(time_us now);

  void count_malformed() { ++counters_.malformed; }

  /** Runs the checks that are due. */
  void tick(time_us now);

  /** @return When tick() is due, or INT64_MAX if no check is pending. */
  time_us next_tick() const;

  /** @return Events since the last call. */
  std::vector<forwarding_event> take_events() {
    return std::exchange(events_, {});
  }

  const forwarding_counters& counters() const { return counters_; }
  const placement& placing() const { return placement_; }
  const load_monitor& loads() const { return loads_; }
  const admission& admitting() const { return admission_; }
  /** @return Times in ms from openings to the callers' next segments, which
   * show that the target has answered. */
  const latency_histogram& answer_times() const { return answer_times_; }
  const forwarding_table* current_table() const { return table_.get(); }
  /** @return When the table was received. */
  time_us table_since() const { return table_since_; }
  /** Visits the flows whose state is kept. */
  void for_each_flow(const std::function<void(const flow_key&,
                                              const flow_state&)>& visit) const;
  /** @return Number of flows whose state is kept. */
  size_t flows() const { return flows_.size(); }

 private:
  struct flow_check {
    time_us due;
    flow_key key;
  };

  /** Check whether the request that began at `started` has been answered. */
  struct request_check {
    time_us due;
    time_us started;
    flow_key key;

    bool operator>(const request_check& other) const { return due > other.due; }
  };

  forwarding_decision decide(time_us now, const segment& s, time_us waited);
  /** Decides on an opening that cannot be placed. */
  static forwarding_decision refuse(const segment& opening,
                                    forwarding_reason reason,
                                    const placement_choice& choice);
  bool is_superseded(const segment& opening, time_us waited) const;
  forwarding_decision on_opening(time_us now, const segment& s, time_us waited);
  /** Decides whether the first copy of an opening is placed now.
   * @param arrived Earliest time at which it can have arrived. */
  forwarding_decision admit(time_us now,
                            const segment& s,
                            time_us arrived,
                            const route_entry& route);
  /** Decides on an opening whose wait has ended. */
  forwarding_decision decide_released(time_us now,
                                      const released_opening& released);
  /** Decides on an opening whose wait has ended, with the present table. */
  forwarding_decision place_released(time_us now, const segment& s);
  /** @param service Null if the flow awaits no answer. */
  void set_in_flight(time_us now, flow_state* flow, const std::string* service);
  /** @param answered Whether a target answered; else it may have reset an
   * opening. */
  void adapt_admission(time_us now, const std::string& service, bool answered);
  forwarding_decision on_retransmitted(time_us now,
                                       const segment& s,
                                       time_us waited,
                                       const route_entry& route,
                                       flow_state* flow);
  forwarding_decision open_flow(time_us now,
                                const segment& s,
                                const std::string& service,
                                flow_token avoid);
  void record_segment(time_us now,
                      const segment& s,
                      const forwarding_target& target);
  void add_flow(time_us now, const segment& s, flow_token token);
  void end_flow(time_us now, const flow_key& key);
  void set_active(time_us now, flow_state* flow, bool active);
  /** @param repeated Whether the caller has sent a copy of the opening, so that
   * the target has not refused it. */
  void count_unanswered(time_us now,
                        const flow_key& key,
                        flow_state* flow,
                        bool repeated);
  /** @return Whether an opening that @p target left unanswered may have been
   * reset by it, and its peers need no report. */
  bool may_be_full(time_us now, const forwarding_target& target) const;
  /** Measures the time of the request that @p s belongs to or answers. */
  void time_request(time_us now,
                    const segment& s,
                    const forwarding_target& target,
                    bool acknowledges_more,
                    flow_state* flow);
  /** Schedules the check of the request that the flow has just begun. */
  void schedule_request_check(time_us now, const flow_key& key);
  /** Ends the wait for an answer that has not come. */
  void end_request(time_us now, const flow_key& key, flow_state* flow);
  bool learns_answers() const {
    return options_.detect_full_targets || options_.placing.learn_weights ||
           options_.admission.enabled;
  }
  /** @param alive_at See placement::on_answer(). */
  void record_answer(time_us now,
                     const flow_key& key,
                     const forwarding_target& target,
                     time_us alive_at);
  bool is_logged(const flow_key& key) const;
  void log_decision(time_us now,
                    const segment& s,
                    const forwarding_decision& decision,
                    time_us waited);
  void add_event(time_us now,
                 forwarding_event_kind kind,
                 const flow_key& key,
                 flow_token token,
                 const forwarding_decision* decision = nullptr,
                 time_us waited = 0);
  void add_load_event(time_us now,
                      const std::string& service,
                      service_load load);
  void check_answers(time_us now);
  void check_requests(time_us now);
  void schedule_quiet_check(time_us now, const flow_key& key, flow_state* flow);
  void check_answered(time_us now);
  void check_quiet(time_us now);
  void check_idle(time_us now);

  forwarding_options options_;
  placement placement_;
  std::shared_ptr<const forwarding_table> table_;
  std::unordered_map<flow_key, flow_state, flow_key_hash> flows_;
  std::deque<flow_check> answer_checks_;
  std::deque<flow_check> answered_checks_;  ///< Of answered active flows.
  std::deque<flow_check> quiet_checks_;     ///< Of active flows.
  std::deque<flow_check> idle_checks_;  ///< Of flows that are no longer active.
  std::priority_queue<request_check, std::vector<request_check>, std::greater<>>
      request_checks_;
  time_us table_since_ = 0;
  time_us drop_openings_until_ = 0;
  time_us segment_arrived_ = 0;  ///< At the earliest, the one decided on.
  latency_histogram answer_times_;
  load_monitor loads_;
  std::set<std::string> saturated_;  ///< Services logged as saturated.
  admission admission_;
  std::set<std::string> services_;  ///< Names that flows refer to.
  forwarding_counters counters_;
  std::vector<forwarding_event> events_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_FORWARDING_CORE_BASE_H_
