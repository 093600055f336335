/** @file concurrency_limit.cpp Changes of the limit with the load. */
#include "turmeric/coordination/overload/concurrency_limit_base.h"

#include <algorithm>

namespace turmeric {

uint32_t concurrency_limit::room(uint32_t in_flight) const {
  if (!is_set())
    return UINT32_MAX;
  const auto whole = static_cast<uint32_t>(limit_);
  return whole > in_flight ? whole - in_flight : 0;
}

double concurrency_limit::responses_per_change(
    const concurrency_limit_options& options) const {
  return std::clamp(options.responses_per_flow * limit_, options.min_responses,
                    options.max_responses);
}

void concurrency_limit::on_outcome(time_us now,
                                   service_load load,
                                   bool answered,
                                   uint32_t in_flight,
                                   const concurrency_limit_options& options) {
  if (answered)
    last_response_ = now;
  if (!is_set()) {
    if (load != service_load::overloaded)
      return;
    limit_ = std::max(1.0, options.initial_share * in_flight);
    responses_ = 0;
    reached_ = false;
    last_wait_ = last_response_ = now;
    return;
  }
  lift_if_idle(now, load, options);
  if (!is_set())
    return;
  reached_ = reached_ || room(in_flight) == 0;
  if (++responses_ < responses_per_change(options))
    return;
  if (load >= service_load::saturated)
    limit_ = std::max(1.0, limit_ * options.decrease);
  // A limit that is not reached has no effect on the load. If it rose, it would
  // be far too high at the next saturation.
  else if (reached_)
    limit_ = limit_ * options.increase + options.increment;
  responses_ = 0;
  reached_ = false;
}

void concurrency_limit::on_wait(time_us now) {
  reached_ = true;
  last_wait_ = now;
}

void concurrency_limit::lift_if_idle(time_us now,
                                     service_load load,
                                     const concurrency_limit_options& options) {
  if (load < service_load::saturated && now - last_wait_ >= options.idle_time)
    limit_ = 0.0;
}

void concurrency_limit::lift_if_stale(
    time_us now,
    const concurrency_limit_options& options) {
  if (now - last_response_ > options.max_age)
    limit_ = 0.0;
}

}  // namespace turmeric
