/** @file target_report_type.h Observations of targets that balancers share. */
#ifndef TURMERIC_STATE_TARGET_REPORT_TYPE_H_
#define TURMERIC_STATE_TARGET_REPORT_TYPE_H_

#include <cstdint>
#include <vector>

#include "turmeric/state/segment_type.h"

namespace turmeric {

/** Kind of an observation of a target. */
enum class target_observation : uint8_t {
  silent,     ///< It left openings (first packets) unanswered.
  recovered,  ///< It answered after it had been silent.
  end
};

/** One observation of a target. Times are relative to the sending, because the
 * clocks of balancers differ. */
struct target_report {
  flow_token token = 0;
  target_observation observation = target_observation::silent;
  /** Time since the unanswered opening was sent (silent) or since the answer
   * arrived (recovered). */
  time_us age = 0;
  /** Time for which the sender still avoids the target (silent) or gives it
   * fewer new flows (recovered). */
  time_us remaining = 0;
  /** Silent: unanswered openings that are in no earlier report. Recovered: 1 if
   * the sender has confirmed that the target was gone, else 0. */
  uint32_t failures = 0;
};

/** What a balancer saw of a target's flows. */
enum class stall_kind : uint8_t {
  opening,   ///< An opening was left unanswered.
  request,   ///< A caller repeated a request: nothing was acknowledged since.
  progress,  ///< A flow moved on, so the target was alive and reachable.
  end
};

/** One such observation. Stalls of several callers and balancers show together
 * that a target is lost; one progress disproves all stalls before it. */
struct stall_report {
  flow_token token = 0;
  stall_kind kind = stall_kind::progress;
  /** Time since the opening or request was first sent to the target, or since
   * the progress. */
  time_us age = 0;
  /** Hash of the caller's IP address; 0 for progress. */
  uint32_t caller = 0;
};

/** Observations of a balancer's traffic thread for its peers. */
struct target_observations {
  std::vector<target_report> reports;
  std::vector<stall_report> stalls;

  bool empty() const { return reports.empty() && stalls.empty(); }
};

/** Observations of peers for the traffic thread. */
struct reported_targets {
  std::vector<target_report> reports;
  uint64_t reporter = 0;  ///< Hashed name of the peer that sent `stalls`.
  std::vector<stall_report> stalls;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_TARGET_REPORT_TYPE_H_
