/** @file placement_base.h Chooses the target of a new flow.
 *
 * Answers a load of short flows of some tens of milliseconds each, spread over
 * a few balancers that see their own flows only, before targets with a couple
 * of slots each, of which some may be dead, cold or out of reach. The target
 * with the least cost gets the flow: its flows in hand over its slots, plus
 * penalties for another availability zone and for openings left unanswered.
 * Silence of several targets of a zone, with no answer from there since, is
 * taken as a sign against the way to the zone and not against its targets.
 * Penalties only order the targets, so that nothing is ever ruled out for lack
 * of evidence that the rest is better.
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
#include "turmeric/state/target_report_type.h"

namespace turmeric {

/** Chooses among targets that are open and warm; replaces the own choice.
 * @param in_hand Flows in hand at a target, as seen by this balancer. */
using placement_hook = std::function<const forwarding_target*(
    const std::vector<const forwarding_target*>& open,
    const std::function<uint32_t(flow_token)>& in_hand)>;

/** Weights and times of placement. */
struct placement_options {
  placement_hook pick;  ///< For experiments; usually empty.
  std::string zone;     ///< Availability zone of this balancer.
  /** Cost of a target in another zone, in shares of its slots, while the own
   * zone is idle. */
  double other_zone_cost = 0.75;
  /** Share of the own zone's slots in use at which that cost has vanished: a
   * balancer sees a part of the load only, and queues form above this. */
  double own_zone_limit = 0.5;
  /** Time over which the load of the own zone is averaged. */
  time_us load_time = us_per_s;
  /** Discount of targets whose slots this balancer shares with few others: less
   * than one flow in hand, so that it only keeps balancers apart. */
  double share_discount = 0.2;
  /** Cost of a target that left openings unanswered; more than any queue. */
  double doubt_cost = 100.0;
  /** First time for which an unanswered opening is held against a target:
   * three times the delay of the callers' first repetition. */
  time_us doubt_time = 600 * us_per_ms;
  /** Longest such time: a dead target leaves the registry by then. */
  time_us max_doubt_time = 4 * us_per_s;
  /** Cost of a target in a zone that seems out of reach: below that of a target
   * that is known to be silent itself. */
  double silent_zone_cost = 50.0;
  /** Targets of a zone that must be silent for it to count as out of reach. */
  size_t min_silent_targets = 2;
  /** Time between single flows that probe such a zone. */
  time_us zone_probe_time = us_per_s;
  /** Cost of a target that others saw silent once, and of one that answers
   * after that: as much as a full target's, since one lost packet looks the
   * same. */
  double reported_cost = 1.0;
  /** Unanswered openings, seen here and by others, that confirm a silence. */
  uint32_t confirmed_failures = 2;
  /** Time after the first table in which silence is not told: routers still
   * move flows between balancers that start together, so that answers to one's
   * openings show at another, and callers have given up. */
  time_us startup_grace = us_per_s;
  /** Time by which others leave the next try to the one that reported; its
   * answer, or the lack of one, is known and told by then. */
  time_us report_grace = 200 * us_per_ms;
  /** Cost of a target that answers again after a silence. It may have started
   * anew and be cold without its entry saying so yet. */
  double recovering_cost = 10.0;
  /** Silent openings in a row after which a target counts as gone meanwhile. */
  uint32_t gone_failures = 1;
  /** Time for which it is spared; the usual length of a cold start. */
  time_us recovering_time = 2 * us_per_s;
  /** New flows a second that a cold target may get beyond its own rate, from
   * all balancers together; `cold_slack` of the platform. */
  double cold_slack = 5.0;
  /** Factor on the rate of a cold target; `cold_overage` of the platform. */
  double cold_overage = 1.5;
};

/** How a flow was placed, for the log. */
struct placement_choice {
  const forwarding_target* target = nullptr;  ///< Null if none may take it.
  double cost = 0.0;
  size_t candidates = 0;
};

/** Loads and evidence about targets, and the choice among them. */
class placement {
 public:
  placement(placement_options options, random_source random);

  /** Chooses a target for a new flow.
   * @param avoid Token of a target to avoid if there is another, or 0. */
  placement_choice choose(time_us now,
                          const forwarding_table& table,
                          const std::string& service,
                          flow_token avoid);

  /** A flow was sent to the target. */
  void flow_opened(time_us now, const forwarding_target& target);

  /** A flow no longer keeps the target busy. */
  void flow_ended(time_us now, const forwarding_target& target);

  /** A flow keeps the target busy again. */
  void flow_resumed(time_us now, const forwarding_target& target);

  /** The caller got an answer from the target. */
  void answered(time_us now, const forwarding_target& target);

  /** An opening sent to the target has been left unanswered.
   * @param opened When it was sent. */
  void unanswered(time_us now, const forwarding_target& target, time_us opened);

  /** The first table has come; what is silent is told from some time later on.
   */
  void started(time_us now) { tells_from_ = now + options_.startup_grace; }

  /** Another balancer told what it saw of the target. */
  void reported(time_us now,
                const forwarding_target& target,
                const target_report& report);

  /** @return What is worth telling other balancers since the last call. */
  std::vector<target_report> take_reports() {
    return std::exchange(reports_, {});
  }

  /** @return Unanswered openings at the target that others told of. */
  uint32_t reported_failures(flow_token token) const;

  /** @return Flows in hand at the target, as seen here. */
  uint32_t active_flows(flow_token token) const;

  /** @return Openings in a row that the target left unanswered. */
  uint32_t failures(flow_token token) const;

  /** Sets the other balancers of the own zone. */
  void set_zone_balancers(std::vector<uint64_t> others);

  /** Sets the zones whose balancers are not heard. */
  void set_silent_zones(std::set<std::string> zones) {
    silent_zones_ = std::move(zones);
  }

  /** Sets whether the registry can't tell which targets are cold. */
  void set_registry_lost(bool lost) { registry_lost_ = lost; }

  /** Sets the balancers that share the cold targets.
   * @param self This balancer; it need not be among @p others. */
  void set_balancers(uint64_t self, std::vector<uint64_t> others);

  /** Forgets targets that are not in @p table. */
  void retain(const forwarding_table& table);

 private:
  struct evidence {
    uint32_t in_hand = 0;
    uint32_t failures = 0;  ///< Unanswered openings since the last answer.
    time_us doubted_until = 0;
    time_us answered = 0;   ///< Its last answer to any flow here.
    uint32_t reported = 0;  ///< Unanswered openings of others since.
    time_us reported_until = 0;
    bool probing = false;  ///< A first flow after a doubt is on its way.
    time_us recovering_until = 0;
    double recovering_cost = 0.0;
    time_us cold_next = 0;  ///< Earliest time of the next flow while cold.
  };

  /** What openings to a zone's targets showed of the way there. */
  struct zone_evidence {
    time_us answered = 0;  ///< Last answer of any of its targets.
    /** Targets silent since. */
    std::set<flow_token> silent;
    time_us doubted_until = 0;
    /** The way there was cut until lately; which of its targets started anew
     * meanwhile is not known. */
    time_us unsure_until = 0;
    bool probing = false;
  };

  /** Flows in hand at the own zone's targets of one service, averaged. */
  struct zone_load {
    uint32_t in_hand = 0;
    double average = 0.0;
    time_us updated = 0;
  };

  void add_load(time_us now, const forwarding_target& target, int change);
  double own_zone_use(
      time_us now,
      const std::string& service,
      const std::vector<const forwarding_target*>& candidates) const;
  bool shares(const forwarding_target& target,
              const std::vector<uint64_t>& others) const;
  bool zone_doubted(time_us now, const std::string& zone) const;
  double cost_of(time_us now, const forwarding_target& target) const;
  double evidence_cost(time_us now, const evidence& e) const;
  bool confirmed(const evidence& e) const;
  void spare(time_us now, time_us time, bool gone, evidence* e) const;
  bool zone_unsure(time_us now, const std::string& zone) const;
  void tell(const forwarding_target& target,
            target_news news,
            time_us age,
            time_us left,
            uint32_t failures);
  bool cold_allowed(time_us now, const forwarding_target& target);
  bool owns_cold(flow_token token) const;
  time_us cold_interval(const forwarding_target& target) const;
  const forwarding_target* picked(
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
  uint64_t self_ = 0;
  std::vector<uint64_t> others_;
  std::unordered_map<flow_token, evidence> evidence_;
  std::map<std::string, zone_evidence> zones_;
  std::set<std::string> silent_zones_;
  std::map<std::string, zone_load> loads_;  ///< By service.
  std::vector<target_report> reports_;      ///< Not yet told.
  std::vector<uint64_t> zone_others_;
  bool registry_lost_ = false;
  time_us tells_from_ = 0;
  double zone_cost_ = 0.0;  ///< Of another zone, for the flow being placed.
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_PLACEMENT_BASE_H_
