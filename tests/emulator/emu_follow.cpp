/** @file emu_follow.cpp Log of one target, for `--follow`. */
#include "emu_world.h"

namespace turmeric::tests {

void emu_world::log_followed(const target& t, const std::string& what) {
  if (t.name != options_.followed_target)
    return;
  const time_us now = clock_.now();
  const time_us cold = t.cold_until - now;
  report_.followed_log.push_back(
      std::to_string(now - first_request_at_) + " us " + what +
      (cold > 0 ? ", cold for " + std::to_string(cold) + " us" : ""));
}

void emu_world::log_followed_placement(const balancer& b,
                                       const forwarding_decision& decision) {
  if (decision.target->entry.name != options_.followed_target)
    return;
  const placement& placing = b.forwarding->placing();
  const flow_token token = decision.target->token;
  report_.followed_log.push_back(
      std::to_string(clock_.now() - first_request_at_) + " us placed by " +
      b.name + " in zone " + std::to_string(b.zone) + ", cost " +
      std::to_string(decision.choice.cost) + " of " +
      std::to_string(decision.choice.candidates) + ", in hand " +
      std::to_string(placing.active_flows(token)) + ", silent " +
      std::to_string(placing.failures(token)) + ", reported " +
      std::to_string(placing.reported_failures(token)));
}

void emu_world::log_followed_report(const balancer& b,
                                    const target_report& report) {
  if (report.token != token_of(options_.followed_target))
    return;
  report_.followed_log.push_back(
      std::to_string(clock_.now() - first_request_at_) + " us " + b.name +
      " tells " +
      (report.observation == target_observation::silent ? "silence"
                                                        : "answer") +
      " of " + std::to_string(report.age) + " us ago, failures " +
      std::to_string(report.failures));
}

}  // namespace turmeric::tests
