/** @file emu_plan.cpp Generates runs from a seed. */
#include "emu_plan.h"

#include <algorithm>
#include <random>

namespace turmeric::tests {
namespace {

/** Disruptions that random_run() draws; a change would give its seeds another
 * meaning. */
constexpr uint64_t drawn_disruptions =
    static_cast<uint64_t>(emu_disruption::overwrite) + 1;
constexpr time_us earliest_start = us_per_s;
constexpr time_us latest_start = 12 * us_per_s;
constexpr time_us min_duration = 300 * us_per_ms;
constexpr time_us max_duration = 7 * us_per_s;
constexpr time_us min_withdrawal = 5 * us_per_s;

time_us between(std::mt19937_64* random, time_us low, time_us high) {
  return low +
         static_cast<time_us>((*random)() % static_cast<uint64_t>(high - low));
}

emu_event event_of(std::mt19937_64* random, emu_disruption disruption) {
  emu_event event;
  event.kind = disruption;
  event.start = between(random, earliest_start, latest_start);
  event.duration = between(random, min_duration, max_duration);
  event.selector = (*random)();
  // Shorter ones end before the bound by which balancers must apply them.
  if (disruption == emu_disruption::withdraw)
    event.duration = std::max(event.duration, min_withdrawal);
  return event;
}

}  // namespace

emu_options random_run(uint64_t seed, size_t max_disruptions) {
  std::mt19937_64 random(seed * 2654435761u + 1);
  emu_options options;
  options.seed = seed;
  options.shape.zones = 2 + random() % 3;
  options.shape.balancers = 4 + random() % 9;
  options.shape.requests_per_s = 100.0 + static_cast<double>(random() % 300);
  options.duration = 30 * us_per_s;
  for (size_t i = 0; i < 1 + random() % max_disruptions; ++i) {
    options.events.push_back(event_of(
        &random, static_cast<emu_disruption>(random() % drawn_disruptions)));
  }
  return options;
}

emu_options with_restores(emu_options options, size_t restores) {
  std::mt19937_64 random(options.seed * 0x9e3779b97f4a7c15u + 7);
  for (size_t i = 0; i < restores; ++i) {
    options.events.push_back(event_of(&random, emu_disruption::store_restore));
  }
  return options;
}

emu_options with_streams(emu_options options, size_t streams) {
  std::mt19937_64 random(options.seed * 0xd1342543de82ef95u + 11);
  options.shape.streams = streams;
  constexpr auto first = static_cast<uint64_t>(emu_disruption::lossy_link);
  constexpr auto kinds =
      static_cast<uint64_t>(emu_disruption::target_slow) + 1 - first;
  for (uint64_t i = random() % 3; i != 0; --i) {
    options.events.push_back(event_of(
        &random, static_cast<emu_disruption>(first + random() % kinds)));
  }
  return options;
}

emu_options large_fleet_run(uint64_t seed, emu_disruption disruption) {
  std::mt19937_64 random(seed * 0xa0761d6478bd642fu + 13);
  emu_options options;
  options.seed = seed;
  options.duration = 20 * us_per_s;
  emu_shape& shape = options.shape;
  shape.balancers = 67;
  shape.services = {{"bookings", 120}, {"intake", 30}};
  shape.request_classes = {{"status", "bookings", true, 0.0, 55 * us_per_ms,
                            500 * us_per_ms, 2500 * us_per_ms},
                           {"booking", "bookings", false, 3.0, 72 * us_per_ms,
                            600 * us_per_ms, 3 * us_per_s},
                           {"upload", "intake", false, 1.0, 5 * us_per_ms,
                            1200 * us_per_ms, 6 * us_per_s}};
  shape.requests_per_s = 1500;
  shape.streams = 1500 + random() % 1000;
  const uint64_t stops = 20 + random() % 60;
  for (uint64_t i = 0; i < stops; ++i) {
    emu_event event = event_of(&random, emu_disruption::balancer_stop);
    event.start = us_per_s + static_cast<time_us>(i) * 12 * us_per_s /
                                 static_cast<time_us>(stops);
    options.events.push_back(event);
  }
  for (uint64_t i = random() % 12; i != 0; --i)
    options.events.push_back(event_of(&random, disruption));
  for (uint64_t i = random() % 4; i != 0; --i)
    options.events.push_back(event_of(&random, emu_disruption::target_slow));
  return options;
}

emu_options single_disruption_run(uint64_t seed, emu_disruption disruption) {
  emu_options options = random_run(seed, 1);
  std::mt19937_64 random(seed);
  options.events = {event_of(&random, disruption)};
  return options;
}

emu_invariant invariant_broken_by(emu_injected_fault fault) {
  constexpr std::array<emu_invariant,
                       static_cast<size_t>(emu_injected_fault::end)>
      rules = {emu_invariant::end,        emu_invariant::draining,
               emu_invariant::withdrawal, emu_invariant::configuration,
               emu_invariant::cold_start, emu_invariant::open_flow,
               emu_invariant::open_flow,  emu_invariant::service_isolation,
               emu_invariant::no_regress, emu_invariant::configuration,
               emu_invariant::open_flow};
  return rules[static_cast<size_t>(fault)];
}

emu_options injected_fault_run(uint64_t seed, emu_injected_fault fault) {
  emu_options options = random_run(seed, 1);
  options.injected_fault = fault;
  options.events.clear();
  const auto add = [&](emu_disruption disruption, time_us at, time_us length,
                       uint64_t pick) {
    options.events.push_back(
        {disruption, at * us_per_s, length * us_per_s, pick});
  };
  for (uint64_t i = 0; i < 4; ++i) {
    add(emu_disruption::target_drain, 2 + static_cast<time_us>(i), 1, 7 * i);
    add(emu_disruption::configure, 3 + static_cast<time_us>(i), 1, 1);
  }
  if (fault == emu_injected_fault::ignore_era) {
    add(emu_disruption::store_restore, 4, 1, 5999999);
    return options;
  }
  if (fault == emu_injected_fault::reset_stalled_flows) {
    options = with_streams(options, 60);
    for (time_us i = 0; i < 4; ++i)
      add(emu_disruption::lossy_link, 2 + 4 * i, 3, static_cast<uint64_t>(i));
    return options;
  }
  add(emu_disruption::withdraw, 4, 8, 1);
  add(emu_disruption::target_restart, 14, 1, 3);
  add(emu_disruption::balancer_kill, 16, 1, 2);
  add(emu_disruption::target_crash, 6, 1, 5);
  add(emu_disruption::kill_all, 18, 1, 5);
  return options;
}

}  // namespace turmeric::tests
