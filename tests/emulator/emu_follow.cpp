/** @file emu_follow.cpp What happens to one target, for `--follow`. */
#include "emu_world.h"

namespace turmeric::tests {

void emu_world::follow(const target& t, const std::string& what) {
  if (t.name != options_.follow)
    return;
  const time_us now = clock_.now();
  const time_us cold = t.cold_until - now;
  report_.followed.push_back(
      std::to_string(now - start_) + " us " + what +
      (cold > 0 ? ", cold for " + std::to_string(cold) + " us" : ""));
}

void emu_world::follow_placement(const balancer& b,
                                 const forwarding_decision& decision) {
  if (decision.target->entry.name != options_.follow)
    return;
  const placement& placing = b.forwarding->placing();
  const flow_token token = decision.target->token;
  report_.followed.push_back(
      std::to_string(clock_.now() - start_) + " us placed by " + b.name +
      " in zone " + std::to_string(b.zone) + ", cost " +
      std::to_string(decision.choice.cost) + " of " +
      std::to_string(decision.choice.candidates) + ", in hand " +
      std::to_string(placing.active_flows(token)) + ", silent " +
      std::to_string(placing.failures(token)) + ", reported " +
      std::to_string(placing.reported_failures(token)));
}

void emu_world::follow_report(const balancer& b, const target_report& report) {
  if (report.token != token_of(options_.follow))
    return;
  report_.followed.push_back(
      std::to_string(clock_.now() - start_) + " us " + b.name + " tells " +
      (report.observation == target_observation::silent ? "silence"
                                                        : "answer") +
      " of " + std::to_string(report.age) + " us ago, failures " +
      std::to_string(report.failures));
}

}  // namespace turmeric::tests
