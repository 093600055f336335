/** @file burn.cpp Burn rates, budgets and alarms. */
#include "turmeric/coordination/burn_func.h"

#include <algorithm>
#include <numeric>

namespace turmeric {
namespace {

constexpr std::array<time_us, burn_window_count> window_lengths = {
    300 * us_per_s, 1800 * us_per_s, 3600 * us_per_s, 21600 * us_per_s,
    259200 * us_per_s};
constexpr std::array<std::string_view, burn_window_count> window_names = {
    "5m", "30m", "1h", "6h", "3d"};
constexpr std::array<std::string_view, static_cast<size_t>(burn_alarm::end)>
    alarm_names = {"none", "ticket", "page"};

/** Raises an alarm if both windows burn at least at this rate. */
struct alarm_rule {
  burn_window longer;
  burn_window shorter;
  double rate;
  burn_alarm alarm;
};

constexpr std::array<alarm_rule, 3> alarm_rules = {{
    {burn_window::hour_1, burn_window::minutes_5, 14.4, burn_alarm::page},
    {burn_window::hours_6, burn_window::minutes_30, 6.0, burn_alarm::page},
    {burn_window::days_3, burn_window::hours_6, 1.0, burn_alarm::ticket},
}};

constexpr int64_t recent_count = 12;
constexpr int64_t fine_slices_per_recent = 300 * us_per_s / fine_slice;

service_counts sum_between(const counts_by_age& slices,
                           int64_t from,
                           int64_t to) {
  service_counts sum;
  for (auto it = slices.lower_bound(from); it != slices.end(); ++it) {
    if (it->first >= to)
      break;
    add(&sum, it->second);
  }
  return sum;
}

double burn_rate(uint64_t bad, uint64_t all, double objective) {
  if (all == 0)
    return 0;
  const double allowed = std::max(1.0 - objective, 1e-9);
  return static_cast<double>(bad) / static_cast<double>(all) / allowed;
}

double availability_burn(const service_counts& c, const service_objective& o) {
  const uint64_t bad = c.refused + c.unknown;
  return burn_rate(bad, bad + c.answered, o.availability);
}

double latency_burn(const service_counts& c, const service_objective& o) {
  return burn_rate(c.interactive - c.in_time, c.interactive, o.latency_share);
}

burn_rates window_rates(const burn_input& input, burn_window window) {
  const time_us length = length_of(window);
  const bool fine = length <= fine_slice * fine_slices_kept;
  const counts_by_age& slices = fine ? input.fine : input.coarse;
  const time_us slice = fine ? fine_slice : coarse_slice;
  return rates_of(sum_between(slices, 0, length / slice), input.objective);
}

double max_rate(const burn_rates& rates) {
  return std::max(rates.availability, rates.latency);
}

}  // namespace

burn_rates rates_of(const service_counts& counts,
                    const service_objective& objective) {
  burn_rates out;
  out.counts = counts;
  out.availability = availability_burn(counts, objective);
  out.latency = latency_burn(counts, objective);
  return out;
}

time_us length_of(burn_window window) {
  return window_lengths[static_cast<size_t>(window)];
}

std::string_view name_of(burn_window window) {
  return window_names[static_cast<size_t>(window)];
}

std::string_view name_of(burn_alarm alarm) {
  return alarm_names[static_cast<size_t>(alarm)];
}

burn_result burn_of(const burn_input& input) {
  burn_result out;
  for (size_t i = 0; i < burn_window_count; ++i)
    out.windows[i] = window_rates(input, static_cast<burn_window>(i));
  out.budget_left = 1.0 - max_rate(out.windows.back());
  for (const auto& rule : alarm_rules) {
    const double longer =
        max_rate(out.windows[static_cast<size_t>(rule.longer)]);
    const double shorter =
        max_rate(out.windows[static_cast<size_t>(rule.shorter)]);
    if (std::min(longer, shorter) >= rule.rate)
      out.alarm = std::max(out.alarm, rule.alarm);
  }
  for (int64_t i = recent_count - 1; i >= 0; --i) {
    const service_counts counts =
        sum_between(input.fine, i * fine_slices_per_recent,
                    (i + 1) * fine_slices_per_recent);
    out.recent.push_back(availability_burn(counts, input.objective));
  }
  return out;
}

double imbalance_of(const std::vector<uint64_t>& loads) {
  const uint64_t sum = std::accumulate(loads.begin(), loads.end(), uint64_t{0});
  if (sum == 0)
    return 0;
  const uint64_t most = *std::max_element(loads.begin(), loads.end());
  return static_cast<double>(most) * static_cast<double>(loads.size()) /
         static_cast<double>(sum);
}

}  // namespace turmeric
