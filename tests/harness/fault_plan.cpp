/** @file fault_plan.cpp Fault schedules from seeds. */
#include "fault_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

#include "sim_world.h"

namespace turmeric::tests {
namespace {

constexpr size_t kind_count = static_cast<size_t>(fault_kind::end);
/** Names by fault_kind, as prove prints them. */
constexpr std::array<const char*, kind_count> fault_names = {
    "crash",       "freeze",         "graceful stop", "cut",
    "one-way cut", "platform down",  "platform slow", "platform loses answers",
    "zone out",    "drain",          "add target",    "target turns cold",
    "target dies", "operators race", "silent path"};

/** Kinds to choose from at random; those listed twice are twice as likely. */
constexpr std::array planned_kinds = {fault_kind::planned_stop,
                                      fault_kind::planned_stop,
                                      fault_kind::platform_down,
                                      fault_kind::platform_slow,
                                      fault_kind::platform_loses_replies,
                                      fault_kind::zone_out,
                                      fault_kind::drain,
                                      fault_kind::drain,
                                      fault_kind::add_target,
                                      fault_kind::operator_race,
                                      fault_kind::target_cold};

/** Faults start after the callers' first requests, sent at 1.5 to 2 s. */
constexpr time_us first_fault_at = 2500 * us_per_ms;
/** All faults start within this time of the first possible one. */
constexpr time_us fault_window = 6 * us_per_s;
constexpr time_us min_duration = 300 * us_per_ms;

}  // namespace

const char* name_of(fault_kind kind) {
  return fault_names[static_cast<size_t>(kind)];
}

std::string describe(const fault& f) {
  return fmt::format("{:>6} ms  {} subject={} other={} for {} ms",
                     f.at / us_per_ms, name_of(f.kind), f.subject, f.other,
                     f.duration / us_per_ms);
}

sim_options plan_run(uint64_t seed, bool planned_only) {
  std::mt19937_64 random(seed * 2 + (planned_only ? 1 : 0));
  const auto random_below = [&](uint64_t n) { return random() % n; };
  sim_options o;
  o.seed = random();
  o.planned_only = planned_only;
  constexpr std::array<uint32_t, 4> losses = {0, 2, 10, 25};
  o.loss_percent = losses[random_below(planned_only ? 3 : 4)];
  o.duplicate_percent = random_below(2) == 0 ? 0 : 15;
  o.max_jitter = random_below(3) == 0 ? 30 * us_per_ms : 2 * us_per_ms;
  const uint64_t count = 1 + random_below(6);
  for (uint64_t i = 0; i < count; ++i) {
    fault f;
    f.kind = planned_only ? planned_kinds[random_below(planned_kinds.size())]
                          : static_cast<fault_kind>(random_below(kind_count));
    f.at = first_fault_at + static_cast<time_us>(random_below(fault_window));
    f.duration =
        min_duration + static_cast<time_us>(random_below(4 * us_per_s));
    f.subject = static_cast<int>(random_below(balancer_count));
    f.other = static_cast<int>(random_below(zone_count + 1));
    const bool cut =
        f.kind == fault_kind::cut || f.kind == fault_kind::cut_one_way;
    if (cut)
      f.subject = static_cast<int>(random_below(zone_count));
    if (cut && f.other == f.subject)
      f.other = platform_zone;
    o.faults.push_back(f);
  }
  std::sort(o.faults.begin(), o.faults.end(),
            [](const fault& a, const fault& b) { return a.at < b.at; });
  return o;
}

}  // namespace turmeric::tests
