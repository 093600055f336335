/** @file explain_test.cpp Explanation of a flow's outcome from log lines in the
 * format of the balancers. */
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "explain_page.h"
#include "turmeric/coordination/forwarding_core_base.h"
#include "turmeric/state/service_type.h"

namespace turmeric {
namespace {

constexpr endpoint route_address{0xc6120001, 443};
constexpr endpoint caller{0x64400007, 40001};

/** A forwarding core whose events are written as log lines. */
struct logging_balancer {
  explicit logging_balancer(size_t targets) {
    routing_entry routing;
    route_entry route;
    route.address = route_address;
    route.services = {{"notes", 1}};
    routing.routes = {route};
    input.routing = std::make_shared<const directory_value>(routing);
    for (size_t i = 0; i < targets; ++i) {
      target_input t;
      t.entry.name = "i-" + std::to_string(i);
      t.entry.service = "notes";
      input.targets.push_back(t);
    }
    publish();
  }

  void publish() {
    core.set_table(now, std::make_shared<const forwarding_table>(input));
  }

  void send(const segment& s, time_us waited = 0) {
    core.on_segment(now, s, waited);
    append_event_lines();
  }

  void advance(time_us duration) {
    now += duration;
    core.tick(now);
    append_event_lines();
  }

  void append_event_lines() {
    for (const auto& event : core.take_events()) {
      lines.push_back(fmt::format(
          R"(x {{"time":"{:012}","instance":"b1","message":"{}","flow":"{}",)"
          R"("target":"{}","reason":"{}"}})",
          now, name_of(event.kind), to_text(event.flow.caller), event.target,
          event.reason == forwarding_reason::end ? "" : name_of(event.reason)));
    }
  }

  static forwarding_options options() {
    forwarding_options o;
    o.log_one_in = 1;
    return o;
  }

  table_input input;
  time_us now = 1000 * us_per_s;
  forwarding_core core{options(), [] { return uint64_t{1}; }};
  std::vector<std::string> lines;
};

segment opening_segment() {
  segment s;
  s.source = caller;
  s.destination = route_address;
  s.flags.opens = true;
  return s;
}

segment later_segment(flow_token token, bool finishes) {
  segment s = opening_segment();
  s.flags = {false, true, finishes, false};
  s.token = token;
  return s;
}

/** One outcome of a flow and its explanation. */
struct outcome_row {
  const char* name;
  void (*simulate)(logging_balancer*);
  const char* cause;  ///< Start of the expected explanation.
};

void simulate_refused(logging_balancer* b) {
  b->input.withdrawn_zones = {""};
  b->publish();
  b->send(opening_segment());
}

void simulate_late(logging_balancer* b) {
  b->send(opening_segment());
  b->advance(200 * us_per_ms);
  b->send(opening_segment());
}

void simulate_broken(logging_balancer* b) {
  b->send(later_segment(12345, false));
}

void simulate_superseded(logging_balancer* b) {
  b->send(opening_segment(), us_per_s);
}

void simulate_overloaded(logging_balancer* b) {
  b->lines.push_back(fmt::format(
      R"(x {{"time":"1","instance":"b1","message":"flow refused",)"
      R"("flow":"{}","target":"","reason":"overloaded","waited_us":"50000"}})",
      to_text(caller)));
}

void simulate_served(logging_balancer* b) {
  b->send(opening_segment());
  const flow_token token = token_of("i-0");
  b->send(later_segment(token, false));
  b->send(later_segment(token, true));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(explain_suite)

BOOST_AUTO_TEST_CASE(each_outcome_is_explained_by_its_cause) {
  const outcome_row rows[] = {
      {"refused", simulate_refused,
       "Refused: the route's services had no target"},
      {"refused under load", simulate_overloaded,
       "Refused: the targets of the service were full"},
      {"late after a target that did not answer", simulate_late,
       "Late: its first target"},
      {"waited in the balancer", simulate_superseded,
       "Late: the opening waited"},
      {"broken by an unknown token", simulate_broken,
       "Broken: a segment named"},
      {"served", simulate_served, "Served"},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      logging_balancer b(row.simulate == simulate_late ? 2 : 1);
      row.simulate(&b);
      const auto explanation = cli::explain_flow(b.lines, to_text(caller));
      BOOST_TEST(!explanation.decisions.empty());
      BOOST_TEST(explanation.cause.rfind(row.cause, 0) == 0u);
      BOOST_TEST(cli::explain_flow(b.lines, "1.2.3.4:5").decisions.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(lines_of_other_formats_are_skipped) {
  const std::vector<std::string> lines = {"", "no JSON", "{", "[1]",
                                          "{\"a\":1}"};
  BOOST_TEST(cli::explain_flow(lines, "1.2.3.4:5").decisions.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
