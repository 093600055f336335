/** @file open_flow_test.cpp What callers get on flows that are open. */
#include <boost/test/unit_test.hpp>

#include "forwarding_fixture.h"

namespace turmeric {
namespace {

/** Targets a1 to a3 are in the own zone, b1 to b3 in another. */
table_builder two_zones() {
  table_builder builder;
  for (const char* name : {"a1", "a2", "a3"})
    builder.add(name, "north");
  for (const char* name : {"b1", "b2", "b3"})
    builder.add(name, "south");
  return builder;
}

struct silence_row {
  const char* name;
  /** Targets whose answers do not reach the callers. */
  std::vector<const char*> silent;
  route_kind kind;
  /** Peers report the targets as silent, no heartbeat comes from their zone,
   * and the registry is lost. */
  bool all_speaks_against = false;
};

/** Callers whose requests stay unanswered at the targets named. */
struct silence_fixture : forwarding_fixture {
  explicit silence_fixture(const table_builder& builder)
      : forwarding_fixture(builder) {}

  /** Sends the request of an open flow, or repeats it. */
  forwarding_decision send_request(uint16_t port, const char* target) {
    segment s = segment_from(port);
    s.source.ip += port;  // A caller for each flow.
    s.flags.acknowledges = true;
    s.token = token_of(target);
    s.acknowledged = 1;
    s.sequence = 50;
    s.data_bytes = 100;
    return core.on_segment(now, s);
  }

  /** Opens flows until each of @p targets has left an opening unanswered. */
  void leave_openings_unanswered(const std::vector<const char*>& targets) {
    std::set<std::string> missing(targets.begin(), targets.end());
    for (uint16_t port = 1000; port < 1200 && !missing.empty(); ++port) {
      const auto opened = open_flow(port);
      missing.erase(opened.target->entry.name);
    }
    BOOST_TEST(missing.empty());
    wait(options().answer_timeout);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(open_flow_suite)

// A target that serves looks the same if its answers pass another balancer.
BOOST_AUTO_TEST_CASE(silence_seen_by_a_balancer_resets_no_open_flow) {
  const silence_row rows[] = {
      {"one target", {"b1"}, route_kind::safe},
      {"one target of the own zone", {"a1"}, route_kind::safe},
      {"one target, downloads", {"b1"}, route_kind::download},
      {"a whole zone", {"b1", "b2", "b3"}, route_kind::safe},
      {"a whole zone, to all that is known",
       {"b1", "b2", "b3"},
       route_kind::safe,
       true},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      table_builder builder = two_zones();
      routing_entry routing = std::get<routing_entry>(*builder.input.routing);
      routing.routes[0].kind = row.kind;
      builder.input.routing = std::make_shared<const directory_value>(routing);
      silence_fixture balancer(builder);
      balancer.wait(2 * us_per_s);
      balancer.leave_openings_unanswered(row.silent);
      if (row.all_speaks_against) {
        balancer.core.set_silent_zones({"south"});
        balancer.core.set_registry_lost(true);
        for (const char* target : row.silent) {
          balancer.core.on_peer_reports(
              balancer.now,
              {{token_of(target), target_observation::silent, 0, us_per_s, 4}});
        }
      }
      std::vector<std::pair<uint16_t, const char*>> flows;
      for (uint16_t port = 1; port <= 6; ++port)
        flows.emplace_back(port, row.silent[port % row.silent.size()]);
      for (const auto& [port, target] : flows)
        balancer.send_request(port, target);
      // Flows of another target move on all the time.
      const char* answering = std::string(row.silent[0]) == "a1" ? "a2" : "a3";
      for (uint32_t round = 1; round <= 20; ++round) {
        balancer.wait(200 * us_per_ms);
        balancer.send_segment(500, token_of(answering), round);
        for (const auto& [port, target] : flows) {
          const auto repeated = balancer.send_request(port, target);
          BOOST_TEST((repeated.action == forwarding_action::forward));
        }
      }
    }
  }
}

struct copy_row {
  const char* name;
  time_us handled_ms;  ///< When the copy is handled, after the first opening.
  time_us waited_ms;   ///< Of that, the time since it arrived.
  bool same_target;
};

// Two targets that answer one opening break the flow that one of them holds.
BOOST_AUTO_TEST_CASE(openings_that_waited_here_go_to_no_second_target) {
  const copy_row rows[] = {
      {"arrived after the target could have answered", 200, 0, false},
      {"arrived before the first one was forwarded", 200, 210, true},
      {"arrived soon after it", 300, 200, true},
      {"waited, but arrived late enough", 300, 50, false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      forwarding_fixture balancer(two_zones());
      const auto first = balancer.open_flow(1);
      balancer.wait(row.handled_ms * us_per_ms);
      segment copy = balancer.segment_from(1);
      copy.flags.opens = true;
      copy.acknowledged = 1;
      const auto second = balancer.core.on_segment(balancer.now, copy,
                                                   row.waited_ms * us_per_ms);
      BOOST_TEST((second.target->token == first.target->token) ==
                 row.same_target);
    }
  }
}

struct late_row {
  uint32_t copy;  ///< Copies sent before.
  time_us waited_ms;
  forwarding_action expected;
};

// Another balancer may have got the next copy, and its target the flow.
BOOST_AUTO_TEST_CASE(openings_whose_next_copy_was_sent_are_dropped) {
  constexpr auto forward = forwarding_action::forward;
  constexpr auto drop = forwarding_action::drop;
  const late_row rows[] = {{0, 0, forward},   {0, 149, forward}, {0, 150, drop},
                           {1, 150, forward}, {1, 349, forward}, {1, 350, drop},
                           {2, 350, forward}, {2, 749, forward}, {2, 750, drop},
                           {7, 749, forward}, {7, 750, drop}};
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.copy << " after " << row.waited_ms << " ms") {
      forwarding_fixture balancer(two_zones());
      segment opening = balancer.segment_from(1);
      opening.flags.opens = true;
      opening.acknowledged = row.copy;
      const auto decision = balancer.core.on_segment(balancer.now, opening,
                                                     row.waited_ms * us_per_ms);
      BOOST_TEST((decision.action == row.expected));
      if (row.expected == drop)
        BOOST_TEST((decision.reason == forwarding_reason::superseded));
    }
  }
}

struct refusal_row {
  const char* name;
  bool has_route;
  uint32_t copy;
  forwarding_action expected;
};

// Another balancer may know the route or a target, and have opened the flow.
BOOST_AUTO_TEST_CASE(copies_of_openings_are_not_reset) {
  const refusal_row rows[] = {
      {"no route", false, 0, forwarding_action::reset},
      {"no route for a copy", false, 1, forwarding_action::drop},
      {"no target", true, 0, forwarding_action::reset},
      {"no target for the last copy", true, 2, forwarding_action::drop},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      forwarding_fixture balancer{table_builder()};
      segment opening = balancer.segment_from(1);
      opening.flags.opens = true;
      opening.acknowledged = row.copy;
      if (!row.has_route)
        ++opening.destination.port;
      const auto decision = balancer.core.on_segment(balancer.now, opening);
      BOOST_TEST((decision.action == row.expected));
      BOOST_TEST(
          (decision.reason == (row.has_route ? forwarding_reason::no_target
                                             : forwarding_reason::no_route)));
    }
  }
}

// An id may start again with another service, or its entry be overwritten.
BOOST_AUTO_TEST_CASE(copies_stay_with_the_services_of_their_route) {
  for (const time_us after_ms : {20, 200}) {
    BOOST_TEST_CONTEXT(after_ms << " ms") {
      table_builder builder;
      builder.add("a1", "north");
      forwarding_fixture balancer(builder);
      balancer.open_flow(1);
      builder.add("m1", "north").entry.service = "mail";
      builder.add("a2", "north");
      builder.input.targets[0].entry.service = "mail";
      balancer.core.set_table(balancer.now, builder.table());
      balancer.wait(after_ms * us_per_ms);
      segment copy = balancer.segment_from(1);
      copy.flags.opens = true;
      copy.acknowledged = 1;
      const auto decision = balancer.core.on_segment(balancer.now, copy);
      BOOST_REQUIRE(decision.target != nullptr);
      BOOST_TEST(decision.target->entry.service == "notes");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_flow_whose_target_was_withdrawn_is_not_reset_by_a_copy) {
  table_builder builder;
  builder.add("a1", "north");
  forwarding_fixture balancer(builder);
  BOOST_TEST((balancer.open_flow(1).action == forwarding_action::forward));
  builder.input.withdrawn_zones.insert("north");
  balancer.core.set_table(balancer.now, builder.table());
  balancer.wait(200 * us_per_ms);
  segment copy = balancer.segment_from(1);
  copy.flags.opens = true;
  copy.acknowledged = 1;
  const auto decision = balancer.core.on_segment(balancer.now, copy);
  BOOST_TEST((decision.action == forwarding_action::drop));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
