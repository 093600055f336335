/** @file target_report_type.h Observations of targets that balancers share. */
#ifndef TURMERIC_STATE_TARGET_REPORT_TYPE_H_
#define TURMERIC_STATE_TARGET_REPORT_TYPE_H_

#include <cstdint>

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

}  // namespace turmeric

#endif  // TURMERIC_STATE_TARGET_REPORT_TYPE_H_
