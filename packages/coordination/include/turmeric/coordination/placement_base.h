/** @file placement_base.h Chooses the target of a new flow.
 *
 * Made for many flows of some tens of milliseconds, spread over a few balancers
 * that see only their own flows, and for targets with a couple of slots, some
 * of them dead, cold or unreachable. The target with the lowest cost gets the
 * flow: its active flows divided by its slots, plus penalties for another
 * availability zone and for unanswered openings. If several targets of a zone
 * leave openings unanswered and none has answered since, the network path to
 * the zone is suspected instead of them. Penalties exclude no target, because
 * there may be no evidence that the others are better.
 *
 * Targets of equal cost take turns by stride scheduling, so that the sum over
 * all balancers is more even than random choices. While requests queue, each
 * balancer prefers the targets of which it owns slots.
 */
#ifndef TURMERIC_COORDINATION_PLACEMENT_BASE_H_
#define TURMERIC_COORDINATION_PLACEMENT_BASE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "turmeric/coordination/forwarding_table_base.h"
#include "turmeric/coordination/overload/target_weights_base.h"
#include "turmeric/state/target_report_type.h"

namespace turmeric {

/** Chooses among the warm targets that accept new flows, instead of placement's
 * own choice. Returns null if no target is to be used.
 * @param active_flows Active flows of a target, as seen by this balancer. */
using placement_hook = std::function<const forwarding_target*(
    const std::vector<const forwarding_target*>& open,
    const std::function<uint32_t(flow_token)>& active_flows)>;

/** Costs and times of placement. Costs are in units of the load of a target
 * whose slots are all in use. */
struct placement_options {
  placement_hook pick;  ///< For experiments; usually empty.
  std::string zone;     ///< Availability zone of this balancer.
  /** Cost of a target in another zone while the own zone is idle. It falls with
   * the utilization of the own zone's slots, to 0 when all are in use. Open
   * flows into other zones end when a zone is cut off. */
  double other_zone_cost = 0.75;
  /** Time constant of the average of the own zone's load. */
  time_us load_average_time = us_per_s;
  /** Discount of a target of which this balancer owns a slot, while slots are
   * scarce. Less than the cost of one active flow. */
  double slot_owner_discount = 0.2;
  /** Cost of a suspected target per unanswered opening; more than the cost of
   * any queue. */
  double suspect_cost = 100.0;
  /** Time of suspicion after the first unanswered opening; doubles with each
   * further one. Three times the delay of the callers' first retransmission. */
  time_us suspicion_time = 600 * us_per_ms;
  /** Upper bound; a dead target's entry is gone from the registry by then. */
  time_us max_suspicion_time = 4 * us_per_s;
  /** Cost of a target in a zone that seems unreachable; lower than that of a
   * target that itself did not answer. */
  double unreachable_zone_cost = 50.0;
  /** Number of silent targets at which their zone counts as unreachable. */
  size_t min_silent_targets = 2;
  /** Time between the single flows that probe such a zone. */
  time_us zone_probe_interval = us_per_s;
  /** Cost of a target with one unanswered opening reported by a peer, also
   * after it answers again. Only that of a full target, since a single lost
   * packet looks the same. */
  double reported_cost = 1.0;
  /** Unanswered openings, own and reported, that confirm a silent target. */
  uint32_t confirmed_failures = 2;
  /** Time after the first table in which unanswered openings are not reported
   * to peers. Routers still move flows between balancers that start together,
   * so another balancer may see the answer, and callers may have given up. */
  time_us startup_grace = us_per_s;
  /** Time by which this balancer retries a target later than the reporting
   * peer, which by then has reported the result of its own try. */
  time_us reporter_probe_delay = 200 * us_per_ms;
  /** Cost of a target that answers again and was probably down. It may have
   * restarted and be cold before its entry says so. */
  double recovering_cost = 10.0;
  /** Own unanswered openings in a row after which a target counts as having
   * been down. */
  uint32_t down_failures = 1;
  /** Duration of a recovering target's cost; the usual length of a cold start.
   */
  time_us recovering_time = 2 * us_per_s;
  /** New flows per second for a cold target beyond its own rate, from all
   * balancers together; `cold_slack` of the platform. */
  double cold_slack = 5.0;
  /** Factor on the rate of a cold target; `cold_overage` of the platform. */
  double cold_overage = 1.5;
  /** Whether targets that answer slower than others get fewer new flows. */
  bool learn_weights = false;
  target_weight_options weights;
};

/** How a flow was placed, for the log. */
struct placement_choice {
  const forwarding_target* target = nullptr;  ///< Null if none may take it.
  double cost = 0.0;      ///< Infinite without a target; 0 with a hook.
  size_t candidates = 0;  ///< Targets of the service that accept new flows.
};

/** Tracks load and health of the targets, and chooses among them. */
class placement {
 public:
  placement(placement_options options, random_source random);

  /** Chooses a target for a new flow. Call on_flow_opened() if it is used.
   * @param avoid Token of a target to avoid if there is another warm one, or 0.
   * @param slots_are_scarce Whether requests queue at the targets. Then each
   * balancer prefers the targets of which it owns slots: few balancers share a
   * target and see how it fares. Otherwise targets take turns, as owners differ
   * in their number of slots. */
  placement_choice choose(time_us now,
                          const forwarding_table& table,
                          const std::string& service,
                          flow_token avoid,
                          bool slots_are_scarce = false);

  /** Counts a new flow that was sent to the target. */
  void on_flow_opened(time_us now, const forwarding_target& target);

  /** Stops counting a flow of the target as active. */
  void on_flow_ended(time_us now, const forwarding_target& target);

  /** Counts a flow of the target as active again. */
  void on_flow_resumed(time_us now, const forwarding_target& target);

  /** Records that a caller got an answer from the target.
   * @param alive_at Time since which the target must have sent it. */
  void on_answer(time_us now,
                 const forwarding_target& target,
                 time_us alive_at);

  /** @return Whether an answer sent at @p alive_at or later shows that the
   * target answers again after an opening left unanswered. */
  bool ends_silence(flow_token token, time_us alive_at) const;

  /** Records that the target left an opening unanswered.
   * @param opened When the opening was sent.
   * @param report Whether to report it to peers; else report_silence() may
   * follow. */
  void on_unanswered(time_us now,
                     const forwarding_target& target,
                     time_us opened,
                     bool report = true);

  /** Reports an unanswered opening to peers that on_unanswered() did not. */
  void report_silence(time_us now,
                      const forwarding_target& target,
                      time_us opened);

  /** Records the answer to a request, or that none came so far. @param ratio
   * See load_monitor::add(). */
  void on_request_answered(time_us now,
                           const forwarding_target& target,
                           double ratio) {
    if (options_.learn_weights)
      weights_.add_answer(now, target, ratio);
  }

  /** Lets a target that has lost a request wait for as many turns as a failure
   * counts in answer times. In a large fleet, weights are learned too late:
   * each balancer would have to lose several requests at each failing target.
   */
  void on_request_lost(const forwarding_target& target) {
    targets_[target.token].pass =
        pass_of(target) + options_.weights.failed_cost;
  }

  /** @return The target's share of new flows; see target_weights. */
  double weight(time_us now, const forwarding_target& target) const {
    return options_.learn_weights ? weights_.weight(now, target) : 1.0;
  }

  /** Starts `startup_grace`; called with the first table. */
  void on_first_table(time_us now) {
    reports_from_ = now + options_.startup_grace;
  }

  void on_report(time_us now,
                 const forwarding_target& target,
                 const target_report& report);

  /** @return Reports for peers since the last call. */
  std::vector<target_report> take_reports() {
    return std::exchange(reports_, {});
  }

  /** @return Unanswered openings at the target that peers reported since its
   * last answer. */
  uint32_t reported_failures(flow_token token) const;

  /** Active flows as seen by this balancer. */
  uint32_t active_flows(flow_token token) const;

  /** @return Openings in a row that the target left unanswered. */
  uint32_t failures(flow_token token) const;

  /** @param others The other balancers of the own zone. */
  void set_zone_balancers(std::vector<uint64_t> others);

  /** Sets the zones from whose balancers no heartbeats arrive. */
  void set_silent_zones(std::set<std::string> zones) {
    silent_zones_ = std::move(zones);
  }

  /** Sets whether the registry is unreachable, so that the entries of restarted
   * targets may not show yet that these are cold. */
  void set_registry_lost(bool lost) { registry_lost_ = lost; }

  /** Sets the balancers that share the targets.
   * @param self This balancer; it need not be among @p others. */
  void set_balancers(uint64_t self, std::vector<uint64_t> others);

  /** Removes the state of targets that are not in @p table. */
  void retain(const forwarding_table& table);

  /** @return Whether the entry of a restarted target may not show yet that it
   * is cold: the registry is lost, or, as zones are silent, may be lost without
   * a failed call so far. */
  bool restarts_may_be_unseen() const {
    return registry_lost_ || !silent_zones_.empty();
  }

 private:
  struct target_state {
    uint32_t active_flows = 0;
    uint32_t failures = 0;    ///< Unanswered openings since the last answer.
    uint32_t unreported = 0;  ///< Those of them that peers have no report of.
    time_us suspected_until = 0;
    /** When the newest unanswered opening was sent, own or reported. */
    time_us silent_since = 0;
    time_us last_answer = 0;     ///< To any flow of this balancer.
    uint32_t peer_failures = 0;  ///< Unanswered openings that peers reported.
    time_us peer_suspected_until = 0;
    bool probing = false;  ///< First flow after a suspicion is under way.
    time_us recovering_until = 0;
    bool was_down = false;  ///< While recovering: it probably restarted.
    /** Until then it is limited as a cold target: it was down, and the lost
     * registry cannot show whether it restarted. */
    time_us presumed_cold_until = 0;
    /** Sum of 1 / weight over its flows, as in stride scheduling. */
    double pass = 0.0;
    time_us cold_next = 0;  ///< Earliest time of the next flow while cold.
  };

  /** What openings to a zone's targets show about the path to the zone. */
  struct zone_state {
    time_us last_answer = 0;  ///< Of any of its targets.
    /** Targets with an unanswered opening sent after `last_answer`. */
    std::set<flow_token> silent;
    time_us suspected_until = 0;
    /** Until then it is unknown which targets restarted while the path was
     * cut. */
    time_us restarts_unknown_until = 0;
    bool probing = false;  ///< First flow after a suspicion is under way.
  };

  /** Active flows at the own zone's targets of one service. */
  struct zone_load {
    uint32_t active_flows = 0;
    double average = 0.0;  ///< Exponentially weighted average.
    time_us updated = 0;
  };

  void add_load(time_us now, const forwarding_target& target, int change);
  double own_zone_utilization(
      time_us now,
      const std::string& service,
      const std::vector<const forwarding_target*>& candidates) const;
  bool owns_slot(const forwarding_target& target,
                 const std::vector<uint64_t>& others) const;
  /** @return Whether this balancer uses the target rather than others of equal
   * load while slots are scarce, so that balancers choose different ones. */
  bool prefers(time_us now, const forwarding_target& target) const;
  bool zone_suspected(time_us now, const std::string& zone) const;
  /** @return The pass of the target; of those of equal cost, the one with the
   * least pass gets the flow. */
  double pass_of(const forwarding_target& target) const;
  double cost_of(time_us now,
                 const forwarding_target& target,
                 bool preferred,
                 double weight) const;
  double health_cost(time_us now, const target_state& state) const;
  /** @return The cost of a recovering target that was probably not down. It
   * falls with the share of such targets: after a cut path they are the most,
   * and all balancers would choose the few others. */
  double light_recovery_cost(
      time_us now,
      const std::vector<const forwarding_target*>& candidates) const;
  bool silence_confirmed(const target_state& state) const;
  /** Reports an unanswered opening at the target unless peers would draw wrong
   * conclusions from it. */
  void add_silence_report(time_us now,
                          const forwarding_target& target,
                          time_us opened,
                          time_us left);
  /** @return True with this probability. */
  bool drawn(double probability) const;
  void penalize_recovery(time_us now,
                         time_us duration,
                         bool was_down,
                         target_state* state) const;
  bool zone_restarts_unknown(time_us now, const std::string& zone) const;
  void add_report(const forwarding_target& target,
                  target_observation news,
                  time_us age,
                  time_us left,
                  uint32_t failures);
  bool is_cold(time_us now, const forwarding_target& target) const;
  bool cold_allowed(time_us now, const forwarding_target& target);
  bool owns_cold_target(flow_token token) const;
  time_us cold_interval(const forwarding_target& target) const;
  const forwarding_target* hook_choice(
      time_us now,
      const std::vector<const forwarding_target*>& candidates) const;
  const forwarding_target* cheapest(
      time_us now,
      const std::vector<const forwarding_target*>& candidates,
      bool cold,
      flow_token avoid,
      double* cost);

  placement_options options_;
  random_source random_;
  target_weights weights_;
  uint64_t self_ = 0;
  std::vector<uint64_t> others_;
  std::unordered_map<flow_token, target_state> targets_;
  std::map<std::string, zone_state> zones_;
  std::set<std::string> silent_zones_;
  std::map<std::string, zone_load> loads_;  ///< By service.
  /** Highest pass at which a target got a flow, by service. */
  std::map<std::string, double> last_passes_;
  std::vector<target_report> reports_;  ///< Not yet taken.
  std::vector<uint64_t> zone_others_;
  bool registry_lost_ = false;
  time_us reports_from_ = 0;      ///< Earlier unanswered openings stay local.
  double other_zone_cost_ = 0.0;  ///< For the flow that is being placed.
  double light_recovery_cost_ = 0.0;  ///< The same.
  bool divides_slots_ = false;        ///< The same.
  bool chosen_as_owner_ = false;      ///< For the last flow that was placed.
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_PLACEMENT_BASE_H_
