/** @file soak_series.cpp Draws series of faults and changes. */
#include "soak_series.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace turmeric::tests {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(series_kind::end)>
    kind_names = {"restart", "pause", "kill", "reload", "routing change"};

/** Bounds from which the series of a kind are drawn. */
struct series_bounds {
  series_kind kind;
  size_t min_count, max_count;         ///< Series in a run.
  time_us min_interval, max_interval;  ///< Between steps.
  size_t width_divisor;  ///< At most one in this many balancers in a step.
};

constexpr std::array<series_bounds, 5> bounds_table = {{
    {series_kind::restart, 3, 5, 200 * us_per_ms, 800 * us_per_ms, 8},
    {series_kind::pause, 2, 3, 100 * us_per_ms, 600 * us_per_ms, 16},
    {series_kind::kill, 1, 2, 300 * us_per_ms, 2 * us_per_s, 32},
    {series_kind::reload, 1, 2, 50 * us_per_ms, 300 * us_per_ms, 16},
    {series_kind::routing_change, 1, 2, 300 * us_per_ms, 1500 * us_per_ms, 0},
}};
constexpr time_us min_pause = 100 * us_per_ms;
constexpr time_us max_pause = 3 * us_per_s;
/** Shortest series other than rolling restarts. */
constexpr time_us min_length = 2 * us_per_s;

class series_drawer {
 public:
  series_drawer(uint64_t seed, size_t balancers, time_us from, time_us to)
      : random_(seed), balancers_(balancers), from_(from), to_(to) {}

  series_plan draw() {
    for (const series_bounds& bounds : bounds_table) {
      const auto count =
          static_cast<size_t>(between(static_cast<int64_t>(bounds.min_count),
                                      static_cast<int64_t>(bounds.max_count)));
      for (size_t i = 0; i < count; ++i)
        draw_one(bounds, i == 0);
    }
    return std::move(plan_);
  }

 private:
  int64_t between(int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(random_);
  }

  /** @param early Starts in the first quarter, so that series overlap. */
  void draw_one(const series_bounds& bounds, bool early) {
    const time_us span = to_ - from_;
    const time_us start = from_ + between(0, early ? span / 4 : span * 3 / 4);
    const time_us interval = between(bounds.min_interval, bounds.max_interval);
    const bool whole_fleet = bounds.kind == series_kind::restart;
    const time_us end =
        whole_fleet
            ? to_
            : std::min(to_,
                       start + between(min_length, std::max(span, min_length)));
    size_t width = 1;
    if (bounds.width_divisor != 0) {
      width = static_cast<size_t>(
          between(1, static_cast<int64_t>(std::max<size_t>(
                         balancers_ / bounds.width_divisor, 1))));
    }
    auto next =
        static_cast<size_t>(between(0, static_cast<int64_t>(balancers_) - 1));
    size_t left = whole_fleet ? balancers_ : SIZE_MAX;
    plan_.description += fmt::format(
        " {:.1f}:{} of {} every {} ms", static_cast<double>(start) / us_per_s,
        name_of(bounds.kind), width, interval / us_per_ms);
    for (time_us at = start; at < end && left != 0; at += interval) {
      for (size_t i = 0; i < width && left != 0; ++i, --left) {
        // Rolling restarts go through the fleet in turn.
        next = whole_fleet ? (next + 1) % balancers_
                           : static_cast<size_t>(between(
                                 0, static_cast<int64_t>(balancers_) - 1));
        plan_.steps.push_back(
            {at, bounds.kind, next, between(min_pause, max_pause)});
      }
    }
  }

  std::mt19937_64 random_;
  size_t balancers_;
  time_us from_;
  time_us to_;
  series_plan plan_;
};

}  // namespace

std::string_view name_of(series_kind kind) {
  return kind_names[static_cast<size_t>(kind)];
}

series_plan draw_series(uint64_t seed,
                        size_t balancers,
                        time_us from,
                        time_us to) {
  return series_drawer(seed, balancers, from, to).draw();
}

}  // namespace turmeric::tests
