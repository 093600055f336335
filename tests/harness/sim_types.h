/** @file sim_types.h Histories, faults and options of simulated runs. */
#ifndef TURMERIC_TESTS_HARNESS_SIM_TYPES_H_
#define TURMERIC_TESTS_HARNESS_SIM_TYPES_H_

#include <string>
#include <vector>

#include "turmeric/coordination/traffic_core_base.h"
#include "turmeric/state/config_type.h"

namespace turmeric::tests {

/** What a history line tells. */
enum class event_kind {
  change_accepted,    ///< A change was created on the platform.
  in_force,           ///< A balancer uses a revision.
  request_started,    ///< A target began to run a request.
  overload,           ///< A target got more work than it bears and refused it.
  failure_observed,   ///< A balancer heard a refusal or a failure of a target.
  packet_sent,        ///< A caller sent a packet of an opaque flow.
  packet_received,    ///< A target got a packet of an opaque flow.
  result,             ///< A caller got the one final result of a request.
  balancer_up,        ///< A balancer started.
  balancer_down,      ///< A balancer died or ended a graceful stop.
  target_cold,        ///< A target turned cold.
  disturbance_began,  ///< A disturbance of one balancer or of all began.
  disturbance_ended,  ///< It ended.
  end
};

/** One line of a history. Fields that do not apply stay at their default. */
struct history_event {
  time_us at = 0;
  event_kind kind = event_kind::end;
  int balancer = -1;
  int target = -1;
  uint64_t incarnation = 0;
  uint64_t request = 0;
  uint64_t flow = 0;
  int zone = -1;  ///< Of the target.
  std::string target_name;
  std::string service;         ///< Of the request or packet.
  std::string target_service;  ///< Of the target.
  time_us submitted = 0;       ///< Of a request.
  time_us deadline = 0;
  bool interactive = false;
  revision config_revision = 0;
  uint64_t config_hash = 0;  ///< Hash of a configuration.
  std::vector<config_entry> entries;
  result_code code = result_code::ok;
  bool repeatable = false;
  bool opens = false;
  bool first_opening = false;    ///< The first opening packet of the flow.
  bool target_has_flow = false;  ///< The target knows the flow of the packet.
  bool matches_request = false;  ///< The answer is the one of this request.
  bool cold = false;
  bool never_warm =
      false;  ///< The target has never been warm since it started.
};

using history = std::vector<history_event>;

/** Kinds of faults and of planned changes. */
enum class fault_kind {
  crash,         ///< Balancer dies; a new one starts later.
  freeze,        ///< Balancer is paused.
  planned_stop,  ///< Balancer stops gracefully; a new one starts later.
  cut,           ///< Two zones lose each other.
  cut_one_way,   ///< Only one direction is lost.
  platform_down,
  platform_slow,
  platform_loses_replies,  ///< Answers to writes are lost.
  zone_out,                ///< Withdrawn, and restored later.
  drain,                   ///< Target drained, and taken back later.
  add_target,
  target_cold,     ///< Turns cold without warning.
  target_restart,  ///< Dies and starts cold.
  operator_race,   ///< Two operators change one account at once.
  silent_path,     ///< A caller's path stops carrying answers.
  end
};

/** @return The name of @p kind. */
const char* name_of(fault_kind kind);

/** One fault of a run. */
struct fault {
  time_us at = 0;
  fault_kind kind = fault_kind::end;
  int subject = 0;
  int other = 0;
  time_us duration = 0;
};

/** How a run is made. Equal options give an equal history. */
struct sim_options {
  uint64_t seed = 1;
  bool planned_only = false;
  std::vector<fault> faults;
  uint32_t loss_percent = 0;
  uint32_t duplicate_percent = 0;
  time_us max_jitter = 2 * us_per_ms;
  time_us length = 18 * us_per_s;
  time_us min_request_interval =
      120 * us_per_ms;  ///< Of a caller, at the least.
  int notes_target_count = 6;
  int flow_pool_size = 0;  ///< Flows with heavy-tailed rates; 0 for short ones.
  bool opaque_flows = true;   ///< Whether callers have opaque flows as well.
  bool naive_caller = false;  ///< Retries at once and without a budget.
  size_t flow_choices = 3;
  uint32_t bulk_percent = 25;
  traffic_injected_faults injected_faults;
  bool inject_stuck_revision = false;  ///< Balancer 0 keeps its first revision.
};

/** One broken promise. */
struct violation {
  time_us at = 0;
  std::string text;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_SIM_TYPES_H_
