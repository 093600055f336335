/** @file concurrency_limit_base.h Limit on the flows of a service that await a
 * response, set while its targets are saturated. */
#ifndef TURMERIC_COORDINATION_OVERLOAD_CONCURRENCY_LIMIT_BASE_H_
#define TURMERIC_COORDINATION_OVERLOAD_CONCURRENCY_LIMIT_BASE_H_

#include <cstdint>

#include "turmeric/coordination/overload/load_monitor_base.h"

namespace turmeric {

struct concurrency_limit_options {
  /** The first limit, as a share of the flows in flight at saturation. The
   * targets' queues are filling then, and most flows wait in them. */
  double initial_share = 0.4;
  /** Responses between two changes for each flow of the limit: one change for
   * two turns of the flows in flight. */
  double responses_per_flow = 2.0;
  /** Bounds of these responses. With many balancers, each gets few responses;
   * 16 take it a third of a second. */
  double min_responses = 4.0;
  double max_responses = 16.0;
  double decrease = 0.8;   ///< Factor at a change while saturated.
  double increase = 1.1;   ///< Factor at a change when it is not.
  double increment = 1.0;  ///< Added to that, for small limits.
  /** The limit is lifted after this time without need of it. */
  time_us idle_time = us_per_s;
  /** The limit is lifted without a response for this time, when the load is
   * unknown; all targets may have died. */
  time_us max_age = us_per_s;
};

/** Limit of one service at one balancer. It starts unset. */
class concurrency_limit {
 public:
  bool is_set() const { return limit_ > 0.0; }

  /** @return The limit, or -1 without one. */
  double value() const { return limit_ > 0.0 ? limit_ : -1.0; }

  /** @return How many more flows it allows with @p in_flight; all without a
   * limit. */
  uint32_t room(uint32_t in_flight) const;

  /** Adapts the limit. @param answered Whether a target responded; else it may
   * have reset an opening. */
  void on_outcome(time_us now,
                  service_load load,
                  bool answered,
                  uint32_t in_flight,
                  const concurrency_limit_options& options);

  /** Records that an opening waits or is refused. */
  void on_wait(time_us now);

  /** Lifts the limit if it is not needed any more. */
  void lift_if_idle(time_us now,
                    service_load load,
                    const concurrency_limit_options& options);

  /** Lifts the limit if the load has become unknown. */
  void lift_if_stale(time_us now, const concurrency_limit_options& options);

 private:
  /** @return The responses after which the limit changes. */
  double responses_per_change(const concurrency_limit_options& options) const;

  double limit_ = 0.0;  ///< 0 if it is not set.
  uint32_t responses_ = 0;
  bool reached_ = false;  ///< Since the last change.
  time_us last_response_ = 0;
  time_us last_wait_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_OVERLOAD_CONCURRENCY_LIMIT_BASE_H_
