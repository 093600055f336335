/** @file gate_test.cpp Admission to one target. */
#include <boost/test/unit_test.hpp>

#include "turmeric/coordination/target_gate_base.h"

namespace turmeric {
namespace {

constexpr time_us far = 1000 * us_per_s;

/** Offers and starts one request; ends it at once with @p evidence. */
bool run_one(target_gate* gate,
             time_us now,
             uint64_t serial,
             request_outcome evidence) {
  gate->offer(now, {serial, request_priority::interactive, now + far});
  const auto started = gate->start(now);
  if (!started)
    return false;
  gate->record_outcome(now + 5 * us_per_ms, started->serial, evidence);
  return true;
}

/** Serves requests until the gate is warm. @return The time then. */
time_us warm_up(target_gate* gate) {
  time_us now = 0;
  for (uint64_t serial = 1; gate->level() < 4; ++serial) {
    now += us_per_s;
    run_one(gate, now, serial, request_outcome::answered);
  }
  return now;
}

BOOST_AUTO_TEST_SUITE(gate_suite)

BOOST_AUTO_TEST_CASE(cold_target_gets_one_at_a_time) {
  target_gate gate({}, 0);
  for (uint64_t i = 1; i <= 3; ++i)
    gate.offer(0, {i, request_priority::interactive, far});
  BOOST_TEST(gate.start(0).has_value());
  BOOST_TEST(!gate.start(0).has_value());
  BOOST_TEST(!gate.start(us_per_s).has_value());
}

BOOST_AUTO_TEST_CASE(warm_target_gets_its_slots) {
  target_gate gate({}, 0);
  const time_us now = warm_up(&gate) + us_per_s;
  for (uint64_t i = 100; i <= 103; ++i)
    gate.offer(now, {i, request_priority::interactive, now + far});
  BOOST_TEST(gate.start(now).has_value());
  BOOST_TEST(gate.start(now).has_value());
  BOOST_TEST(!gate.start(now).has_value());
}

BOOST_AUTO_TEST_CASE(refusal_makes_it_cold_again) {
  target_gate gate({}, 0);
  const time_us now = warm_up(&gate) + us_per_s;
  run_one(&gate, now, 100, request_outcome::refused);
  BOOST_TEST(gate.level() == 0);
}

BOOST_AUTO_TEST_CASE(slowness_makes_it_cold_again) {
  target_gate gate({}, 0);
  const time_us now = warm_up(&gate) + us_per_s;
  gate.offer(now, {100, request_priority::interactive, now + far});
  BOOST_REQUIRE(gate.start(now));
  gate.record_outcome(now + us_per_s, 100, request_outcome::answered);
  BOOST_TEST(gate.level() == 0);
}

BOOST_AUTO_TEST_CASE(what_cannot_start_in_time_is_refused_at_once) {
  target_gate gate({}, 0);
  gate.assume_running(2, 10 * us_per_s);
  const auto decision =
      gate.offer(0, {1, request_priority::interactive, 2 * us_per_s});
  BOOST_TEST(!decision.queued);
  BOOST_TEST(decision.retry_after >= 10 * us_per_s);
}

BOOST_AUTO_TEST_CASE(bulk_leaves_a_slot_free) {
  target_gate gate({}, 0);
  const time_us now = warm_up(&gate) + us_per_s;
  for (uint64_t i = 100; i <= 103; ++i)
    gate.offer(now, {i, request_priority::bulk, now + far});
  BOOST_TEST(gate.start(now).has_value());
  BOOST_TEST(!gate.start(now).has_value());
  gate.offer(now, {200, request_priority::interactive, now + far});
  const auto next = gate.start(now);
  BOOST_REQUIRE(next);
  BOOST_TEST(next->serial == 200u);
}

BOOST_AUTO_TEST_CASE(assumed_requests_take_slots_for_a_while) {
  target_gate gate({}, 0);
  gate.assume_running(2, us_per_s);
  gate.offer(0, {1, request_priority::interactive, far});
  BOOST_TEST(!gate.start(0).has_value());
  BOOST_TEST(gate.start(us_per_s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric
