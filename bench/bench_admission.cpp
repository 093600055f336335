/** @file bench_admission.cpp Admission policies under load and overload.
 *
 * Runs the simulated cluster with six balancers. The baseline starts every
 * request at once on a target chosen by hashing alone, without a ramp, and its
 * callers retry at once.
 */
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

#include "sim_world.h"
#include "turmeric/coordination/burn_func.h"

namespace turmeric::bench {
namespace {

using namespace turmeric::tests;

constexpr int targets = 15;
constexpr double slots = 2;
/** Mean time of a request on a warm target of the simulated cluster. */
constexpr double work_s = 0.0225;
constexpr double capacity = targets * slots / work_s;
constexpr time_us length = 25 * us_per_s;
constexpr time_us from = 10 * us_per_s;
constexpr time_us to = 20 * us_per_s;
constexpr int flows = 1500;

struct policy_row {
  const char* name;
  bool naive;
  size_t choices;
};

struct outcome {
  double goodput = 0;    ///< Answers a second over the capacity.
  double refused = 0;    ///< Share of final refusals.
  double imbalance = 0;  ///< Starts on targets, max over mean.
  uint64_t overloads = 0;
  double p99_ms = 0;  ///< Of interactive requests.
};

outcome measure(const policy_row& policy, double load, uint32_t bulk) {
  sim_options o;
  o.seed = 3;
  o.length = length;
  o.opaque_flows = false;
  o.notes_target_count = targets;
  o.flow_pool_size = flows;
  o.bulk_percent = bulk;
  o.flow_choices = policy.choices;
  o.naive_caller = policy.naive;
  o.injected_faults.no_limit = policy.naive;
  // A caller pauses for one to two times the pause, 1.5 times on average.
  const double rate = load * capacity;
  o.min_request_interval =
      static_cast<time_us>(caller_count / rate / 1.5 * us_per_s);
  std::map<int, uint64_t> starts;
  std::vector<double> latencies;
  uint64_t answered = 0, refused = 0, results = 0;
  outcome out;
  for (const auto& e : simulate(o)) {
    const bool inside = e.at >= from && e.at < to;
    if (!inside)
      continue;
    if (e.kind == event_kind::request_started)
      ++starts[e.target];
    out.overloads += e.kind == event_kind::overload ? 1 : 0;
    if (e.kind != event_kind::result)
      continue;
    ++results;
    answered += e.code == result_code::ok ? 1 : 0;
    refused += says_not_run(e.code) ? 1 : 0;
    if (e.code == result_code::ok && e.interactive)
      latencies.push_back(static_cast<double>(e.at - e.submitted) / us_per_ms);
  }
  std::vector<uint64_t> loads;
  for (int t = 0; t < targets; ++t)
    loads.push_back(starts[t]);
  const double seconds = static_cast<double>(to - from) / us_per_s;
  out.goodput = static_cast<double>(answered) / seconds / capacity;
  out.refused = static_cast<double>(refused) /
                static_cast<double>(std::max<uint64_t>(results, 1));
  out.imbalance = imbalance_of(loads);
  std::sort(latencies.begin(), latencies.end());
  if (!latencies.empty())
    out.p99_ms = latencies[latencies.size() * 99 / 100];
  return out;
}

int run() {
  constexpr std::array<policy_row, 3> policies = {{
      {"baseline: at once", true, 1},
      {"gates, hashing", false, 1},
      {"gates, least of three", false, 3},
  }};
  std::map<std::string, std::map<double, outcome>> all;
  fmt::print("{:<24}{:>8}{:>10}{:>10}{:>11}{:>11}{:>10}\n", "policy", "load",
             "goodput", "refused", "imbalance", "overloads", "p99 ms");
  for (const auto& policy : policies) {
    for (const double load : {0.7, 2.0, 10.0}) {
      const outcome o = measure(policy, load, 25);
      all[policy.name][load] = o;
      fmt::print("{:<24}{:>8.1f}{:>10.3f}{:>10.3f}{:>11.3f}{:>11}{:>10.1f}\n",
                 policy.name, load, o.goodput, o.refused, o.imbalance,
                 o.overloads, o.p99_ms);
    }
  }
  // Downloads saturate what the interactive 70 % leave.
  const outcome alone = measure(policies.back(), 0.7, 0);
  const outcome mixed = measure(policies.back(), 1.2, 42);
  fmt::print(
      "interactive p99 at 70 %: {:.1f} ms alone, {:.1f} ms while "
      "downloads saturate the rest\n",
      alone.p99_ms, mixed.p99_ms);
  const auto& ours = all[policies.back().name];
  const auto& base = all[policies.front().name];
  fmt::print(
      "{{\"bench\":\"admission\",\"goodput_2x\":{:.3f},"
      "\"goodput_10x\":{:.3f},\"baseline_2x\":{:.3f},"
      "\"baseline_10x\":{:.3f},\"imbalance\":{:.3f},"
      "\"imbalance_hashing\":{:.3f},\"p99_ratio\":{:.2f}}}\n",
      ours.at(2.0).goodput, ours.at(10.0).goodput, base.at(2.0).goodput,
      base.at(10.0).goodput, ours.at(0.7).imbalance,
      all[policies[1].name].at(0.7).imbalance, mixed.p99_ms / alone.p99_ms);
  return 0;
}

}  // namespace
}  // namespace turmeric::bench

int main() {
  return turmeric::bench::run();
}
