/** @file target_weights_base.h Learns which targets of a service answer slower
 * than the others or fail, and gives them a smaller share of new flows. */
#ifndef TURMERIC_COORDINATION_OVERLOAD_TARGET_WEIGHTS_BASE_H_
#define TURMERIC_COORDINATION_OVERLOAD_TARGET_WEIGHTS_BASE_H_

#include <string>
#include <unordered_map>

#include "turmeric/coordination/forwarding_table_base.h"

namespace turmeric {

struct target_weight_options {
  /** Time after which an answer counts half. A balancer of a large fleet gets
   * one answer of a target in some seconds. */
  time_us half_life = 20 * us_per_s;
  /** Answers of a target below which its weight stays 1. */
  double min_answers = 4.0;
  /** Answers at the service's mean that are added to those of each target, so
   * that a few answers change its weight a little only. */
  double prior_answers = 2.0;
  /** A target whose mean answer time is within this factor of the service's
   * mean has weight 1: work differs from request to request. */
  double min_difference = 1.4;
  /** Least weight: a slow or failing target keeps getting some flows, which
   * show when it has recovered. */
  double min_weight = 0.125;
  double max_weight = 2.5;
  /** Answers that take less than this share of the usual time are failures: the
   * target rejected the request without working on it. */
  double failure_ratio = 0.2;
  /** What a failure counts, in usual answer times; also the bound of late and
   * missing answers. */
  double failed_cost = 8.0;
};

/** Weights of targets in placement, learned from the answers to this balancer's
 * requests. Answer times are given in units of the usual time of their route,
 * so that heavy and light requests compare. */
class target_weights {
 public:
  explicit target_weights(target_weight_options options) : options_(options) {}

  /** Records an answer of @p target, or that none came so far. @param ratio See
   * load_monitor::add(). */
  void add_answer(time_us now, const forwarding_target& target, double ratio);

  /** @return The share of new flows for @p target, relative to 1 for one that
   * is like the others of its service. */
  double weight(time_us now, const forwarding_target& target) const;

  /** Removes what is known about targets that are not in @p table. */
  void retain(const forwarding_table& table);

 private:
  /** Sums in which older answers count less. */
  struct decaying_mean {
    double count = 0.0;
    double sum = 0.0;
    time_us updated = 0;
  };

  void add(time_us now, const forwarding_target& target, double cost);
  void decay(time_us now, decaying_mean* mean) const;

  target_weight_options options_;
  std::unordered_map<flow_token, decaying_mean> targets_;
  std::unordered_map<std::string, decaying_mean> services_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_OVERLOAD_TARGET_WEIGHTS_BASE_H_
