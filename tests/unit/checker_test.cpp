/** @file checker_test.cpp The checkers of the harness on handwritten histories.
 */
#include <boost/test/unit_test.hpp>

#include "checkers.h"

namespace turmeric::tests {
namespace {

const promise_row& find_promise(const std::string& name) {
  for (const auto& row : promises()) {
    if (row.name == name)
      return row;
  }
  throw std::runtime_error("unknown promise " + name);
}

bool violated(const std::string& name, const history& events) {
  return find_promise(name).check(events, sim_options{}).has_value();
}

history_event make_packet(time_us at, event_kind kind, int target, bool opens) {
  history_event e;
  e.at = at;
  e.kind = kind;
  e.flow = 7;
  e.target = target;
  e.zone = 0;
  e.balancer = 0;
  e.opens = opens;
  e.target_has_flow = true;
  return e;
}

history_event make_result(uint64_t request, result_code code) {
  history_event e;
  e.kind = event_kind::result;
  e.request = request;
  e.code = code;
  return e;
}

history_event make_work(uint64_t request) {
  history_event e;
  e.kind = event_kind::request_started;
  e.request = request;
  e.balancer = 0;
  return e;
}

BOOST_AUTO_TEST_SUITE(checker_suite)

BOOST_AUTO_TEST_CASE(packets_that_reach_no_target_are_found) {
  history events = {make_packet(0, event_kind::packet_received, 1, true)};
  for (int i = 1; i < 20; ++i) {
    events.push_back(
        make_packet(i * 200 * us_per_ms, event_kind::packet_sent, -1, false));
  }
  BOOST_TEST(violated("flow-survival", events));
  // A packet that reaches the target at 1500 ms restarts the silence, which
  // then stays below the checker's limits.
  events.insert(
      events.begin() + 8,
      make_packet(1500 * us_per_ms, event_kind::packet_received, 1, false));
  events.resize(14);
  BOOST_TEST(!violated("flow-survival", events));
}

BOOST_AUTO_TEST_CASE(packet_at_a_target_without_its_flow_is_found) {
  history events = {make_packet(0, event_kind::packet_received, 1, true)};
  history_event misdirected =
      make_packet(us_per_s, event_kind::packet_received, 2, false);
  misdirected.target_has_flow = false;
  events.push_back(misdirected);
  BOOST_TEST(violated("flow-survival", events));
}

BOOST_AUTO_TEST_CASE(run_after_a_refusal_is_found) {
  history events = {make_result(1, result_code::refused_busy)};
  BOOST_TEST(!violated("truthful-refusal", events));
  events.push_back(make_work(1));
  BOOST_TEST(violated("truthful-refusal", events));
}

BOOST_AUTO_TEST_CASE(second_run_is_found) {
  history events = {make_work(1), make_result(1, result_code::ok)};
  BOOST_TEST(!violated("at-most-once", events));
  events.push_back(make_work(1));
  BOOST_TEST(violated("at-most-once", events));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric::tests
