/** @file explain_test.cpp From a flow to its cause, over log lines as the
 * balancers write them. */
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "explain_page.h"
#include "turmeric/coordination/forwarding_core_base.h"
#include "turmeric/state/service_type.h"

namespace turmeric {
namespace {

constexpr endpoint route_address{0xc6120001, 443};
constexpr endpoint caller{0x64400007, 40001};

/** A balancer whose events become log lines. */
struct logged_balancer {
  explicit logged_balancer(size_t targets) {
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

  void send(const segment& s) {
    core.on_segment(now, s);
    collect();
  }

  void wait(time_us by) {
    now += by;
    core.tick(now);
    collect();
  }

  void collect() {
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

segment opening() {
  segment s;
  s.source = caller;
  s.destination = route_address;
  s.flags.opens = true;
  return s;
}

segment later(flow_token token, bool finishes) {
  segment s = opening();
  s.flags = {false, true, finishes, false};
  s.token = token;
  return s;
}

/** Plays one kind of failure. */
struct failure_row {
  const char* name;
  void (*play)(logged_balancer*);
  const char* cause;  ///< Start of the sentence.
};

void play_refused(logged_balancer* b) {
  b->input.withdrawn_zones = {""};
  b->publish();
  b->send(opening());
}

void play_late(logged_balancer* b) {
  b->send(opening());
  b->wait(200 * us_per_ms);
  b->send(opening());
}

void play_broken(logged_balancer* b) {
  b->send(later(12345, false));
}

void play_served(logged_balancer* b) {
  b->send(opening());
  const flow_token token = token_of("i-0");
  b->send(later(token, false));
  b->send(later(token, true));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(explain_suite)

BOOST_AUTO_TEST_CASE(each_kind_of_failure_leads_to_its_cause) {
  const failure_row rows[] = {
      {"refused", play_refused, "Refused: the route's services had no target"},
      {"late behind a silent target", play_late, "Late: its first target"},
      {"broken by an unknown token", play_broken, "Broken: a segment named"},
      {"served", play_served, "Served"},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      logged_balancer b(row.play == play_late ? 2 : 1);
      row.play(&b);
      const auto found = cli::explain_flow(b.lines, to_text(caller));
      BOOST_TEST(!found.decisions.empty());
      BOOST_TEST(found.cause.rfind(row.cause, 0) == 0u);
      BOOST_TEST(cli::explain_flow(b.lines, "1.2.3.4:5").decisions.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(other_output_among_the_lines_is_skipped) {
  const std::vector<std::string> lines = {"", "no JSON", "{", "[1]",
                                          "{\"a\":1}"};
  BOOST_TEST(cli::explain_flow(lines, "1.2.3.4:5").decisions.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
