/** @file sim_types.h Histories, faults and options of simulated runs. */
#ifndef TURMERIC_TESTS_HARNESS_SIM_TYPES_H_
#define TURMERIC_TESTS_HARNESS_SIM_TYPES_H_

#include <string>
#include <vector>

#include "turmeric/coordination/traffic_core_base.h"
#include "turmeric/state/config_type.h"

namespace turmeric::tests {

enum class event_kind {
  change_accepted,   ///< A change was created on the platform.
  in_force,          ///< A balancer uses a revision.
  request_started,   ///< A target started a request.
  overload,          ///< A target refused a request above its limit.
  failure_observed,  ///< A balancer got a refusal or a failure from a target.
  packet_sent,       ///< A caller sent a packet of an opaque flow.
  packet_received,   ///< A target received a packet of an opaque flow.
  result,            ///< A caller got the final result of a request.
  balancer_up,
  balancer_down,  ///< A balancer crashed or finished a graceful stop.
  target_cold,
  disturbance_began,  ///< Pause of a balancer; cut or platform fault for all.
  disturbance_ended,
  end
};

/** Fields that do not apply to the event's kind keep their default. */
struct history_event {
  time_us at = 0;
  event_kind kind = event_kind::end;
  int balancer = -1;  ///< -1: all balancers.
  int target = -1;
  uint64_t incarnation = 0;  ///< Of the balancer.
  uint64_t request = 0;
  uint64_t flow = 0;
  int zone = -1;  ///< Of the target.
  std::string target_name;
  std::string service;  ///< Of the request or packet.
  std::string target_service;
  time_us submitted = 0;  ///< When the caller submitted the request.
  time_us deadline = 0;   ///< Of the request.
  bool interactive = false;
  revision config_revision = 0;       ///< Accepted or in force.
  uint64_t config_hash = 0;           ///< Of the configuration in force.
  std::vector<config_entry> entries;  ///< Of an accepted change.
  result_code code = result_code::ok;
  bool repeatable = false;  ///< The request may run more than once.
  bool opens = false;       ///< The packet is an opening.
  /** The packet is the first opening of the flow at this target. */
  bool first_opening = false;
  bool target_has_flow = false;  ///< The target has a record of the flow.
  bool matches_request = false;  ///< The answer has the body for this request.
  bool cold = false;             ///< The target was cold.
  bool never_warm = false;       ///< The target has never been warm so far.
};

using history = std::vector<history_event>;

/** Faults and planned changes. */
enum class fault_kind {
  crash,         ///< Balancer crashes; a new process starts later.
  freeze,        ///< Balancer process is paused.
  planned_stop,  ///< Balancer stops gracefully and is restarted later.
  cut,           ///< No packets between two zones.
  cut_one_way,   ///< No packets in one direction between two zones.
  platform_down,
  platform_slow,
  platform_loses_replies,  ///< Some replies to writes are lost.
  zone_out,                ///< Zone is withdrawn, and restored later.
  drain,                   ///< Target is drained, and restored later.
  add_target,
  target_cold,     ///< Target turns cold without notice.
  target_restart,  ///< Target crashes and restarts cold.
  operator_race,   ///< Two operators set one flag at once.
  silent_path,     ///< A caller's path carries no more answers.
  end
};

/** @return The name that prove prints. */
const char* name_of(fault_kind kind);

struct fault {
  time_us at = 0;
  fault_kind kind = fault_kind::end;
  int subject = 0;  ///< Number of a balancer, target, caller or zone, by kind.
  int other = 0;    ///< The other zone of a cut; may be platform_zone.
  time_us duration = 0;  ///< Downtime or time until it is undone.
};

/** Equal options give an equal history. */
struct sim_options {
  uint64_t seed = 1;
  /** Only the faults of planned runs; see plan_run(). */
  bool planned_only = false;
  std::vector<fault> faults;
  uint32_t loss_percent = 0;
  uint32_t duplicate_percent = 0;
  /** Upper bound of the random delay added to each packet. */
  time_us max_jitter = 2 * us_per_ms;
  /** Virtual time of the run; callers submit nothing new in its last 5 s. */
  time_us length = 18 * us_per_s;
  /** Interval between requests of one caller; it may take up to twice that. */
  time_us min_request_interval = 120 * us_per_ms;
  int notes_target_count = 6;  ///< Targets of the service club/notes.
  int flow_pool_size = 0;    ///< Flows with heavy-tailed rates; 0: short flows.
  bool opaque_flows = true;  ///< Callers also send packets of opaque flows.
  /** Callers retry at once, without a retry budget. */
  bool naive_caller = false;
  size_t flow_choices = 3;     ///< See traffic_options::flow_choices.
  uint32_t bulk_percent = 25;  ///< Share of requests of the bulk class.
  traffic_injected_faults injected_faults;  ///< Of all balancers.
  bool inject_stuck_revision = false;  ///< Balancer 0 keeps its first revision.
};

/** A violation of a promise. */
struct violation {
  time_us at = 0;
  std::string text;  ///< What was seen, for reports.
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_SIM_TYPES_H_
