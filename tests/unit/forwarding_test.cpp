/** @file forwarding_test.cpp Tokens, openings, health of targets and
 * placement. */
#include <boost/test/unit_test.hpp>
#include <map>

#include "forwarding_fixture.h"

namespace turmeric {

BOOST_AUTO_TEST_SUITE(forwarding_suite)

BOOST_AUTO_TEST_CASE(tokens_depend_on_the_name_alone_and_are_never_zero) {
  std::map<flow_token, int> seen;
  for (int i = 0; i < 100000; ++i) {
    const flow_token token = token_of("i-" + std::to_string(i));
    BOOST_TEST(token != 0u);
    ++seen[token];
  }
  BOOST_TEST(seen.size() > 99990u);
}

/** Finds two names with the same token. */
std::pair<std::string, std::string> colliding_names() {
  std::map<flow_token, std::string> seen;
  for (int i = 0;; ++i) {
    const std::string name = "t" + std::to_string(i);
    const auto [it, added] = seen.emplace(token_of(name), name);
    if (!added)
      return {it->second, name};
  }
}

struct collision_row {
  const char* name;
  bool first_registered;
  bool second_registered;
  uint64_t first_created;
  uint64_t second_created;
  bool first_wins;
};

// Balancers must choose the same target, in whatever order they get the two
// entries.
BOOST_AUTO_TEST_CASE(colliding_tokens_name_one_target_in_any_order) {
  const auto names = colliding_names();
  const collision_row rows[] = {
      {"older wins", true, true, 5, 9, true},
      {"older wins, the other way", true, true, 9, 5, false},
      {"registered wins over removed", false, true, 5, 9, false},
      {"removed loses to registered", true, false, 9, 5, true},
  };
  for (const auto& row : rows) {
    for (const bool swapped : {false, true}) {
      BOOST_TEST_CONTEXT(row.name << " swapped " << swapped) {
        table_builder builder;
        builder.add(names.first, "north");
        builder.add(names.second, "north");
        builder.input.targets[0].registered = row.first_registered;
        builder.input.targets[1].registered = row.second_registered;
        builder.input.targets[0].entry.created = row.first_created;
        builder.input.targets[1].entry.created = row.second_created;
        if (swapped)
          std::swap(builder.input.targets[0], builder.input.targets[1]);
        const auto table = builder.table();
        const auto* target = table->target_of(token_of(names.first));
        BOOST_REQUIRE(target != nullptr);
        BOOST_TEST(target->entry.name ==
                   (row.first_wins ? names.first : names.second));
        BOOST_TEST(table->eligible_targets("notes").size() == 1u);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(segments_follow_their_token) {
  table_builder builder;
  builder.add("i-1", "north");
  builder.add("i-2", "south");
  forwarding_fixture balancer(builder);
  for (const char* name : {"i-1", "i-2"}) {
    const auto decision = balancer.send_segment(7, token_of(name), 1);
    BOOST_TEST((decision.action == forwarding_action::forward));
    BOOST_TEST(decision.target->entry.name == name);
  }
}

struct drop_row {
  const char* name;
  segment_flags flags;
  flow_token token;
  endpoint destination;
  forwarding_action expected_action;
  forwarding_reason expected_reason;
};

BOOST_AUTO_TEST_CASE(segments_that_cannot_be_forwarded_are_dropped_or_reset) {
  const endpoint nowhere{0xc6120009, 1};
  const drop_row rows[] = {
      {"unknown token",
       {false, true, false, false},
       77,
       route_address,
       forwarding_action::drop,
       forwarding_reason::unknown_token},
      {"no token",
       {false, true, false, false},
       0,
       route_address,
       forwarding_action::drop,
       forwarding_reason::unknown_token},
      {"answer to an opening",
       {true, true, false, false},
       token_of("i-1"),
       route_address,
       forwarding_action::drop,
       forwarding_reason::not_a_caller},
      {"opening with reset",
       {true, false, false, true},
       0,
       route_address,
       forwarding_action::drop,
       forwarding_reason::not_a_caller},
      {"no route",
       {true, false, false, false},
       0,
       nowhere,
       forwarding_action::reset,
       forwarding_reason::no_route},
  };
  table_builder builder;
  builder.add("i-1", "north");
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      forwarding_fixture balancer(builder);
      segment s = balancer.segment_from(9);
      s.flags = row.flags;
      s.token = row.token;
      s.destination = row.destination;
      const auto decision = balancer.core.on_segment(balancer.now, s);
      BOOST_TEST((decision.action == row.expected_action));
      BOOST_TEST((decision.reason == row.expected_reason));
    }
  }
}

// Before the first table, no segment may be forwarded or reset.
BOOST_AUTO_TEST_CASE(without_a_table_everything_is_dropped) {
  forwarding_core core(forwarding_fixture::options(), seeded_random(1));
  segment s;
  s.flags.opens = true;
  BOOST_TEST((core.on_segment(us_per_s, s).action == forwarding_action::drop));
}

struct ineligible_row {
  const char* name;
  bool draining;
  bool withdrawn;
  bool cold;
  time_us eligibility_end;
};

BOOST_AUTO_TEST_CASE(ineligible_targets_get_no_openings_and_keep_their_flows) {
  const ineligible_row rows[] = {
      {"draining", true, false, false, INT64_MAX},
      {"zone withdrawn", false, true, false, INT64_MAX},
      {"cold", false, false, true, INT64_MAX},
      {"lapsed long ago", false, false, false, 1},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      table_builder builder;
      builder.add("closed", "north");
      builder.input.targets[0].entry.draining = row.draining;
      builder.input.targets[0].eligible_until = row.eligibility_end;
      builder.input.targets[0].entry.cold_until =
          row.cold ? 2000 * us_per_s : 0;
      if (row.withdrawn)
        builder.input.withdrawn_zones = {"north"};
      builder.add("open", "south");
      forwarding_fixture balancer(builder);
      for (uint16_t port = 1; port < 200; ++port)
        BOOST_TEST(balancer.complete_flow(port) == "open");
      BOOST_TEST((balancer.send_segment(500, token_of("closed"), 1).action ==
                  forwarding_action::forward));
    }
  }
}

// If all targets are cold, all balancers together must not send them more flows
// than cold targets can take.
BOOST_AUTO_TEST_CASE(cold_targets_alone_get_no_more_than_their_bound) {
  constexpr int balancers = 6;
  table_builder builder;
  builder.add("cold", "north").entry.cold_until = INT64_MAX;
  std::vector<forwarding_fixture> fixtures;
  std::vector<uint64_t> ids;
  for (uint64_t i = 0; i < balancers; ++i)
    ids.push_back(hash_name("front-" + std::to_string(i)));
  for (uint64_t i = 0; i < balancers; ++i) {
    fixtures.emplace_back(builder, i);
    auto others = ids;
    others.erase(others.begin() + static_cast<long>(i));
    fixtures.back().core.set_balancers(ids[i], others);
  }
  const double bound = placement_options().cold_slack;
  for (int second = 0; second < 5; ++second) {
    int sent = 0;
    int refused = 0;
    for (int i = 0; i < 300; ++i) {
      forwarding_fixture& balancer =
          fixtures[static_cast<size_t>(i) % balancers];
      balancer.now += us_per_s / 300 * balancers;
      const auto decision =
          balancer.open_flow(static_cast<uint16_t>(second * 300 + i));
      sent += decision.action == forwarding_action::forward ? 1 : 0;
      refused += decision.action == forwarding_action::reset ? 1 : 0;
    }
    BOOST_TEST(sent <= bound);
    BOOST_TEST(sent >= 1);
    BOOST_TEST(sent + refused == 300);
  }
}

// The caller's last segments came after the state of the flow had been removed,
// and counted as a new active flow for 400 ms.
BOOST_AUTO_TEST_CASE(ended_flows_are_not_active) {
  table_builder builder;
  builder.add("i-1", "north");
  forwarding_fixture balancer(builder);
  for (uint16_t port = 1; port < 50; ++port)
    balancer.complete_flow(port);
  BOOST_TEST(balancer.core.placing().active_flows(token_of("i-1")) == 0u);
}

BOOST_AUTO_TEST_CASE(idle_flows_are_not_active_until_they_continue) {
  table_builder builder;
  builder.add("i-1", "north");
  forwarding_fixture balancer(builder);
  const auto opened = balancer.open_flow(1);
  balancer.send_segment(1, opened.target->token, 1);
  BOOST_TEST(balancer.core.placing().active_flows(opened.target->token) == 1u);
  balancer.wait(us_per_s);
  BOOST_TEST(balancer.core.placing().active_flows(opened.target->token) == 0u);
  balancer.send_segment(1, opened.target->token, 2);
  BOOST_TEST(balancer.core.placing().active_flows(opened.target->token) == 1u);
  balancer.wait(us_per_s);
  balancer.wait(60 * us_per_s);
  BOOST_TEST(balancer.core.flows() == 0u);
}

/** A step of a long flow that carries several requests. */
struct long_flow_step {
  const char* name;
  time_us pause;  ///< Before it.
  uint16_t data_bytes;
  uint32_t acknowledged;
  uint32_t active_flows;  ///< After it.
};

// A slot is in use from a request to its answer. Flows that stay open counted
// as active for 400 ms after each answer, so that targets with idle flows
// looked as busy as working ones.
BOOST_AUTO_TEST_CASE(long_flow_is_active_while_a_request_is_under_way) {
  const long_flow_step steps[] = {
      {"end of the handshake", 5 * us_per_ms, 0, 1, 1},
      {"first request", us_per_ms, 100, 1, 1},
      {"still at work", 150 * us_per_ms, 100, 1, 1},
      {"part of the answer", 20 * us_per_ms, 0, 1201, 1},
      {"rest of it", 2 * us_per_ms, 0, 2001, 1},
      {"repeated acknowledgement while idle", 60 * us_per_ms, 0, 2001, 0},
      {"next request", 200 * us_per_ms, 100, 2001, 1},
      {"its answer", 55 * us_per_ms, 0, 4001, 1},
      {"idle again", 60 * us_per_ms, 0, 4001, 0},
  };
  table_builder builder;
  builder.add("i-1", "north");
  forwarding_fixture balancer(builder);
  const flow_token token = balancer.open_flow(1).target->token;
  for (const auto& step : steps) {
    BOOST_TEST_CONTEXT(step.name) {
      balancer.wait(step.pause);
      segment s = balancer.segment_from(1);
      s.flags.acknowledges = true;
      s.token = token;
      s.acknowledged = step.acknowledged;
      s.data_bytes = step.data_bytes;
      balancer.core.on_segment(balancer.now, s);
      BOOST_TEST(balancer.core.placing().active_flows(token) ==
                 step.active_flows);
    }
  }
  // It is still forgotten after a while without segments.
  balancer.wait(us_per_s);
  balancer.wait(20 * us_per_s);
  balancer.wait(20 * us_per_s);
  BOOST_TEST(balancer.core.flows() == 0u);
}

BOOST_AUTO_TEST_CASE(repeated_opening_goes_to_another_target) {
  table_builder builder;
  builder.add("i-1", "north");
  builder.add("i-2", "north");
  forwarding_fixture balancer(builder);
  const auto first = balancer.open_flow(1);
  balancer.wait(200 * us_per_ms);
  const auto second = balancer.open_flow(1);
  BOOST_TEST((second.reason == forwarding_reason::moved));
  BOOST_TEST(second.target->entry.name != first.target->entry.name);
}

// Found by the emulator (seeds 159, 257): a balancer whose process had been
// paused found an opening and its copy in the same batch and sent them to two
// targets. Both answered, and the caller's flow broke.
BOOST_AUTO_TEST_CASE(copies_in_quick_succession_go_to_the_same_target) {
  table_builder builder;
  builder.add("i-1", "north");
  builder.add("i-2", "north");
  forwarding_fixture balancer(builder);
  const auto first = balancer.open_flow(1);
  balancer.wait(50 * us_per_ms);
  const auto second = balancer.open_flow(1);
  BOOST_TEST((second.reason == forwarding_reason::repeated));
  BOOST_TEST(second.target->entry.name == first.target->entry.name);
}

// A delayed copy of an opening must not move an answered flow to another
// target.
BOOST_AUTO_TEST_CASE(repeated_opening_of_an_answered_flow_stays) {
  table_builder builder;
  builder.add("i-1", "north");
  builder.add("i-2", "north");
  forwarding_fixture balancer(builder);
  const auto first = balancer.open_flow(1);
  balancer.send_segment(1, first.target->token, 1);
  balancer.wait(200 * us_per_ms);
  const auto second = balancer.open_flow(1);
  BOOST_TEST((second.reason == forwarding_reason::repeated));
  BOOST_TEST(second.target->entry.name == first.target->entry.name);
}

BOOST_AUTO_TEST_CASE(silent_target_is_avoided_and_probed_by_single_flows) {
  table_builder builder;
  builder.add("dead", "north");
  builder.add("alive", "north");
  forwarding_fixture balancer(builder);
  int lost = 0;
  for (uint16_t port = 1; port < 400; ++port) {
    const auto opened = balancer.open_flow(port);
    balancer.wait(5 * us_per_ms);
    if (opened.target->entry.name == "dead") {
      ++lost;
      continue;
    }
    balancer.send_segment(port, opened.target->token, 1);
    balancer.wait(20 * us_per_ms);
    balancer.send_segment(port, opened.target->token, 600, true);
  }
  // In ten seconds: the flows before the first timeout, and a few probes.
  BOOST_TEST(lost <= 8);
}

BOOST_AUTO_TEST_CASE(target_that_answers_again_gets_its_share_again) {
  table_builder builder;
  builder.add("i-1", "north");
  builder.add("i-2", "north");
  forwarding_fixture balancer(builder);
  const auto first = balancer.open_flow(1);
  balancer.wait(50 * us_per_ms);
  balancer.wait(us_per_s);
  // It answers again, and then gets fewer flows for the length of a cold start.
  for (uint16_t port = 200; port < 210; ++port)
    balancer.complete_flow(port);
  balancer.wait(placement_options().recovering_time);
  std::map<std::string, int> served;
  for (uint16_t port = 2; port < 102; ++port)
    ++served[balancer.complete_flow(port)];
  BOOST_TEST(served[first.target->entry.name] >= 30);
}

// Found by the emulator (seeds 360, 455): a target restarted, cold, while the
// registry was unreachable, and got its full share of flows from its first
// answer on.
BOOST_AUTO_TEST_CASE(target_that_was_down_gets_few_flows_while_it_recovers) {
  table_builder builder;
  builder.add("i-1", "north");
  builder.add("i-2", "north");
  forwarding_fixture balancer(builder);
  const std::string down_target = balancer.open_flow(1).target->entry.name;
  balancer.wait(50 * us_per_ms);
  balancer.wait(us_per_s);
  uint16_t port = 2;
  std::map<std::string, int> served;
  for (int i = 0; i < 40; ++i)
    ++served[balancer.complete_flow(port++)];
  BOOST_TEST(served[down_target] <= 2);
  balancer.wait(2 * us_per_s);
  served.clear();
  for (int i = 0; i < 40; ++i)
    ++served[balancer.complete_flow(port++)];
  BOOST_TEST(served[down_target] >= 10);
}

// A network cut between zones makes all targets of a zone silent. Each of them
// was probed separately, again and again.
BOOST_AUTO_TEST_CASE(unreachable_zone_costs_few_flows) {
  table_builder builder;
  for (int i = 0; i < 5; ++i)
    builder.add("cut-" + std::to_string(i), "east");
  for (int i = 0; i < 5; ++i)
    builder.add("south-" + std::to_string(i), "south");
  forwarding_fixture balancer(builder);
  int lost = 0;
  for (uint16_t port = 1; port < 400; ++port) {
    const auto opened = balancer.open_flow(port);
    balancer.wait(5 * us_per_ms);
    if (opened.target->entry.zone == "east") {
      ++lost;
      continue;
    }
    balancer.send_segment(port, opened.target->token, 1);
    balancer.wait(5 * us_per_ms);
    balancer.send_segment(port, opened.target->token, 600, true);
  }
  BOOST_TEST(lost <= 12);
}

BOOST_AUTO_TEST_CASE(zone_whose_balancers_are_silent_gets_no_openings) {
  table_builder builder;
  builder.add("east", "east");
  builder.add("south", "south");
  forwarding_fixture balancer(builder);
  balancer.core.set_silent_zones({"east"});
  for (uint16_t port = 1; port < 200; ++port)
    BOOST_TEST(balancer.complete_flow(port) == "south");
  balancer.core.set_silent_zones({"east", "south"});
  std::map<std::string, int> served;
  for (uint16_t port = 200; port < 300; ++port)
    ++served[balancer.complete_flow(port)];
  BOOST_TEST(served.size() == 2u);
}

// Flows must not be refused because all targets are silent: the balancer's own
// network path may be at fault.
BOOST_AUTO_TEST_CASE(all_silent_targets_are_still_tried) {
  table_builder builder;
  for (int i = 0; i < 4; ++i)
    builder.add("i-" + std::to_string(i), "north");
  forwarding_fixture balancer(builder);
  for (uint16_t port = 1; port < 100; ++port) {
    BOOST_TEST((balancer.open_flow(port).action == forwarding_action::forward));
    balancer.wait(30 * us_per_ms);
  }
  std::map<std::string, int> served;
  for (uint16_t port = 100; port < 300; ++port)
    ++served[balancer.complete_flow(port)];
  BOOST_TEST(served.size() == 4u);
}

BOOST_AUTO_TEST_CASE(own_zone_is_preferred_while_it_has_capacity) {
  table_builder builder;
  builder.add("n1", "north");
  builder.add("n2", "north");
  builder.add("s1", "south");
  forwarding_fixture balancer(builder);
  for (uint16_t port = 1; port < 100; ++port)
    BOOST_TEST(balancer.complete_flow(port).front() == 'n');
  std::map<std::string, int> opened;
  for (uint16_t port = 200; port < 212; ++port) {
    const auto decision = balancer.open_flow(port);
    balancer.send_segment(port, decision.target->token, 1);
    ++opened[decision.target->entry.name];
  }
  BOOST_TEST(opened["s1"] >= 2);
}

// Long flows into other zones break when a zone is cut off, and a zone of which
// half of the slots are in use has no queues yet.
BOOST_AUTO_TEST_CASE(flows_stay_in_the_own_zone_at_half_of_its_capacity) {
  table_builder builder;
  for (int i = 0; i < 4; ++i) {
    builder.add("n" + std::to_string(i), "north");
    builder.add("s" + std::to_string(i), "south");
  }
  forwarding_fixture balancer(builder);
  // Each of four balancers has one of four active flows, at eight slots.
  balancer.core.set_zone_balancers({2, 3, 4});
  const flow_token token = balancer.open_flow(1).target->token;
  for (uint32_t acknowledged = 1; acknowledged < 200; ++acknowledged) {
    balancer.wait(20 * us_per_ms);
    balancer.send_segment(1, token, acknowledged);
  }
  int south = 0;
  for (uint16_t port = 100; port < 120; ++port)
    south += balancer.complete_flow(port)[0] == 's' ? 1 : 0;
  BOOST_TEST(south == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
