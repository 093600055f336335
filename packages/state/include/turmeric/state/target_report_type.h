/** @file target_report_type.h What one balancer tells others of a target. */
#ifndef TURMERIC_STATE_TARGET_REPORT_TYPE_H_
#define TURMERIC_STATE_TARGET_REPORT_TYPE_H_

#include <cstdint>

#include "turmeric/state/segment_type.h"

namespace turmeric {

/** What was seen of a target. */
enum class target_news : uint8_t {
  silent,   ///< It left openings unanswered.
  answers,  ///< It answered after such a silence.
  end
};

/** One observation of a target; times are relative, since clocks differ. */
struct target_report {
  flow_token token = 0;
  target_news news = target_news::silent;
  /** Time since the unanswered opening was sent, or since the answer. */
  time_us age = 0;
  /** Time for which its sender goes on to avoid or spare the target. */
  time_us left = 0;
  /** Unanswered openings that no earlier report told of; in news of an answer,
   * 1 if its sender is sure that the target was gone, else 0. */
  uint32_t failures = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_TARGET_REPORT_TYPE_H_
