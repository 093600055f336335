/** @file forwarding_core_base.h Decides where segments go.
 *
 * Every segment after the opening carries the token of its target, so that any
 * balancer can forward it. Only openings are decisions; what is kept of a flow
 * serves to tell repeated openings and to see which targets answer.
 */
#ifndef TURMERIC_COORDINATION_FORWARDING_CORE_BASE_H_
#define TURMERIC_COORDINATION_FORWARDING_CORE_BASE_H_

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "turmeric/coordination/placement_base.h"
#include "turmeric/coordination/traffic_metrics_base.h"

namespace turmeric {

/** Times and bounds of forwarding. */
struct forwarding_options {
  placement_options placing;
  /** An opening without a further segment of its caller after this counts as
   * unanswered: several times a usual handshake of 5 to 10 ms. */
  time_us answer_time = 40 * us_per_ms;
  /** A copy that comes sooner after its opening was forwarded is none of the
   * caller's 200 ms: both waited somewhere, and the target has had no time. */
  time_us copy_time = 150 * us_per_ms;
  /** Time for which an opening is remembered: the caller gives up by then. */
  time_us opening_time = 1500 * us_per_ms;
  /** A flow without segments for this time no longer counts as work in hand:
   * above the callers' first repetition. */
  time_us busy_time = 400 * us_per_ms;
  /** Time after which a quiet flow is forgotten. */
  time_us flow_time = 15 * us_per_s;
  /** Flows remembered at once; beyond this new ones are not counted. */
  size_t max_flows = 200000;
  /** Time after a pause for which openings are dropped: the registry answers
   * within it, and callers repeat theirs after 200 ms. */
  time_us renewal_time = 150 * us_per_ms;
  /** One of so many flows is logged, whole; 0 for none. */
  uint64_t log_one_in = 16;
};

/** What to do with a segment. */
enum class forwarding_action : uint8_t { drop, forward, reset, end };

/** Why. */
enum class forwarding_reason : uint8_t {
  opened,         ///< Forwarded to a newly chosen target.
  repeated,       ///< A repeated opening, to the same target.
  moved,          ///< A repeated opening, to another target.
  continued,      ///< Forwarded by its token.
  no_table,       ///< Nothing is known yet.
  no_route,       ///< No route at the address.
  no_target,      ///< The route's services have no target that may take it.
  unknown_token,  ///< The token names no target.
  not_a_caller,   ///< A segment that only targets send.
  paused,         ///< The process has just stood still; see paused().
  end
};

/** @return The name of @p reason in logs and metrics. */
std::string_view name_of(forwarding_reason reason);

/** A decision on one segment. */
struct forwarding_decision {
  forwarding_action action = forwarding_action::drop;
  forwarding_reason reason = forwarding_reason::no_table;
  const forwarding_target* target = nullptr;  ///< Set if forwarded.
  placement_choice choice;                    ///< Set for openings.
};

/** What happened to a flow, or what the traffic thread came to believe. */
enum class forwarding_event_kind : uint8_t {
  placed,           ///< An opening went to a target.
  refused,          ///< An opening was reset.
  dropped,          ///< A segment was dropped.
  answered,         ///< The caller has an answer from the target.
  ended,            ///< The caller closed the flow.
  target_doubted,   ///< A target left an opening unanswered.
  target_answers,   ///< A target answered after it had been doubted.
  target_reported,  ///< Another balancer told what it saw of a target.
  end
};

/** @return The text of @p kind in logs. */
std::string_view name_of(forwarding_event_kind kind);

/** An event with what it rests on, for the log. */
struct forwarding_event {
  forwarding_event_kind kind = forwarding_event_kind::end;
  forwarding_reason reason = forwarding_reason::end;  ///< For decisions.
  flow_key flow;
  flow_token token = 0;
  std::string target;         ///< Empty if there is none.
  std::string zone;           ///< Of the target.
  uint32_t failures = 0;      ///< Openings it left unanswered in a row.
  uint32_t reported = 0;      ///< Those that other balancers told of.
  uint32_t active_flows = 0;  ///< Flows in hand at it, as seen here.
  size_t candidates = 0;      ///< Targets that were open to the flow.
  double cost = 0.0;          ///< Of the chosen one.
  time_us since_opening = 0;
  time_us table_age = 0;  ///< Time since the snapshot came.
};

/** Counters of one balancer. */
struct forwarding_counters {
  std::array<uint64_t, static_cast<size_t>(forwarding_reason::end)> reasons{};
  uint64_t unanswered = 0;   ///< Openings left unanswered.
  uint64_t suspicions = 0;   ///< Times a target came to be doubted.
  uint64_t reports = 0;      ///< Observations of targets told by others.
  uint64_t other_zone = 0;   ///< Openings placed in other zones.
  uint64_t events_lost = 0;  ///< Events beyond those kept for the log.
  uint64_t malformed = 0;    ///< Packets that could not be read.
};

/** What is remembered of a flow. */
struct flow_state {
  flow_token token = 0;
  time_us opened = 0;
  time_us last_segment = 0;
  uint32_t acknowledged = 0;  ///< By the caller's last segment.
  bool answered = false;
  bool held_against = false;  ///< Counted as unanswered.
  bool busy = false;          ///< Counted as work in hand.
  bool ended = false;  ///< The caller has closed it; its last segments follow.
};
/** Decisions of one balancer's traffic thread. */
class forwarding_core {
 public:
  forwarding_core(forwarding_options options, random_source random);

  /** Takes a newer snapshot. */
  void set_table(time_us now, std::shared_ptr<const forwarding_table> table);

  /** This process stood still for a while. Openings that waited meanwhile are
   * dropped, since their callers have repeated them or gone, and so are new
   * ones for a moment in which the directory may be renewed. */
  void on_pause(time_us now) { paused_until_ = now + options_.renewal_time; }

  /** Sets the balancers that share the cold targets. */
  void set_balancers(uint64_t self, std::vector<uint64_t> others);

  /** Sets the other balancers of the own zone. */
  void set_zone_balancers(std::vector<uint64_t> others) {
    placement_.set_zone_balancers(std::move(others));
  }

  /** Sets the zones whose balancers are not heard. */
  void set_silent_zones(std::set<std::string> zones) {
    placement_.set_silent_zones(std::move(zones));
  }

  /** Sets whether the registry can't tell which targets are cold. */
  void set_registry_lost(bool lost) { placement_.set_registry_lost(lost); }

  /** Other balancers told what they saw of targets. */
  void on_peer_reports(time_us now, const std::vector<target_report>& reports);

  /** @return What is worth telling other balancers since the last call. */
  std::vector<target_report> take_reports() {
    return placement_.take_reports();
  }

  /** Decides on a caller's segment. The decision's target lives as long as
   * the snapshot. */
  forwarding_decision on_segment(time_us now, const segment& s);

  /** Counts a packet that is no segment. */
  void count_malformed() { ++counters_.malformed; }

  /** Runs the timers. */
  void tick(time_us now);

  /** @return When tick() is due. */
  time_us next_tick() const;

  /** @return Events since the last call. */
  std::vector<forwarding_event> take_events() {
    return std::exchange(events_, {});
  }

  const forwarding_counters& counters() const { return counters_; }
  const placement& placing() const { return placement_; }
  /** @return Times from openings to their answers, in ms. */
  const latency_histogram& answer_times() const { return answer_times_; }
  const forwarding_table* current_table() const { return table_.get(); }
  /** @return When the snapshot came. */
  time_us table_since() const { return table_since_; }
  /** Calls @p visit with each flow remembered. */
  void for_each_flow(const std::function<void(const flow_key&,
                                              const flow_state&)>& visit) const;
  /** @return Flows remembered. */
  size_t flows() const { return flows_.size(); }

 private:
  /** A time at which a flow is looked at. */
  struct check {
    time_us due;
    flow_key key;
  };

  forwarding_decision decide(time_us now, const segment& s);
  forwarding_decision on_opening(time_us now, const segment& s);
  forwarding_decision on_repeated(time_us now,
                                  const segment& s,
                                  flow_state* flow);
  forwarding_decision open(time_us now,
                           const segment& s,
                           const std::string& service,
                           flow_token avoid);
  void note_segment(time_us now,
                    const segment& s,
                    const forwarding_target& target);
  void remember(time_us now, const segment& s, flow_token token);
  void end_flow(time_us now, const flow_key& key);
  void set_busy(time_us now, flow_state* flow, bool busy);
  void hold_against(time_us now, const flow_key& key, flow_state* flow);
  void note_answer(time_us now,
                   const flow_key& key,
                   const forwarding_target& target);
  bool sampled(const flow_key& key) const;
  void report_decision(time_us now,
                       const segment& s,
                       const forwarding_decision& decision);
  void add_event(time_us now,
                 forwarding_event_kind kind,
                 const flow_key& key,
                 flow_token token,
                 const forwarding_decision* decision = nullptr);
  void check_answers(time_us now);
  void check_quiet(time_us now);
  void check_idle(time_us now);

  forwarding_options options_;
  placement placement_;
  std::shared_ptr<const forwarding_table> table_;
  std::unordered_map<flow_key, flow_state, flow_key_hash> flows_;
  std::deque<check> answer_checks_;
  std::deque<check> quiet_checks_;  ///< Of flows counted as work in hand.
  std::deque<check> idle_checks_;   ///< Of flows that turned quiet.
  time_us table_since_ = 0;
  time_us paused_until_ = 0;
  latency_histogram answer_times_;
  forwarding_counters counters_;
  std::vector<forwarding_event> events_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_FORWARDING_CORE_BASE_H_
