/** @file target_weights.cpp Weights of targets by their answer times. */
#include "turmeric/coordination/overload/target_weights_base.h"

#include <algorithm>
#include <cmath>

namespace turmeric {

void target_weights::decay(time_us now, decaying_mean* mean) const {
  const double elapsed = static_cast<double>(now - mean->updated) /
                         static_cast<double>(options_.half_life);
  const double factor = std::exp2(-std::max(elapsed, 0.0));
  mean->count *= factor;
  mean->sum *= factor;
  mean->updated = now;
}

void target_weights::add(time_us now,
                         const forwarding_target& target,
                         double cost) {
  for (decaying_mean* mean :
       {&targets_[target.token], &services_[target.entry.service]}) {
    decay(now, mean);
    mean->count += 1.0;
    mean->sum += cost;
  }
}

void target_weights::add_answer(time_us now,
                                const forwarding_target& target,
                                double ratio) {
  // A cold target is slow for a known time only.
  if (ratio == 0.0 || now < target.entry.cold_until)
    return;
  const bool failed = ratio < options_.failure_ratio;
  add(now, target,
      failed ? options_.failed_cost : std::min(ratio, options_.failed_cost));
}

double target_weights::weight(time_us now,
                              const forwarding_target& target) const {
  const auto it = targets_.find(target.token);
  if (it == targets_.end())
    return 1.0;
  decaying_mean own = it->second;
  decay(now, &own);
  if (own.count < options_.min_answers)
    return 1.0;
  const auto service = services_.find(target.entry.service);
  if (service == services_.end())
    return 1.0;  // The name was registered for another service since.
  const double service_mean = service->second.sum / service->second.count;
  const double mean = (own.sum + options_.prior_answers * service_mean) /
                      (own.count + options_.prior_answers);
  const double weight = service_mean / mean;
  if (weight < options_.min_difference && weight > 1 / options_.min_difference)
    return 1.0;
  return std::clamp(weight, options_.min_weight, options_.max_weight);
}

void target_weights::retain(const forwarding_table& table) {
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (table.target_of(it->first) == nullptr)
      it = targets_.erase(it);
    else
      ++it;
  }
}

}  // namespace turmeric
