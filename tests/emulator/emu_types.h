/** @file emu_types.h Options and reports of the emulator, which runs a
 * whole installation in virtual time. */
#ifndef TURMERIC_TESTS_EMULATOR_EMU_TYPES_H_
#define TURMERIC_TESTS_EMULATOR_EMU_TYPES_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/coordination/placement_base.h"
#include "turmeric/state/peer_message_type.h"

namespace turmeric::tests {

/** Invariants that the checkers verify during a run. */
enum class emu_invariant {
  service_isolation,  ///< No opening reaches a target of another service.
  open_flow,          ///< No reset or rerouting of a live target's open flow.
  draining,           ///< No late opening to a draining or gone target.
  withdrawal,         ///< No late opening to a withdrawn zone.
  configuration,      ///< No connected balancer uses an old configuration.
  no_regress,         ///< No balancer returns to an older configuration.
  cold_start,         ///< A cold target's openings stay within its bound.
  service,            ///< Undisturbed requests are served.
  end
};

/** @return The name of @p invariant. */
std::string_view name_of(emu_invariant invariant);

/** Failures and operations that a run can contain. */
enum class emu_disruption {
  balancer_kill,
  balancer_stop,  ///< Graceful, and started again.
  balancer_freeze,
  balancer_cut,  ///< From all but callers.
  kill_all,      ///< All balancers at once.
  zone_cut,
  zone_pair_cut,  ///< Two zones from each other.
  store_down,
  store_silent,   ///< Calls get no answer.
  store_refuses,  ///< Refuses calls of a third of the balancers.
  store_forgets,  ///< Drops its change history.
  target_crash,
  target_reset,    ///< Crashes; its host answers with resets.
  target_restart,  ///< Restarts under its name, cold.
  target_replace,  ///< Crashes; its address goes to another service.
  target_drain,
  withdraw,   ///< A zone; its targets return cold.
  configure,  ///< Adds or removes a route.
  overwrite,  ///< Another writer leaves an unreadable target entry.
  /** The store is down and comes back from a copy some seconds old. Not drawn
   * by random_run(), so that its seeds keep their meaning. */
  store_restore,
  // Drawn for runs with streams only.
  lossy_link,   ///< A balancer loses a third of its packets.
  lossy_zone,   ///< The same for all balancers of a zone.
  target_slow,  ///< Takes eight times as long for its work.
  // Drawn for large fleets only.
  balancer_slow,  ///< Takes some milliseconds for each packet and message.
  // Not drawn.
  target_silent,  ///< Gets no packets; its heartbeats still arrive.
  end
};

/** @return The name of @p disruption. */
std::string_view name_of(emu_disruption disruption);

/** One disruption of a run; `start` counts from the first request. */
struct emu_event {
  emu_disruption kind = emu_disruption::end;
  time_us start = 0;
  time_us duration = 0;
  uint64_t selector = 0;  ///< Selects the affected balancer, zone or target.
};

/** Faults injected on purpose, each of which a checker must find. */
enum class emu_injected_fault {
  none,
  ignore_draining,
  ignore_withdrawals,
  ignore_configuration,
  cold_as_warm,
  guess_tokens,         ///< Unknown tokens go to a random target.
  reset_open_flows,     ///< Unknown tokens are reset.
  wrong_service,        ///< Openings go to a target of any service.
  old_configuration,    ///< Makes some new tables look like a regression.
  ignore_era,           ///< Answers of the store name no era.
  reset_stalled_flows,  ///< Flows whose request is repeated are reset.
  end
};

/** @return The name of @p fault. */
std::string_view name_of(emu_injected_fault fault);

/** Requests of one route. */
struct emu_request_class {
  std::string name;
  std::string service;
  bool safe = true;
  double weight = 1.0;
  time_us mean_work = 15 * us_per_ms;  ///< Mean; uniform within half of it.
  time_us latency_objective = 100 * us_per_ms;
  time_us deadline = 500 * us_per_ms;
  uint32_t priority = 0;  ///< Of its route; 0 is the highest.
};

/** A service; its targets are spread over the zones round-robin. */
struct emu_service {
  std::string name;
  size_t targets = 0;
  /** Given to the targets in turn; work takes its usual time divided by the
   * speed. Empty: 1 for all. */
  std::vector<double> speeds = {};
  /** Targets in each zone instead of round-robin; their sum is `targets`. */
  std::vector<size_t> zone_targets = {};
};

/** A time in which the request rate is multiplied by a factor. */
struct emu_burst {
  time_us start = 0;  ///< From the first request on.
  time_us duration = 0;
  double factor = 1.0;        ///< Above 0.
  std::string request_class;  ///< Empty: all classes.
};

/** Size, load and latencies of an installation. */
struct emu_shape {
  size_t zones = 3;
  size_t balancers = 6;
  std::vector<emu_service> services = {{"notes", 14}, {"archive", 4}};
  std::vector<emu_request_class> request_classes = {
      {"card", "notes", true, 7.0, 15 * us_per_ms},
      {"entry", "notes", false, 2.0, 20 * us_per_ms, 120 * us_per_ms,
       600 * us_per_ms},
      {"download", "archive", true, 0.6, 5 * us_per_ms, 500 * us_per_ms,
       3 * us_per_s}};
  double requests_per_s = 400.0;  ///< All callers together.
  std::vector<emu_burst> bursts;
  /** Share of the requests that come from one caller, which has one address
   * and is in one zone. */
  double greedy_share = 0.0;
  /** Further callers of the same kind, with equal shares of the other requests.
   * 0: each of these requests comes from another address. A caller has 64,512
   * ports, so that its flows must be fewer in 1.5 s, or balancers take openings
   * for copies of earlier ones. */
  size_t callers = 0;
  uint32_t slots = 2;
  size_t queue_capacity = 8;
  /** A target resets openings while it holds this many flows that await their
   * request or its answer. 0: it never does. */
  size_t max_held_flows = 0;
  time_us zone_latency = 100;
  time_us cross_zone_latency = 1400;
  time_us caller_latency = us_per_ms;
  time_us store_round_trip = 4 * us_per_ms;
  /** Rate limit of the store; it throttles further calls. */
  uint64_t store_calls_per_s = 2000;
  time_us heartbeat_interval = 770 * us_per_ms;
  double max_cold_openings_per_s = 5.0;
  bool uneven_callers = false;  ///< Half of the callers are in the first zone.
  /** Callers that keep a flow open and send requests of the first class on it,
   * with pauses in between. */
  size_t streams = 0;
  time_us stream_pause = us_per_s;  ///< Mean; uniform up to twice of it.
  /** Requests and flows, together, after which the emulator forgets a flow.
   * Must be above the number within a flow's life. */
  size_t flow_history = 20000;
};

/** A run. */
struct emu_options {
  emu_shape shape;
  uint64_t seed = 1;
  time_us warm_up = 4 * us_per_s;  ///< Time before the first request.
  time_us duration = 20 * us_per_s;
  /** Time without new requests at the end of `duration`, in which those under
   * way end. */
  time_us drain_time = 0;
  /** Whether balancers detect full targets and learn weights of targets. */
  bool overload_control = false;
  /** Whether, with overload control, all targets keep equal weights. */
  bool equal_weights = false;
  /** Whether about half of the starts are of balancers without the features of
   * this release, and the configuration has many idle routes, so that its
   * changes are pushed as patches. */
  bool mixed_releases = false;
  std::vector<emu_event> events;
  emu_injected_fault injected_fault = emu_injected_fault::none;
  std::string followed_target;  ///< Target to report on, or empty.
  /** Called for each message between balancers with its sender's number. */
  std::function<void(size_t from, const peer_message&)> message_observer;
  /** Makes the placement hook of a balancer; null for the default. */
  std::function<placement_hook(size_t balancer)> make_placement_hook;
};

/** A violated invariant. */
struct emu_violation {
  emu_invariant invariant = emu_invariant::end;
  time_us at = 0;
  std::string detail;
};

/** Outcomes of the requests of one class. */
struct emu_outcome {
  uint64_t requests = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  uint64_t failed = 0;
  std::vector<time_us> latencies;
};

/** Results of a run. */
struct emu_report {
  std::vector<emu_violation> violations;
  std::vector<emu_outcome> outcomes;  ///< One per request class, in its order.
  emu_outcome streams;  ///< Requests of streams, also in `outcomes`.
  /** Of callers with an address of their own, also in `outcomes`: first the
   * greedy one, then the further ones. */
  std::vector<emu_outcome> callers;
  uint64_t attempts = 0;
  /** Attempts that full targets rejected as not run, and by a reset of the
   * opening. */
  uint64_t rejected_requests = 0;
  uint64_t rejected_openings = 0;
  /** Times from the arrivals of openings at balancers to their refusals. */
  std::vector<time_us> refusal_times;
  uint64_t resets = 0;  ///< Of open flows, by balancers.
  uint64_t openings = 0;
  uint64_t refused = 0;
  uint64_t registry_calls = 0;
  /** The same by kind and cause. */
  std::map<std::pair<directory_kind, registry_call_cause>, uint64_t>
      calls_by_cause;
  uint64_t peer_messages = 0;
  /** Most loaded target over the mean of the first service, by openings in a
   * second; mean over all seconds. */
  double imbalance = 0;
  /** Time from each return of the store from a copy until every balancer that
   * runs and is not cut off had all kinds in the new era. */
  std::vector<time_us> restore_times;
  /** Calls to the store in these times. */
  uint64_t restore_calls = 0;
  /** Log of the followed target. */
  std::vector<std::string> followed_log;
  /** Requests asked and served in time, by the second they were asked in. */
  std::vector<std::pair<uint64_t, uint64_t>> by_second;
  /** The same by tenths of a second. */
  std::vector<std::pair<uint64_t, uint64_t>> by_tenth_second;
};

/** Time bounds that the users' platform requires. */
constexpr time_us emu_grace_period = 4 * us_per_s;
constexpr time_us emu_drain_bound = 3 * us_per_s;
constexpr time_us emu_config_bound = 3 * us_per_s;
constexpr time_us emu_withdraw_bound = 5 * us_per_s;

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EMULATOR_EMU_TYPES_H_
