/** @file registry_era.cpp Compares eras of the registry. */
#include "turmeric/coordination/registry_era_base.h"

namespace turmeric {

void registry_era::set(time_us now, uint64_t era) {
  changed_ = changed_ || era_ != 0;
  era_ = era;
  learnt_at_ = now;
  lower_answers_ = 0;
}

era_verdict registry_era::on_answer(time_us now,
                                    uint64_t era,
                                    time_us call_started) {
  if (era == 0 || era == era_) {
    lower_answers_ = era == 0 ? lower_answers_ : 0;
    return era_verdict::current;
  }
  if (era > era_) {
    const bool first = era_ == 0;
    set(now, era);
    return first ? era_verdict::current : era_verdict::newer;
  }
  // The answer may have been under way when the newer era was learnt.
  if (call_started < learnt_at_)
    return era_verdict::outdated;
  if (++lower_answers_ < options_.disproving_answers)
    return era_verdict::outdated;
  set(now, era);
  distrust_until_ = now + options_.distrust_time;
  return era_verdict::disproved;
}

bool registry_era::accepts_from_peer(time_us now,
                                     uint64_t era,
                                     bool registry_works) const {
  if (era <= era_ || era_ == 0)
    return true;
  return !registry_works && now >= distrust_until_;
}

void registry_era::on_peer_state(time_us now, uint64_t era) {
  if (era > era_)
    set(now, era);
}

}  // namespace turmeric
