/** @file load_monitor.cpp Usual answer times of routes and load of services. */
#include "turmeric/coordination/overload/load_monitor_base.h"

#include <algorithm>
#include <array>
#include <bitset>
#include <utility>

namespace turmeric {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(service_load::end)>
    load_names = {"normal", "queueing", "saturated", "overloaded"};

}  // namespace

std::string_view name_of(service_load load) {
  return load_names[static_cast<size_t>(load)];
}

void load_monitor::add_estimate(time_us now,
                                time_us median,
                                bool overloaded,
                                route_times* times) const {
  const double usual = static_cast<double>(times->usual);
  const double change = static_cast<double>(median) - usual;
  // After an idle time, the first estimates may be those of an overload.
  const time_us elapsed =
      std::min(now - std::exchange(times->updated, now), us_per_s);
  const double elapsed_s = static_cast<double>(elapsed) / us_per_s;
  const bool lower_ignored =
      overloaded && now - times->lowered < options_.max_ignored;
  if (times->usual == 0)
    times->usual = median;
  else if (change < 0 && lower_ignored)
    return;
  else if (change < 0)
    times->usual = static_cast<time_us>(usual + options_.approach * change);
  else
    times->usual = static_cast<time_us>(
        usual + std::min(change, usual * options_.growth * elapsed_s));
  if (change <= 0)
    times->lowered = now;
}

void load_monitor::count_answer(time_us now,
                                bool delayed,
                                service_answers* answers) const {
  const bool stale = now - answers->last > options_.max_age;
  answers->count = stale ? 1 : std::min(answers->count + 1, options_.recent);
  answers->delayed = (stale ? 0 : answers->delayed << 1) | (delayed ? 1 : 0);
}

void load_monitor::add_reset(time_us now, const std::string& service) {
  service_answers& answers = services_[service];
  answers.turned_away =
      now - answers.last_reset > options_.max_age ? 0 : answers.turned_away;
  answers.turned_away = answers.turned_away << 1 | 1;
  answers.last_reset = now;
  if (load(now, service) != service_load::normal)
    count_answer(now, true, &answers);
}

double load_monitor::add(time_us now,
                         const std::string& service,
                         const endpoint& route,
                         time_us took) {
  route_times& times = routes_[route];
  const double ratio = times.usual == 0 ? 0.0
                                        : static_cast<double>(took) /
                                              static_cast<double>(times.usual);
  if (ratio != 0.0 && ratio < options_.rejected_ratio &&
      load(now, service) != service_load::normal) {
    add_reset(now, service);
    return ratio;
  }
  times.window.push_back(took);
  if (times.window.size() >= options_.window) {
    const auto middle =
        times.window.begin() + static_cast<long>(times.window.size() / 2);
    std::nth_element(times.window.begin(), middle, times.window.end());
    const bool overloaded =
        load(now, service) != service_load::normal || turns_away(now, service);
    add_estimate(now, std::max<time_us>(*middle, 1), overloaded, &times);
    times.window.clear();
  }
  if (ratio == 0.0)
    return ratio;
  service_answers& answers = services_[service];
  count_answer(now, ratio >= options_.delayed_ratio, &answers);
  answers.turned_away <<= 1;
  answers.last = now;
  return ratio;
}

double load_monitor::delayed_share(time_us now,
                                   const std::string& service) const {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.count < options_.recent ||
      now - it->second.last > options_.max_age)
    return 0.0;
  return share_of(it->second.delayed);
}

double load_monitor::share_of(uint64_t recent_bits) const {
  const uint64_t considered = options_.recent >= 64
                                  ? ~uint64_t{0}
                                  : (uint64_t{1} << options_.recent) - 1;
  return static_cast<double>(
             std::bitset<64>(recent_bits & considered).count()) /
         options_.recent;
}

bool load_monitor::turns_away(time_us now, const std::string& service) const {
  const auto it = services_.find(service);
  return it != services_.end() &&
         now - it->second.last_reset <= options_.max_age;
}

double load_monitor::turned_away_share(const std::string& service) const {
  return share_of(services_.at(service).turned_away);
}

service_load load_monitor::load(time_us now, const std::string& service) const {
  const double share = delayed_share(now, service);
  if (share < options_.queueing_share)
    return service_load::normal;
  if (share < options_.saturated_share || !turns_away(now, service))
    return service_load::queueing;
  return turned_away_share(service) < options_.turned_away_share
             ? service_load::saturated
             : service_load::overloaded;
}

time_us load_monitor::usual(const endpoint& route) const {
  const auto it = routes_.find(route);
  return it == routes_.end() ? 0 : it->second.usual;
}

void load_monitor::retain(const forwarding_table& table) {
  for (auto it = routes_.begin(); it != routes_.end();) {
    if (table.route_at(it->first) == nullptr)
      it = routes_.erase(it);
    else
      ++it;
  }
}

}  // namespace turmeric
