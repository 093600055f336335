/** @file emulated_overload_test.cpp Full and slow targets of a whole
 * installation in virtual time. */
#include <boost/test/unit_test.hpp>

#include "emu_world.h"

namespace turmeric::tests {
namespace {

/** 24 targets behind 76 balancers, most of them in two of four zones. */
emu_options fleet(double load, bool overload_control) {
  emu_options options;
  options.overload_control = overload_control;
  options.duration = 15 * us_per_s;
  options.drain_time = 3 * us_per_s;
  emu_shape& shape = options.shape;
  shape.zones = 4;
  shape.balancers = 76;
  shape.services = {{"notes", 24, {}, {2, 9, 3, 10}}};
  const time_us objective = 400 * us_per_ms;
  const time_us deadline = 2500 * us_per_ms;
  shape.request_classes = {
      {"entry", "notes", false, 2.0, 20 * us_per_ms, objective, deadline, 1},
      {"card", "notes", true, 7.0, 15 * us_per_ms, objective, deadline, 2}};
  shape.max_held_flows = shape.slots + shape.queue_capacity;
  constexpr double mean_work_s = (2 * 0.020 + 7 * 0.015) / 9;
  shape.requests_per_s = load * 24 * shape.slots / mean_work_s;
  return options;
}

struct overload_result {
  double in_time = 0;   ///< Share of the requests.
  double rejected = 0;  ///< Share of the attempts, by full targets.
};

overload_result result_of(const emu_options& options) {
  emu_world world(options);
  const emu_report report = world.run();
  double requests = 0;
  double in_time = 0;
  for (const auto& outcome : report.outcomes) {
    requests += static_cast<double>(outcome.requests);
    in_time += static_cast<double>(outcome.in_time);
  }
  const auto rejected =
      static_cast<double>(report.rejected_requests + report.rejected_openings);
  const overload_result result{in_time / requests,
                               rejected / static_cast<double>(report.attempts)};
  BOOST_TEST_MESSAGE("overload control " << options.overload_control
                                         << ", in time " << result.in_time
                                         << ", rejected " << result.rejected);
  return result;
}

/** @return The share of the requests of the first priority that are served in
 * time in a run with a burst. */
double first_priority_in_burst(uint64_t seed, bool overload_control) {
  emu_options options = fleet(0.3, overload_control);
  options.seed = seed;
  // Full targets take openings and reject the requests.
  options.shape.max_held_flows = 0;
  options.shape.bursts = {{4 * us_per_s, 4 * us_per_s, 8.0, ""}};
  emu_world world(options);
  const emu_report report = world.run();
  const emu_outcome& first = report.outcomes[0];
  const double share =
      static_cast<double>(first.in_time) / static_cast<double>(first.requests);
  BOOST_TEST_MESSAGE("overload control " << overload_control
                                         << ", first priority " << share);
  return share;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(emulated_overload_suite)

// A full target resets openings, which balancers took for silence and reported
// to each other. All of them then avoided it, so that the remaining targets
// filled up too, and most openings were rejected while slots were idle.
BOOST_AUTO_TEST_CASE(full_targets_do_not_fill_up_the_others) {
  const auto with_silent_targets = [](uint64_t seed, bool overload_control) {
    emu_options options = fleet(0.65, overload_control);
    options.seed = seed;
    for (const uint64_t selector : {0, 7, 14, 20}) {
      options.events.push_back({emu_disruption::target_silent, 4 * us_per_s,
                                2 * us_per_s, selector});
    }
    return result_of(options);
  };
  for (const uint64_t seed : {1, 2, 3}) {
    const overload_result result = with_silent_targets(seed, true);
    BOOST_TEST(result.rejected < 0.05);
    BOOST_TEST(result.in_time >= 0.98);
  }
  // The run shows the fault if balancers do not detect full targets.
  const overload_result fault = with_silent_targets(1, false);
  BOOST_TEST(fault.rejected >= 0.1);
}

// Targets of unequal speed got equal shares of the flows, so that the slow ones
// were full while the fast ones were idle.
BOOST_AUTO_TEST_CASE(slow_targets_reject_less_with_learned_weights) {
  for (const uint64_t seed : {1, 2}) {
    emu_options options = fleet(0.75, true);
    options.seed = seed;
    options.shape.services[0].speeds = {0.7, 0.7, 1.7};
    const overload_result learned = result_of(options);
    options.equal_weights = true;
    BOOST_TEST(learned.rejected < result_of(options).rejected);
  }
}

BOOST_AUTO_TEST_SUITE_END()

// A suite of its own, since KNOWN-RED.txt lists suites.
BOOST_AUTO_TEST_SUITE(emulated_burst_suite)

// Load: callers ask for more than twice what the targets serve, for some
// seconds. Full targets rejected requests of any priority, which no balancer
// saw, so that none refused the others.
BOOST_AUTO_TEST_CASE(first_priority_is_served_when_targets_reject_requests) {
  for (const uint64_t seed : {1, 2})
    BOOST_TEST(first_priority_in_burst(seed, true) >= 0.95);
  // The run shows the fault if balancers do not count lost requests.
  BOOST_TEST(first_priority_in_burst(1, false) < 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric::tests
