/** @file emu_types.h What the emulator of an installation plays and reports. */
#ifndef TURMERIC_TESTS_EMULATOR_EMU_TYPES_H_
#define TURMERIC_TESTS_EMULATOR_EMU_TYPES_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/coordination/placement_base.h"
#include "turmeric/state/peer_message_type.h"

namespace turmeric::tests {

/** Promises that the checkers watch. */
enum class emu_invariant {
  service_isolation,  ///< No opening reaches a target of another service.
  open_flow,          ///< An open flow of a living target is left alone.
  draining,           ///< No opening reaches a draining or gone target late.
  withdrawal,         ///< No opening reaches a withdrawn zone late.
  configuration,      ///< No balancer in touch uses an old configuration.
  no_regress,         ///< No balancer goes back to an older one.
  cold_start,         ///< A cold target gets no more than it can bear.
  service,            ///< Undisturbed requests are served.
  end
};

/** @return The name of @p rule. */
std::string_view name_of(emu_invariant rule);

/** Troubles that can be played. */
enum class emu_disruption {
  balancer_kill,
  balancer_stop,  ///< Graceful, and started again.
  balancer_freeze,
  balancer_cut,  ///< From everything but callers.
  kill_all,      ///< All balancers at once.
  zone_cut,
  zone_pair_cut,  ///< Two zones from each other.
  store_down,
  store_silent,   ///< Calls get no answer.
  store_refuses,  ///< Some balancers only.
  store_forgets,  ///< The history is dropped.
  target_crash,
  target_reset,    ///< Crashes, and its machine answers with resets.
  target_restart,  ///< Starts again under its name, cold.
  target_replace,  ///< Crashes; its address goes to another service.
  target_drain,
  withdraw,   ///< A zone, and its targets are cold at its return.
  configure,  ///< Adds or removes a route.
  overwrite,  ///< Another writer spoils a target's entry.
  end
};

/** @return The name of @p trouble. */
std::string_view name_of(emu_disruption trouble);

/** One trouble of a run. */
struct emu_event {
  emu_disruption kind = emu_disruption::end;
  time_us start = 0;
  time_us duration = 0;
  uint64_t selector = 0;  ///< Chooses what it strikes.
};

/** Faults made on purpose, which a checker must find. */
enum class emu_injected_fault {
  none,
  ignore_draining,
  ignore_withdrawals,
  ignore_configuration,
  cold_as_warm,
  guess_tokens,       ///< Unknown tokens go to some target.
  reset_open_flows,   ///< Unknown tokens are reset.
  wrong_service,      ///< Openings go to a target of any service.
  old_configuration,  ///< Goes back to the first configuration at times.
  end
};

/** @return The name of @p plant. */
std::string_view name_of(emu_injected_fault plant);

/** A kind of request. */
struct emu_request_class {
  std::string name;
  std::string service;
  bool safe = true;
  double weight = 1.0;
  time_us mean_work = 15 * us_per_ms;  ///< Mean; uniform within half of it.
  time_us latency_objective = 100 * us_per_ms;
  time_us deadline = 500 * us_per_ms;
};

/** Targets of a service, spread over the zones in turn. */
struct emu_service {
  std::string name;
  size_t targets = 0;
};

/** An installation. */
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
  double requests_per_s = 400.0;  ///< Requests a second in all.
  uint32_t slots = 2;
  size_t queue_capacity = 8;
  time_us zone_latency = 100;
  time_us cross_zone_latency = 1400;
  time_us caller_latency = us_per_ms;
  time_us store_round_trip = 4 * us_per_ms;
  /** Calls a second that the store takes; more are turned away. */
  uint64_t store_calls_per_s = 2000;
  time_us heartbeat_interval = 770 * us_per_ms;
  double max_cold_openings_per_s = 5.0;
  bool uneven_callers = false;  ///< Half of the callers are in the first zone.
};

/** A run. */
struct emu_options {
  emu_shape shape;
  uint64_t seed = 1;
  time_us warm_up = 4 * us_per_s;  ///< Before the first request.
  time_us duration = 20 * us_per_s;
  std::vector<emu_event> events;
  emu_injected_fault injected_fault = emu_injected_fault::none;
  std::string
      followed_target;  ///< Target whose openings are reported; or empty.
  /** Sees every message between balancers, and its sender's number. */
  std::function<void(size_t from, const peer_message&)> on_peer_message;
  /** Makes the placement hook of a balancer; null for the product's choice. */
  std::function<placement_hook(size_t balancer)> make_placement_hook;
};

/** A broken promise. */
struct emu_violation {
  emu_invariant invariant = emu_invariant::end;
  time_us at = 0;
  std::string detail;
};

/** What callers of one kind of request got. */
struct emu_outcome {
  uint64_t requests = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  uint64_t failed = 0;
  std::vector<time_us> latencies;
};

/** What happened in a run. */
struct emu_report {
  std::vector<emu_violation> violations;
  std::vector<emu_outcome> outcomes;  ///< In the order of the shape's.
  uint64_t openings = 0;
  uint64_t refused = 0;
  uint64_t registry_calls = 0;
  uint64_t peer_messages = 0;
  /** Most loaded target over the mean of the first service, by openings in a
   * second; mean over all seconds. */
  double imbalance = 0;
  /** What happened to the target that is followed. */
  std::vector<std::string> followed_log;
  /** Requests asked and served in time, by the second they were asked in. */
  std::vector<std::pair<uint64_t, uint64_t>> by_second;
  /** The same by tenths of a second. */
  std::vector<std::pair<uint64_t, uint64_t>> by_tenth_second;
};

/** Timing rules of the users' platform. */
constexpr time_us emu_grace_period = 4 * us_per_s;
constexpr time_us emu_drain_bound = 3 * us_per_s;
constexpr time_us emu_config_bound = 3 * us_per_s;
constexpr time_us emu_withdraw_bound = 5 * us_per_s;

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EMULATOR_EMU_TYPES_H_
