/** @file report_test.cpp What balancers tell each other of silent targets. */
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "directory_fixture.h"
#include "forwarding_fixture.h"

namespace turmeric {
namespace {

/** Time after which a balancer tells what it sees. */
const time_us settled = placement_options().startup_grace;

/** Two targets in the own zone and one elsewhere. */
world three_targets() {
  world w;
  w.add("a", "north");
  w.add("b", "north");
  w.add("c", "south");
  return w;
}

target_report silent(const std::string& name, uint32_t failures) {
  return {token_of(name), target_observation::silent, 40 * us_per_ms,
          600 * us_per_ms, failures};
}

/** Opens flows one after another. @return How many went to @p name. */
int opened_at(player* p, const std::string& name, int flows, uint16_t port) {
  int count = 0;
  for (int i = 0; i < flows; ++i) {
    const auto decision = p->open(static_cast<uint16_t>(port + i));
    count += decision.target->entry.name == name ? 1 : 0;
    p->wait(us_per_ms);
    p->send(static_cast<uint16_t>(port + i), decision.target->token, 1, true);
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(report_suite)

struct hearing_row {
  const char* name;
  std::vector<target_report> reports;
  time_us after;  ///< Before the flows are opened.
  bool avoided;
};

BOOST_AUTO_TEST_CASE(targets_that_others_saw_silent_are_avoided) {
  target_report answers = silent("a", 0);
  answers.observation = target_observation::recovered;
  answers.remaining = 2 * us_per_s;
  target_report back = answers;
  back.failures = 1;
  target_report nonsense = silent("a", 2);
  nonsense.observation = target_observation::end;
  target_report unknown = silent("nobody", 2);
  const hearing_row rows[] = {
      {"nothing told", {}, 0, false},
      {"one opening", {silent("a", 1)}, 0, true},
      {"two openings", {silent("a", 1), silent("a", 1)}, 0, true},
      {"sender's next try is due", {silent("a", 2)}, 700 * us_per_ms, true},
      {"sender is gone", {silent("a", 2)}, 900 * us_per_ms, false},
      {"it answers again", {silent("a", 1), answers}, us_per_s, true},
      {"it answered long ago", {silent("a", 1), answers}, 3 * us_per_s, false},
      {"it is back, maybe cold", {silent("a", 2), back}, us_per_s, true},
      {"it was back long ago", {silent("a", 2), back}, 3 * us_per_s, false},
      {"unknown kind", {nonsense}, 0, false},
      {"unknown target", {unknown}, 0, false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      player p(three_targets());
      p.core.on_peer_reports(p.now, row.reports);
      p.wait(row.after);
      const int count = opened_at(&p, "a", 20, 1000);
      BOOST_TEST((count == 0) == row.avoided);
    }
  }
}

BOOST_AUTO_TEST_CASE(one_lost_packet_elsewhere_rules_no_target_out) {
  player p(three_targets());
  p.core.on_peer_reports(p.now, {silent("a", 1)});
  int count = 0;
  // Flows that stay open fill the other target of the zone.
  for (uint16_t i = 0; i < 12; ++i)
    count += p.open(2000 + i).target->entry.name == "a" ? 1 : 0;
  BOOST_TEST(count > 0);
}

BOOST_AUTO_TEST_CASE(own_newer_answers_go_before_reports) {
  player p(three_targets());
  for (uint16_t i = 0; i < 10; ++i)
    p.serve(3000 + i);
  p.core.on_peer_reports(p.now, {silent("a", 5)});
  BOOST_TEST(opened_at(&p, "a", 20, 4000) != 0);
}

BOOST_AUTO_TEST_CASE(silence_is_told_once_and_its_end_too) {
  world w;
  w.add("a", "north");
  player p(w);
  p.wait(settled);
  const flow_token token = p.open(1).target->token;
  p.wait(30 * us_per_ms);
  BOOST_TEST(p.core.take_reports().empty());
  p.wait(20 * us_per_ms);
  auto told = p.core.take_reports();
  BOOST_REQUIRE(told.size() == 1u);
  BOOST_TEST((told[0].observation == target_observation::silent));
  BOOST_TEST(told[0].token == token);
  BOOST_TEST(told[0].failures == 1u);
  BOOST_TEST(told[0].age == 50 * us_per_ms);
  BOOST_TEST(p.core.take_reports().empty());
  p.send(1, token, 1);
  told = p.core.take_reports();
  BOOST_REQUIRE(told.size() == 1u);
  BOOST_TEST((told[0].observation == target_observation::recovered));
  // One lost packet does not show that it was gone.
  BOOST_TEST(told[0].failures == 0u);
}

// Found by an emulator seed: a repeated segment acknowledges what its first
// copy did, which is less than later ones, and shows nothing of the target.
BOOST_AUTO_TEST_CASE(only_new_acknowledgements_show_that_a_target_lives) {
  constexpr uint32_t before_wrap = 0xfffffff0;
  world w;
  w.add("a", "north");
  player p(w);
  const flow_token token = p.open(1).target->token;
  p.wait(5 * us_per_ms);
  p.send(1, token, before_wrap);
  p.send(1, token, before_wrap + 100);
  p.open(2);
  p.wait(50 * us_per_ms);
  BOOST_TEST(p.core.placing().failures(token) == 1u);
  p.send(1, token, before_wrap);
  BOOST_TEST(p.core.placing().failures(token) == 1u);
  p.send(1, token, before_wrap + 101);
  BOOST_TEST(p.core.placing().failures(token) == 0u);
}

// While the registry is away no entry says that a target is cold.
BOOST_AUTO_TEST_CASE(without_the_registry_any_silence_may_be_a_new_start) {
  world w;
  w.add("a", "north");
  player p(w);
  p.wait(settled);
  p.core.set_registry_lost(true);
  const flow_token token = p.open(1).target->token;
  p.wait(50 * us_per_ms);
  p.core.take_reports();
  p.send(1, token, 1);
  const auto told = p.core.take_reports();
  BOOST_REQUIRE(told.size() == 1u);
  BOOST_TEST(told[0].failures == 1u);
  BOOST_TEST(told[0].remaining == placement_options().recovering_time);
}

// Found by emulator seed 793: a balancer that was cut off sent its usual share
// to a target that had started anew meanwhile.
BOOST_AUTO_TEST_CASE(after_a_cut_flows_are_spread_evenly) {
  world w;
  for (int i = 0; i < 6; ++i)
    w.add("n-" + std::to_string(i), "north");
  player p(w);
  p.core.set_balancers(hash_name("front-1"), {1, 2, 3, 4, 5});
  p.core.set_zone_balancers({1, 2, 3, 4, 5});
  const auto spread = [&p](uint16_t port) {
    std::map<std::string, int> at;
    for (uint16_t i = 0; i < 60; ++i)
      ++at[p.serve(static_cast<uint16_t>(port + i))];
    return at;
  };
  BOOST_TEST(spread(1000).size() < 6u);
  for (uint16_t i = 0; i < 24; ++i)
    p.open(2000 + i);
  p.wait(50 * us_per_ms);
  p.wait(5 * us_per_s);
  p.serve(3000);
  BOOST_TEST(spread(4000).size() == 6u);
  p.wait(3 * us_per_s);
  BOOST_TEST(spread(5000).size() < 6u);
}

// Seen on rhm-fit-grown: when all had started at once routers moved flows, and
// 266 silences that were none were told to everybody.
BOOST_AUTO_TEST_CASE(one_that_has_just_started_tells_no_silence) {
  world w;
  w.add("a", "north");
  player p(w);
  p.wait(settled - 100 * us_per_ms);
  p.open(1);
  p.wait(50 * us_per_ms);
  BOOST_TEST(p.core.placing().failures(token_of("a")) == 1u);
  BOOST_TEST(p.core.take_reports().empty());
}

// A balancer whose way to a zone is cut would make others avoid it too.
BOOST_AUTO_TEST_CASE(silence_of_the_way_to_a_zone_is_not_told) {
  world w;
  for (int i = 0; i < 6; ++i)
    w.add("s-" + std::to_string(i), "south");
  player p(w);
  p.wait(settled);
  for (uint16_t i = 0; i < 12; ++i)
    p.open(100 + i);
  p.wait(100 * us_per_ms);
  BOOST_TEST(p.core.take_reports().size() <=
             2 * placement_options().min_silent_targets);
}

/** A directory core that has heard of one peer. */
struct talker : follower_fixture {
  talker() {
    load();
    hear(7, 1);
    messages.clear();
  }

  void hear(uint64_t incarnation, uint64_t sequence) {
    peer_hello hello =
        hello_of("front-2", "north", peer_address, incarnation, sequence);
    take(core.on_peer_message(now, hello));
  }

  /** @return How many observations came out. */
  size_t told(uint64_t incarnation, uint64_t sequence, size_t reports = 1) {
    peer_reports message{peer_address, incarnation, sequence, {}};
    message.reports.resize(reports);
    size_t out = 0;
    for (const auto& action : core.on_peer_message(now, message)) {
      if (const auto* r = std::get_if<reported_targets>(&action))
        out += r->reports.size();
    }
    return out;
  }

  std::vector<peer_reports> sent() {
    std::vector<peer_reports> out;
    for (const auto& m : std::exchange(messages, {})) {
      if (const auto* r = std::get_if<peer_reports>(&m.body))
        out.push_back(*r);
    }
    return out;
  }
};

BOOST_AUTO_TEST_CASE(reports_go_out_at_once_and_then_together) {
  talker f;
  f.advance(us_per_s);
  f.sent();
  f.take(f.core.on_local_reports(f.now, {silent("a", 1)}));
  BOOST_TEST(f.sent().size() == 1u);
  f.take(f.core.on_local_reports(f.now, {silent("a", 1)}));
  f.take(f.core.on_local_reports(f.now, {silent("b", 1)}));
  BOOST_TEST(f.sent().empty());
  BOOST_TEST(f.core.next_tick() <= f.now + directory_options().report_interval);
  f.advance(directory_options().report_interval);
  const auto later = f.sent();
  BOOST_REQUIRE(later.size() == 1u);
  BOOST_TEST(later[0].reports.size() == 2u);
}

BOOST_AUTO_TEST_CASE(old_and_foreign_reports_are_ignored) {
  talker f;
  BOOST_TEST(f.told(7, 2) == 1u);
  BOOST_TEST(f.told(7, 2) == 0u);  // Replayed.
  BOOST_TEST(f.told(7, 1) == 0u);
  BOOST_TEST(f.told(6, 9) == 0u);  // Of an earlier process.
  BOOST_TEST(f.told(7, 3, 1000) == 0u);
  f.hear(8, 1);
  BOOST_TEST(f.told(8, 1) == 1u);
}

// Found by emulator seed 803: what peers told a balancer that had just started
// came before its first table, and was lost.
BOOST_AUTO_TEST_CASE(reports_wait_for_the_first_table) {
  follower_fixture starting(options_of("front-3", own_address));
  peer_hello hello = hello_of("front-2", "north", peer_address, 7);
  starting.take(starting.core.on_peer_message(starting.now, hello));
  const peer_reports message{peer_address, 7, 2, {silent("i-1", 2)}};
  size_t told = 0;
  const auto count = [&](const directory_core::actions& actions) {
    for (const auto& action : actions)
      told += std::holds_alternative<reported_targets>(action) ? 1 : 0;
  };
  count(starting.core.on_peer_message(starting.now, message));
  BOOST_TEST(told == 0u);
  peer_directory_delta all;
  all.to_incarnation = hash_name("front-3");
  all.revision = 10;
  for (size_t i = 0; i < directory_kinds; ++i) {
    all.kind = static_cast<directory_kind>(i);
    all.names.clear();
    all.revisions.clear();
    all.routings.clear();
    if (all.kind == directory_kind::routing) {
      all.names = {"main"};
      all.revisions = {2};
      all.routings = {make_routing(1)};
    }
    count(starting.core.on_peer_message(starting.now, all));
  }
  BOOST_TEST(told == 1u);
}

BOOST_AUTO_TEST_CASE(failures_told_one_by_one_are_told_together_later) {
  talker f;
  f.advance(us_per_s);
  for (int i = 0; i < 3; ++i)
    f.take(f.core.on_local_reports(f.now, {silent("a", 1)}));
  f.sent();
  f.hear(8, 1);
  const auto sent = f.sent();
  BOOST_REQUIRE(!sent.empty());
  BOOST_TEST(sent.back().reports[0].failures == 3u);
}

// Found by an emulator seed: one that was cut off took a target that came back
// cold for one that its own cut had kept silent.
BOOST_AUTO_TEST_CASE(a_peer_that_returns_is_told_what_still_holds) {
  talker f;
  f.hear(7, 2);
  f.advance(3 * us_per_s);
  target_report report = silent("a", 1);
  report.remaining = 4 * us_per_s;
  f.take(f.core.on_local_reports(f.now, {report}));
  f.sent();
  f.hear(7, 3);
  BOOST_TEST(f.sent().size() == 1u);
  f.hear(7, 4);
  BOOST_TEST(f.sent().empty());
}

// Emulator seed 793: for a third of a second after its cut nobody told it.
BOOST_AUTO_TEST_CASE(one_that_is_cut_off_is_heard_soon_after) {
  talker f;
  peer_hello far =
      hello_of("front-9", "south", {peer_address.ip + 9, peer_address.port}, 1);
  f.take(f.core.on_peer_message(f.now, far));
  f.load();
  f.advance(5 * us_per_s);
  f.advance(us_per_s);
  f.messages.clear();
  f.advance(directory_options().isolated_heartbeat_interval);
  const auto to_far = [&] {
    return std::any_of(f.messages.begin(), f.messages.end(),
                       [&](const auto& m) { return m.to == far.address; });
  };
  BOOST_TEST(to_far());
  far.sequence = 2;
  f.messages.clear();
  f.take(f.core.on_peer_message(f.now, far));
  BOOST_TEST(to_far());
}

BOOST_AUTO_TEST_CASE(the_loss_of_the_registry_is_published) {
  talker f;
  BOOST_TEST(!f.registry_lost);
  f.reply(directory_kind::targets, 0, {}, registry_status::unreachable);
  BOOST_TEST(f.registry_lost);
  f.advance(us_per_s);
  f.reply(directory_kind::targets, 10, {});
  BOOST_TEST(!f.registry_lost);
}

BOOST_AUTO_TEST_CASE(a_peer_that_starts_is_told_what_still_holds) {
  talker f;
  f.advance(us_per_s);
  target_report brief = silent("b", 1);
  brief.remaining = 100 * us_per_ms;
  f.take(f.core.on_local_reports(f.now, {silent("a", 1), brief}));
  f.sent();
  f.advance(200 * us_per_ms);
  f.hear(8, 1);
  const auto sent = f.sent();
  BOOST_REQUIRE(sent.size() == 1u);
  BOOST_REQUIRE(sent[0].reports.size() == 1u);
  BOOST_TEST(sent[0].reports[0].token == token_of("a"));
  BOOST_TEST(sent[0].reports[0].remaining == 400 * us_per_ms);
  BOOST_TEST(sent[0].reports[0].age == 240 * us_per_ms);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
