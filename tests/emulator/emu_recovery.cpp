/** @file emu_recovery.cpp Time to recover service after a disruption. */
#include "emu_recovery.h"

#include <fmt/format.h>

#include <algorithm>

#include "emu_plan.h"
#include "emu_world.h"

namespace turmeric::tests {
namespace {

constexpr time_us tenth = us_per_s / 10;
/** Half a second, so that a single late request does not dominate. */
constexpr size_t window = 5;
constexpr size_t before = 20;  ///< Tenths that give the earlier share.
constexpr double recovered = 0.9;
/** Bound that the users set on recovery after an outage of all balancers. */
constexpr time_us max_recovery_time = 2 * us_per_s;

/** @return The share in time of the requests of @p count tenths. */
double share(const emu_report& report, size_t first, size_t count) {
  uint64_t requests = 0;
  uint64_t served = 0;
  for (size_t i = first; i < first + count && i < report.by_tenth_second.size();
       ++i) {
    requests += report.by_tenth_second[i].first;
    served += report.by_tenth_second[i].second;
  }
  return requests == 0
             ? 1.0
             : static_cast<double>(served) / static_cast<double>(requests);
}

}  // namespace

emu_recovery recovery_of(const emu_report& report, const emu_event& event) {
  const auto begin = static_cast<size_t>(event.start / tenth);
  const auto end = static_cast<size_t>((event.start + event.duration) / tenth);
  const double bound =
      recovered * share(report, begin < before ? 0 : begin - before, before);
  emu_recovery out;
  size_t at = end;
  while (at + window < report.by_tenth_second.size() &&
         share(report, at, window) < bound)
    ++at;
  for (size_t i = begin; i <= at; ++i)
    out.min_share = std::min(out.min_share, share(report, i, window));
  out.recovery_time = at + window < report.by_tenth_second.size()
                          ? static_cast<time_us>(at - end) * tenth
                          : -1;
  return out;
}

bool print_recoveries(uint64_t seed, uint64_t runs, bool overload_control) {
  fmt::print(
      "| trouble | runs | least share in half a second, median and worst | "
      "ms to nine tenths, median and worst | never |\n"
      "| --- | --- | --- | --- | --- |\n");
  bool all_recovered = true;
  for (int i = 0; i < static_cast<int>(emu_disruption::end); ++i) {
    const auto trouble = static_cast<emu_disruption>(i);
    std::vector<double> least;
    std::vector<time_us> after;
    uint64_t never = 0;
    for (uint64_t run = 0; run < runs; ++run) {
      emu_options options = single_disruption_run(seed + run, trouble);
      options.overload_control = overload_control;
      emu_world world(options);
      const emu_recovery r = recovery_of(world.run(), options.events.front());
      least.push_back(r.min_share);
      never += r.recovery_time < 0 ? 1 : 0;
      after.push_back(std::max<time_us>(r.recovery_time, 0));
    }
    std::sort(least.begin(), least.end());
    std::sort(after.begin(), after.end());
    all_recovered =
        all_recovered && never == 0 && after.back() <= max_recovery_time;
    fmt::print("| {} | {} | {:.2f} {:.2f} | {} {} | {} |\n", name_of(trouble),
               runs, least[runs / 2], least[0], after[runs / 2] / us_per_ms,
               after[runs - 1] / us_per_ms, never);
  }
  return all_recovered;
}

}  // namespace turmeric::tests
