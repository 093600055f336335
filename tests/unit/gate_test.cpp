/** @file gate_test.cpp Admission of requests to one target. */
#include <boost/test/unit_test.hpp>

#include "turmeric/coordination/target_gate_base.h"

namespace turmeric {
namespace {

constexpr time_us long_timeout = 1000 * us_per_s;

/** Offers and starts one request and records @p outcome for it after 5 ms.
 * @return Whether the request was started. */
bool run_one(target_gate* gate,
             time_us now,
             uint64_t serial,
             request_outcome outcome) {
  gate->offer(now, {serial, request_priority::interactive, now + long_timeout});
  const auto started = gate->start(now);
  if (!started)
    return false;
  gate->record_outcome(now + 5 * us_per_ms, started->serial, outcome);
  return true;
}

/** Answers one request a second until the gate reaches its warm level.
 * @return The time of the last request. */
time_us warm_up(target_gate* gate) {
  time_us now = 0;
  for (uint64_t serial = 1; gate->level() < 4; ++serial) {
    now += us_per_s;
    run_one(gate, now, serial, request_outcome::answered);
  }
  return now;
}

BOOST_AUTO_TEST_SUITE(gate_suite)

BOOST_AUTO_TEST_CASE(cold_target_runs_one_request_at_a_time) {
  target_gate gate({}, 0);
  for (uint64_t i = 1; i <= 3; ++i)
    gate.offer(0, {i, request_priority::interactive, long_timeout});
  BOOST_TEST(gate.start(0).has_value());
  BOOST_TEST(!gate.start(0).has_value());
  BOOST_TEST(!gate.start(us_per_s).has_value());
}

BOOST_AUTO_TEST_CASE(warm_target_uses_all_slots) {
  target_gate gate({}, 0);
  const time_us now = warm_up(&gate) + us_per_s;
  for (uint64_t i = 100; i <= 103; ++i)
    gate.offer(now, {i, request_priority::interactive, now + long_timeout});
  BOOST_TEST(gate.start(now).has_value());
  BOOST_TEST(gate.start(now).has_value());
  BOOST_TEST(!gate.start(now).has_value());
}

BOOST_AUTO_TEST_CASE(refusal_resets_the_ramp) {
  target_gate gate({}, 0);
  const time_us now = warm_up(&gate) + us_per_s;
  run_one(&gate, now, 100, request_outcome::refused);
  BOOST_TEST(gate.level() == 0);
}

BOOST_AUTO_TEST_CASE(slow_answer_resets_the_ramp) {
  target_gate gate({}, 0);
  const time_us now = warm_up(&gate) + us_per_s;
  gate.offer(now, {100, request_priority::interactive, now + long_timeout});
  BOOST_REQUIRE(gate.start(now));
  gate.record_outcome(now + us_per_s, 100, request_outcome::answered);
  BOOST_TEST(gate.level() == 0);
}

BOOST_AUTO_TEST_CASE(request_that_would_miss_its_deadline_is_refused_at_once) {
  target_gate gate({}, 0);
  gate.assume_running(2, 10 * us_per_s);
  const auto decision =
      gate.offer(0, {1, request_priority::interactive, 2 * us_per_s});
  BOOST_TEST(!decision.queued);
  BOOST_TEST(decision.retry_after >= 10 * us_per_s);
}

BOOST_AUTO_TEST_CASE(bulk_requests_leave_a_slot_free) {
  target_gate gate({}, 0);
  const time_us now = warm_up(&gate) + us_per_s;
  for (uint64_t i = 100; i <= 103; ++i)
    gate.offer(now, {i, request_priority::bulk, now + long_timeout});
  BOOST_TEST(gate.start(now).has_value());
  BOOST_TEST(!gate.start(now).has_value());
  gate.offer(now, {200, request_priority::interactive, now + long_timeout});
  const auto next = gate.start(now);
  BOOST_REQUIRE(next);
  BOOST_TEST(next->serial == 200u);
}

BOOST_AUTO_TEST_CASE(assumed_requests_take_slots_until_their_end) {
  target_gate gate({}, 0);
  gate.assume_running(2, us_per_s);
  gate.offer(0, {1, request_priority::interactive, long_timeout});
  BOOST_TEST(!gate.start(0).has_value());
  BOOST_TEST(gate.start(us_per_s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric
