/** @file stall_evidence_base.h Decides which targets are lost for flows that
 * are open.
 *
 * Made for long flows, each with a request now and then, whose target falls
 * silent without closing them, alone or with its whole availability zone. Every
 * packet of an open flow goes to its target, so that callers would wait for
 * their deadlines. A balancer sees too few flows of one target to tell a dead
 * target from a lost packet or a slow answer, so balancers share what they see.
 *
 * A target is lost if several callers at several balancers have got nothing
 * from it, one of them not even the answer to an opening, which takes no slot
 * of the target, and no balancer has seen any flow of it move on since. A
 * balancer whose other flows do not move on either is no witness: its own link
 * may be the cause. A zone is lost if that holds for several of its targets
 * together and no heartbeat of its balancers has arrived since.
 */
#ifndef TURMERIC_COORDINATION_STALL_EVIDENCE_BASE_H_
#define TURMERIC_COORDINATION_STALL_EVIDENCE_BASE_H_

#include <array>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "turmeric/coordination/forwarding_table_base.h"
#include "turmeric/state/target_report_type.h"

namespace turmeric {

struct stall_options {
  /** Different callers that a loss takes. */
  size_t min_callers = 3;
  /** Balancers that a loss takes, this one included; one if there is no other.
   * Without a stall of its own, this balancer wants one more. */
  size_t min_reporters = 2;
  /** Targets of a zone with stalls that the loss of the zone takes. */
  size_t min_zone_targets = 2;
  /** Time left to the other balancers to report progress before a loss takes
   * effect: two intervals of reports and the delay between distant zones. */
  time_us contradiction_time = 100 * us_per_ms;
  /** Longest time that a report may have been under way. Subtracted from the
   * time of a peer's stall, so that it does not seem later than it was. */
  time_us report_delay = 50 * us_per_ms;
  /** Stalls older than this do not count. */
  time_us stall_lifetime = 2 * us_per_s;
  /** A loss lasts this long after its last stall. For as long again, requests
   * are tried, and one stall renews the loss. */
  time_us loss_time = 2 * us_per_s;
  /** Time after the first table and after a pause in which this balancer's
   * stalls do not count: routers still move flows between balancers. */
  time_us startup_grace = us_per_s;
  /** Time between two reports of progress on the same target. Below
   * `contradiction_time`, so that one always comes in time. */
  time_us progress_interval = 50 * us_per_ms;
  /** Most stalls kept for a zone and, of these, from one balancer for one
   * target, so that a faulty peer cannot displace the others. */
  size_t max_zone_stalls = 256;
  size_t max_reporter_stalls = 3;
};

/** What is lost for the flows of a target. */
enum class loss_scope : uint8_t { none, target, zone, end };

/** @return The name of @p scope in logs. */
std::string_view name_of(loss_scope scope);

/** What speaks for a loss. */
struct stall_tally {
  size_t callers = 0;
  size_t reporters = 0;
  size_t openings = 0;  ///< Unanswered ones.
  size_t targets = 0;   ///< With a stall.
  bool own = false;     ///< Whether this balancer has seen one of the stalls.
  time_us earliest = 0;
};

/** A stall that counts for a loss, for the log. */
struct counted_stall {
  stall_kind kind = stall_kind::request;
  uint64_t reporter = 0;  ///< Hashed name; 0: this balancer.
  uint32_t caller = 0;    ///< Hashed address.
  time_us age = 0;        ///< Since the opening or request was sent.
};

/** A loss that took effect, for the log. */
struct loss_event {
  loss_scope scope = loss_scope::none;
  flow_token token = 0;  ///< The target, or that of the last stall of a zone.
  std::string zone;
  stall_tally tally;
  std::vector<counted_stall> stalls;
  /** Time since the last progress seen here and reported by peers, of the
   * target or the zone; INT64_MAX if there was none. */
  time_us progress_age = INT64_MAX;
  time_us peer_progress_age = INT64_MAX;
};

/** A peer's stall that progress at this balancer disproves, for the log. */
struct disproof_event {
  flow_token token = 0;
  uint64_t reporter = 0;
  time_us stall_age = 0;
  time_us progress_age = 0;
  bool told = false;  ///< Whether the progress was reported to peers.
};

/** Collects stalls and progress of one balancer and its peers. For the traffic
 * thread only. */
class stall_evidence {
 public:
  /** @param zone Availability zone of this balancer. */
  stall_evidence(std::string zone, stall_options options)
      : zone_(std::move(zone)), options_(options) {}

  /** @param others The other live balancers. */
  void set_balancers(size_t others) { other_balancers_ = others; }

  /** Ignores stalls of this balancer for the grace period. Called with the
   * first table and after a pause of the process. */
  void restart(time_us now);

  /** Records that a caller got nothing from a target.
   * @param sent When the opening or request was first forwarded. */
  void on_stall(time_us now,
                const forwarding_target& target,
                stall_kind kind,
                uint32_t caller,
                time_us sent);

  /** Records that a flow of the target has moved on at this balancer. */
  void on_progress(time_us now, const forwarding_target& target);

  /** Takes an observation of a peer.
   * @param reporter Hashed name of the peer. */
  void on_report(time_us now,
                 const forwarding_target& target,
                 uint64_t reporter,
                 const stall_report& report);

  /** Records a heartbeat from a balancer of another zone. */
  void on_zone_heartbeat(time_us now, const std::string& zone);

  /** @return Whether the target is lost for its open flows. */
  loss_scope loss_of(time_us now, const forwarding_target& target);

  /** @return Observations for peers since the last call. */
  std::vector<stall_report> take_reports() {
    return std::exchange(reports_, {});
  }

  /** @return Losses that took effect since the last call. */
  std::vector<loss_event> take_losses() { return std::exchange(losses_, {}); }

  /** @return Peers' stalls disproved here since the last call. */
  std::vector<disproof_event> take_disproofs() {
    return std::exchange(disproofs_, {});
  }

  /** Removes the state of targets that are not in @p table or restarted. */
  void retain(const forwarding_table& table);

 private:
  struct stall {
    flow_token token = 0;
    stall_kind kind = stall_kind::request;
    uint32_t caller = 0;
    uint64_t reporter = 0;  ///< 0: this balancer.
    time_us sent = 0;
    bool qualified = false;  ///< Whether it counts; peers' stalls always do.
    bool reported = false;   ///< To peers.
  };

  struct loss_state {
    time_us complete_since = 0;  ///< 0: the evidence does not suffice.
    time_us earliest = 0;        ///< Stall of the evidence.
    bool in_effect = false;
    time_us until = 0;
  };

  struct target_state {
    time_us progress = 0;       ///< At this balancer.
    time_us peer_progress = 0;  ///< At any other.
    time_us progress_reported = 0;
    uint64_t zone = 0;             ///< Hashed name.
    uint64_t started_unix_ms = 0;  ///< Of the target's process.
    loss_state loss;
  };

  struct zone_state {
    std::vector<stall> stalls;
    time_us progress = 0;  ///< Of any of its targets at this balancer.
    time_us peer_progress = 0;
    time_us last_heartbeat = 0;
    flow_token progressed = 0;  ///< Target of `progress`.
    loss_state loss;
  };

  struct recent_progress {
    flow_token token = 0;
    time_us at = 0;
  };

  void add_stall(time_us now, const forwarding_target& target, stall added);
  void drop_old_stalls(time_us now, zone_state* zone) const;
  void drop_stalls_of(flow_token token);
  bool target_silent_since(const forwarding_target& target, time_us at) const;
  /** Reports the own stalls that have become evidence. */
  void report_stalls(time_us now, zone_state* zone);
  bool worth_reporting(const zone_state& zone, const stall& s) const;
  void update_losses(time_us now, const forwarding_target& target);
  void update_loss(time_us now,
                   bool complete,
                   time_us earliest,
                   loss_state* loss) const;
  static bool disproves(time_us progress, const loss_state& loss) {
    return loss.complete_since != 0 && progress > loss.earliest;
  }
  void report_progress(time_us now, flow_token token, time_us at);
  /** Reports progress at this balancer if peers may count the target or its
   * zone as lost. */
  void contradict_peers(time_us now, const forwarding_target& target);
  target_state& state_of(const forwarding_target& target);
  /** @param token Counts the stalls of one target; 0: of the whole zone.
   * @param since Counts stalls after this time only. */
  stall_tally count(time_us now,
                    const zone_state& zone,
                    flow_token token,
                    time_us since) const;
  /** @return The stalls that count(), at any time. */
  std::vector<counted_stall> counted_stalls(time_us now,
                                            const zone_state& zone,
                                            flow_token token) const;
  bool target_complete(const stall_tally& tally) const;
  bool zone_complete(const stall_tally& tally) const;
  bool enough_witnesses(const stall_tally& tally) const;
  void take_effect(time_us now,
                   loss_scope scope,
                   const forwarding_target& target,
                   loss_state* loss);
  /** @return Whether a flow of a target other than @p token has moved on at
   * this balancer since @p at. */
  bool others_progress_since(flow_token token, time_us at) const;

  std::string zone_;  ///< Of this balancer.
  stall_options options_;
  size_t other_balancers_ = 0;
  time_us counts_from_ = 0;  ///< Own stalls before this time do not count.
  std::unordered_map<flow_token, target_state> targets_;
  std::map<std::string, zone_state> zones_;
  /** Last progress of the two targets at which there was some last. */
  std::array<recent_progress, 2> recent_{};
  std::vector<stall_report> reports_;
  std::vector<loss_event> losses_;
  std::vector<disproof_event> disproofs_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_STALL_EVIDENCE_BASE_H_
