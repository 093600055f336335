/** @file report_test.cpp Reports of balancers to each other on targets
 * that do not answer. */
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>

#include "directory_fixture.h"
#include "forwarding_fixture.h"

namespace turmeric {
namespace {

/** Time after the first table from which a balancer reports silent targets. */
const time_us reporting_delay = placement_options().startup_grace;

/** Two targets in the own zone and one in another. */
table_builder three_targets() {
  table_builder builder;
  builder.add("a", "north");
  builder.add("b", "north");
  builder.add("c", "south");
  return builder;
}

target_report silent_report(const std::string& name, uint32_t failures) {
  return {token_of(name), target_observation::silent, 40 * us_per_ms,
          600 * us_per_ms, failures};
}

/** Opens and ends flows one after another.
 * @return How many went to target @p name. */
int count_flows_at(forwarding_fixture* balancer,
                   const std::string& name,
                   int flows,
                   uint16_t port) {
  int count = 0;
  for (int i = 0; i < flows; ++i) {
    const auto decision = balancer->open_flow(static_cast<uint16_t>(port + i));
    count += decision.target->entry.name == name ? 1 : 0;
    balancer->wait(us_per_ms);
    balancer->send_segment(static_cast<uint16_t>(port + i),
                           decision.target->token, 1, true);
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(report_suite)

struct report_row {
  const char* name;
  std::vector<target_report> reports;
  time_us delay;  ///< From the reports to the first flow.
  bool avoided;
};

BOOST_AUTO_TEST_CASE(targets_that_peers_report_silent_are_avoided) {
  target_report recovered = silent_report("a", 0);
  recovered.observation = target_observation::recovered;
  recovered.remaining = 2 * us_per_s;
  target_report was_down = recovered;
  was_down.failures = 1;
  target_report unknown_kind = silent_report("a", 2);
  unknown_kind.observation = target_observation::end;
  target_report unknown_target = silent_report("nobody", 2);
  const report_row rows[] = {
      {"no report", {}, 0, false},
      {"one unanswered opening", {silent_report("a", 1)}, 0, true},
      {"two unanswered openings",
       {silent_report("a", 1), silent_report("a", 1)},
       0,
       true},
      {"sender's next probe is due",
       {silent_report("a", 2)},
       700 * us_per_ms,
       true},
      {"sender reports no more",
       {silent_report("a", 2)},
       900 * us_per_ms,
       false},
      {"answers again", {silent_report("a", 1), recovered}, us_per_s, true},
      {"answered again long ago",
       {silent_report("a", 1), recovered},
       3 * us_per_s,
       false},
      {"was down and answers, maybe cold",
       {silent_report("a", 2), was_down},
       us_per_s,
       true},
      {"was down and answered long ago",
       {silent_report("a", 2), was_down},
       3 * us_per_s,
       false},
      {"unknown kind", {unknown_kind}, 0, false},
      {"unknown target", {unknown_target}, 0, false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      forwarding_fixture balancer(three_targets());
      balancer.core.on_peer_reports(balancer.now, row.reports);
      balancer.wait(row.delay);
      const int count = count_flows_at(&balancer, "a", 20, 1000);
      BOOST_TEST((count == 0) == row.avoided);
    }
  }
}

struct recovery_row {
  const char* name;
  int recovering;
  size_t most_flows;  ///< At one target.
};

// After a zone was cut off, nearly all targets answer again, and peers report
// it. The few others must not get all flows of all balancers.
BOOST_AUTO_TEST_CASE(flows_spread_over_targets_that_recover_together) {
  const recovery_row rows[] = {
      {"none", 0, 2}, {"one in ten", 1, 2}, {"nine in ten", 9, 2}};
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      table_builder builder;
      for (int i = 0; i < 10; ++i)
        builder.add("t" + std::to_string(i), "north");
      forwarding_fixture balancer(builder);
      for (int i = 0; i < row.recovering; ++i) {
        target_report silent = silent_report("t" + std::to_string(i), 1);
        target_report recovered = silent;
        recovered.observation = target_observation::recovered;
        recovered.remaining = 2 * us_per_s;
        recovered.failures = 0;
        balancer.core.on_peer_reports(balancer.now, {silent, recovered});
      }
      std::map<std::string, size_t> flows;
      for (uint16_t port = 1; port <= 10; ++port)
        ++flows[balancer.open_flow(port).target->entry.name];
      for (const auto& [name, count] : flows)
        BOOST_TEST(count <= row.most_flows);
    }
  }
}

BOOST_AUTO_TEST_CASE(one_lost_packet_of_a_peer_excludes_no_target) {
  forwarding_fixture balancer(three_targets());
  balancer.core.on_peer_reports(balancer.now, {silent_report("a", 1)});
  int count = 0;
  // The flows stay open, so that the load of the zone's other target grows.
  for (uint16_t i = 0; i < 12; ++i)
    count += balancer.open_flow(2000 + i).target->entry.name == "a" ? 1 : 0;
  BOOST_TEST(count > 0);
}

BOOST_AUTO_TEST_CASE(newer_own_answers_override_reports) {
  forwarding_fixture balancer(three_targets());
  for (uint16_t i = 0; i < 10; ++i)
    balancer.complete_flow(3000 + i);
  balancer.core.on_peer_reports(balancer.now, {silent_report("a", 5)});
  BOOST_TEST(count_flows_at(&balancer, "a", 20, 4000) != 0);
}

BOOST_AUTO_TEST_CASE(silence_and_recovery_are_reported_once) {
  table_builder builder;
  builder.add("a", "north");
  forwarding_fixture balancer(builder);
  balancer.wait(reporting_delay);
  const flow_token token = balancer.open_flow(1).target->token;
  balancer.wait(30 * us_per_ms);
  BOOST_TEST(balancer.core.take_reports().empty());
  balancer.wait(20 * us_per_ms);
  auto taken = balancer.core.take_reports();
  BOOST_REQUIRE(taken.size() == 1u);
  BOOST_TEST((taken[0].observation == target_observation::silent));
  BOOST_TEST(taken[0].token == token);
  BOOST_TEST(taken[0].failures == 1u);
  BOOST_TEST(taken[0].age == 50 * us_per_ms);
  BOOST_TEST(balancer.core.take_reports().empty());
  balancer.send_segment(1, token, 1);
  taken = balancer.core.take_reports();
  BOOST_REQUIRE(taken.size() == 1u);
  BOOST_TEST((taken[0].observation == target_observation::recovered));
  // One lost packet does not show that the target was down.
  BOOST_TEST(taken[0].failures == 0u);
}

// Found by the emulator: a retransmitted segment repeats its first copy's
// acknowledgement, lower than that of later segments. It does not show that the
// target still answers and must not end a suspicion.
BOOST_AUTO_TEST_CASE(only_new_acknowledgements_count_as_answers) {
  constexpr uint32_t before_wrap = 0xfffffff0;
  table_builder builder;
  builder.add("a", "north");
  forwarding_fixture balancer(builder);
  const flow_token token = balancer.open_flow(1).target->token;
  balancer.wait(5 * us_per_ms);
  balancer.send_segment(1, token, before_wrap);
  balancer.send_segment(1, token, before_wrap + 100);
  balancer.open_flow(2);
  balancer.wait(50 * us_per_ms);
  BOOST_TEST(balancer.core.placing().failures(token) == 1u);
  balancer.send_segment(1, token, before_wrap);
  BOOST_TEST(balancer.core.placing().failures(token) == 1u);
  balancer.send_segment(1, token, before_wrap + 101);
  BOOST_TEST(balancer.core.placing().failures(token) == 0u);
}

// A caller repeated a lost acknowledgement until after the target was gone, and
// all balancers took it for an answer of the target.
BOOST_AUTO_TEST_CASE(answers_older_than_the_silence_do_not_end_it) {
  table_builder builder;
  builder.add("a", "north");
  forwarding_fixture balancer(builder);
  balancer.wait(reporting_delay);
  const flow_token token = balancer.open_flow(1).target->token;
  balancer.wait(5 * us_per_ms);
  balancer.send_segment(1, token, 1);
  balancer.wait(us_per_ms);
  balancer.open_flow(2);
  balancer.wait(50 * us_per_ms);
  balancer.core.take_reports();
  balancer.send_segment(1, token, 600);
  BOOST_TEST(balancer.core.placing().failures(token) == 1u);
  BOOST_TEST(balancer.core.take_reports().empty());
  // What it acknowledges now was sent after the segment before it.
  balancer.wait(5 * us_per_ms);
  balancer.send_segment(1, token, 1200);
  BOOST_TEST(balancer.core.placing().failures(token) == 0u);
  BOOST_TEST(balancer.core.take_reports().size() == 1u);
}

// A peer's report of a silence is not ended by an older answer either.
BOOST_AUTO_TEST_CASE(answers_older_than_a_reported_silence_do_not_end_it) {
  table_builder builder;
  builder.add("a", "north");
  forwarding_fixture balancer(builder);
  balancer.wait(reporting_delay);
  const flow_token token = balancer.open_flow(1).target->token;
  balancer.wait(20 * us_per_ms);
  balancer.wait(40 * us_per_ms);
  balancer.core.on_peer_reports(balancer.now, {silent_report("a", 2)});
  balancer.send_segment(1, token, 1);
  BOOST_TEST(balancer.core.placing().reported_failures(token) == 2u);
  balancer.send_segment(1, token, 600);
  BOOST_TEST(balancer.core.placing().reported_failures(token) == 0u);
}

// While the registry is unreachable, the entry of a restarted target does not
// say that it is cold.
BOOST_AUTO_TEST_CASE(without_the_registry_any_silence_may_be_a_restart) {
  table_builder builder;
  builder.add("a", "north");
  forwarding_fixture balancer(builder);
  balancer.wait(reporting_delay);
  balancer.core.set_registry_lost(true);
  const flow_token token = balancer.open_flow(1).target->token;
  balancer.wait(50 * us_per_ms);
  balancer.core.take_reports();
  balancer.send_segment(1, token, 1);
  const auto taken = balancer.core.take_reports();
  BOOST_REQUIRE(taken.size() == 1u);
  BOOST_TEST(taken[0].failures == 1u);
  BOOST_TEST(taken[0].remaining == placement_options().recovering_time);
}

// Found by the emulator (seed 793): a balancer that had been cut off sent its
// usual share of flows to a target that had restarted in the meantime.
BOOST_AUTO_TEST_CASE(flows_are_spread_evenly_after_a_network_cut) {
  table_builder builder;
  for (int i = 0; i < 6; ++i)
    builder.add("n-" + std::to_string(i), "north");
  forwarding_fixture balancer(builder);
  balancer.core.set_balancers(hash_name("front-1"), {1, 2, 3, 4, 5});
  balancer.core.set_zone_balancers({1, 2, 3, 4, 5});
  const auto count_by_target = [&balancer](uint16_t port) {
    std::map<std::string, int> counts;
    for (uint16_t i = 0; i < 60; ++i)
      ++counts[balancer.complete_flow(static_cast<uint16_t>(port + i))];
    return counts;
  };
  const auto is_even = [](const std::map<std::string, int>& counts) {
    return counts.size() == 6 &&
           std::all_of(counts.begin(), counts.end(), [](const auto& count) {
             return std::abs(count.second - 10) <= 1;
           });
  };
  BOOST_TEST(is_even(count_by_target(1000)));
  for (uint16_t i = 0; i < 24; ++i)
    balancer.open_flow(2000 + i);
  balancer.wait(50 * us_per_ms);
  balancer.wait(5 * us_per_s);
  balancer.complete_flow(3000);
  BOOST_TEST(is_even(count_by_target(4000)));
  balancer.wait(3 * us_per_s);
  BOOST_TEST(is_even(count_by_target(5000)));
}

// When all balancers had started at once, routers moved flows between them, and
// 266 false reports of silent targets went to all balancers.
BOOST_AUTO_TEST_CASE(silence_is_not_reported_soon_after_the_start) {
  table_builder builder;
  builder.add("a", "north");
  forwarding_fixture balancer(builder);
  balancer.wait(reporting_delay - 100 * us_per_ms);
  balancer.open_flow(1);
  balancer.wait(50 * us_per_ms);
  BOOST_TEST(balancer.core.placing().failures(token_of("a")) == 1u);
  BOOST_TEST(balancer.core.take_reports().empty());
}

// A balancer whose network path to a zone is cut must not make its peers avoid
// the zone too.
BOOST_AUTO_TEST_CASE(silence_of_the_path_to_a_zone_is_not_reported) {
  table_builder builder;
  for (int i = 0; i < 6; ++i)
    builder.add("s-" + std::to_string(i), "south");
  forwarding_fixture balancer(builder);
  balancer.wait(reporting_delay);
  for (uint16_t i = 0; i < 12; ++i)
    balancer.open_flow(100 + i);
  balancer.wait(100 * us_per_ms);
  BOOST_TEST(balancer.core.take_reports().size() <=
             2 * placement_options().min_silent_targets);
}

/** A core with the directory loaded and a heartbeat received from one peer. */
struct reporting_fixture : directory_fixture {
  reporting_fixture() {
    load();
    receive_hello(7, 1);
    messages.clear();
  }

  void receive_hello(uint64_t incarnation, uint64_t sequence) {
    peer_hello hello =
        hello_of("front-2", "north", peer_address, incarnation, sequence);
    handle(core.on_peer_message(now, hello));
  }

  /** Receives a message of the peer with @p reports observations.
   * @return How many of them were handed to the traffic thread. */
  size_t receive_reports(uint64_t incarnation,
                         uint64_t sequence,
                         size_t reports = 1) {
    peer_reports message{peer_address, incarnation, sequence, {}};
    message.reports.resize(reports);
    size_t out = 0;
    for (const auto& action : core.on_peer_message(now, message)) {
      if (const auto* r = std::get_if<reported_targets>(&action))
        out += r->reports.size();
    }
    return out;
  }

  /** @return The messages about targets sent since the last call. */
  std::vector<peer_reports> take_sent_reports() {
    std::vector<peer_reports> out;
    for (const auto& m : std::exchange(messages, {})) {
      if (const auto* r = std::get_if<peer_reports>(&m.body))
        out.push_back(*r);
    }
    return out;
  }
};

BOOST_AUTO_TEST_CASE(first_report_is_sent_at_once_and_later_ones_together) {
  reporting_fixture f;
  f.advance(us_per_s);
  f.take_sent_reports();
  f.handle(f.core.on_local_reports(f.now, {silent_report("a", 1)}));
  BOOST_TEST(f.take_sent_reports().size() == 1u);
  f.handle(f.core.on_local_reports(f.now, {silent_report("a", 1)}));
  f.handle(f.core.on_local_reports(f.now, {silent_report("b", 1)}));
  BOOST_TEST(f.take_sent_reports().empty());
  BOOST_TEST(f.core.next_tick() <= f.now + directory_options().report_interval);
  f.advance(directory_options().report_interval);
  const auto later = f.take_sent_reports();
  BOOST_REQUIRE(later.size() == 1u);
  BOOST_TEST(later[0].reports.size() == 2u);
}

BOOST_AUTO_TEST_CASE(stale_and_oversized_reports_are_ignored) {
  reporting_fixture f;
  BOOST_TEST(f.receive_reports(7, 2) == 1u);
  BOOST_TEST(f.receive_reports(7, 2) == 0u);  // Replayed.
  BOOST_TEST(f.receive_reports(7, 1) == 0u);
  BOOST_TEST(f.receive_reports(6, 9) == 0u);  // From an earlier process.
  BOOST_TEST(f.receive_reports(7, 3, 1000) == 0u);
  f.receive_hello(8, 1);
  BOOST_TEST(f.receive_reports(8, 1) == 1u);
}

// Found by the emulator (seed 803): a balancer that had just started got its
// peers' reports before its first table, and they were lost.
BOOST_AUTO_TEST_CASE(reports_wait_for_the_first_table) {
  directory_fixture starting(options_of("front-3", own_address));
  peer_hello hello = hello_of("front-2", "north", peer_address, 7);
  starting.handle(starting.core.on_peer_message(starting.now, hello));
  const peer_reports message{peer_address, 7, 2, {silent_report("i-1", 2)}};
  size_t handed_over = 0;
  const auto count = [&](const directory_core::actions& actions) {
    for (const auto& action : actions)
      handed_over += std::holds_alternative<reported_targets>(action) ? 1 : 0;
  };
  count(starting.core.on_peer_message(starting.now, message));
  BOOST_TEST(handed_over == 0u);
  peer_directory_delta full_directory;
  full_directory.to_incarnation = hash_name("front-3");
  full_directory.revision = 10;
  for (size_t i = 0; i < directory_kinds; ++i) {
    full_directory.kind = static_cast<directory_kind>(i);
    full_directory.names.clear();
    full_directory.revisions.clear();
    full_directory.routings.clear();
    if (full_directory.kind == directory_kind::routing) {
      full_directory.names = {"main"};
      full_directory.revisions = {2};
      full_directory.routings = {make_routing(1)};
    }
    count(starting.core.on_peer_message(starting.now, full_directory));
  }
  BOOST_TEST(handed_over == 1u);
}

BOOST_AUTO_TEST_CASE(failures_reported_singly_are_summed_for_a_new_peer) {
  reporting_fixture f;
  f.advance(us_per_s);
  for (int i = 0; i < 3; ++i)
    f.handle(f.core.on_local_reports(f.now, {silent_report("a", 1)}));
  f.take_sent_reports();
  f.receive_hello(8, 1);
  const auto sent = f.take_sent_reports();
  BOOST_REQUIRE(!sent.empty());
  BOOST_TEST(sent.back().reports[0].failures == 3u);
}

// Found by the emulator: a balancer that had been cut off had missed reports,
// and took a target that had restarted cold for one silent only due to the cut.
BOOST_AUTO_TEST_CASE(returning_peer_gets_the_reports_still_valid) {
  reporting_fixture f;
  f.receive_hello(7, 2);
  f.advance(3 * us_per_s);
  target_report report = silent_report("a", 1);
  report.remaining = 4 * us_per_s;
  f.handle(f.core.on_local_reports(f.now, {report}));
  f.take_sent_reports();
  f.receive_hello(7, 3);
  BOOST_TEST(f.take_sent_reports().size() == 1u);
  f.receive_hello(7, 4);
  BOOST_TEST(f.take_sent_reports().empty());
}

// Found by the emulator (seed 793): for a third of a second after a network
// cut, the isolated balancer got no reports, as no peer had received its
// heartbeats again.
BOOST_AUTO_TEST_CASE(isolated_balancer_is_heard_soon_after_a_cut) {
  reporting_fixture f;
  peer_hello far =
      hello_of("front-9", "south", {peer_address.ip + 9, peer_address.port}, 1);
  f.handle(f.core.on_peer_message(f.now, far));
  f.load();
  f.advance(5 * us_per_s);
  f.advance(us_per_s);
  f.messages.clear();
  f.advance(directory_options().isolated_heartbeat_interval);
  const auto sent_to_far = [&] {
    return std::any_of(f.messages.begin(), f.messages.end(),
                       [&](const auto& m) { return m.to == far.address; });
  };
  BOOST_TEST(sent_to_far());
  far.sequence = 2;
  f.messages.clear();
  f.handle(f.core.on_peer_message(f.now, far));
  BOOST_TEST(sent_to_far());
}

BOOST_AUTO_TEST_CASE(loss_of_the_registry_is_published) {
  reporting_fixture f;
  BOOST_TEST(!f.registry_lost);
  f.reply(directory_kind::targets, 0, {}, registry_status::unreachable);
  BOOST_TEST(f.registry_lost);
  f.advance(us_per_s);
  f.reply(directory_kind::targets, 10, {});
  BOOST_TEST(!f.registry_lost);
}

BOOST_AUTO_TEST_CASE(starting_peer_gets_the_reports_still_valid) {
  reporting_fixture f;
  f.advance(us_per_s);
  target_report brief = silent_report("b", 1);
  brief.remaining = 100 * us_per_ms;
  f.handle(f.core.on_local_reports(f.now, {silent_report("a", 1), brief}));
  f.take_sent_reports();
  f.advance(200 * us_per_ms);
  f.receive_hello(8, 1);
  const auto sent = f.take_sent_reports();
  BOOST_REQUIRE(sent.size() == 1u);
  BOOST_REQUIRE(sent[0].reports.size() == 1u);
  BOOST_TEST(sent[0].reports[0].token == token_of("a"));
  BOOST_TEST(sent[0].reports[0].remaining == 400 * us_per_ms);
  BOOST_TEST(sent[0].reports[0].age == 240 * us_per_ms);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
