/** @file stall_test.cpp Evidence that a target or a zone is lost for open
 * flows, and what callers get on them. */
#include <boost/test/unit_test.hpp>

#include "forwarding_fixture.h"

namespace turmeric {
namespace {

const stall_options defaults;
/** Time after the first table from which own stalls count. */
const time_us settled = defaults.startup_grace + us_per_ms;

enum class step_kind : uint8_t {
  own_stall,
  peer_stall,
  own_progress,
  peer_progress,
  heartbeat,  ///< Of a balancer in the zone of the target.
  restart     ///< A pause of this process.
};

/** One observation. Times count from the first stall. */
struct step {
  step_kind what;
  const char* target;
  time_us at_ms;
  uint32_t caller = 0;
  uint64_t reporter = 0;
  stall_kind kind = stall_kind::request;
  /** When the opening or request was sent, or the peer saw progress; relative
   * to `at_ms`. */
  time_us sent_before_ms = 200;
};

struct evidence_row {
  const char* name;
  size_t other_balancers;
  std::vector<step> steps;
  time_us asked_at_ms;
  loss_scope expected;
  const char* asked = "b1";
};

constexpr auto opening = stall_kind::opening;
constexpr auto request = stall_kind::request;

/** Targets a1 to a3 are in the own zone, b1 to b3 in another. */
table_builder two_zones() {
  table_builder builder;
  for (const char* name : {"a1", "a2", "a3"})
    builder.add(name, "north");
  for (const char* name : {"b1", "b2", "b3"})
    builder.add(name, "south");
  return builder;
}

void apply_step(stall_evidence* evidence,
                const forwarding_table& table,
                time_us start,
                const step& s) {
  const time_us now = start + s.at_ms * us_per_ms;
  const auto& target = *table.target_of(token_of(s.target));
  const time_us age = s.sent_before_ms * us_per_ms;
  switch (s.what) {
    case step_kind::own_stall:
      evidence->on_stall(now, target, s.kind, s.caller, now - age);
      break;
    case step_kind::peer_stall:
      evidence->on_report(now, target, s.reporter,
                          {target.token, s.kind, age, s.caller});
      break;
    case step_kind::own_progress:
      evidence->on_progress(now, target);
      break;
    case step_kind::peer_progress:
      evidence->on_report(now, target, s.reporter,
                          {target.token, stall_kind::progress, age, 0});
      break;
    case step_kind::heartbeat:
      evidence->on_zone_heartbeat(now, target.entry.zone);
      break;
    case step_kind::restart:
      evidence->restart(now);
  }
}

/** Stalls of three callers at two balancers, an opening among them, while a
 * target of the own zone answers. */
std::vector<step> dead_target(const char* name) {
  return {{step_kind::own_progress, "a1", -100},
          {step_kind::own_stall, name, 0, 1, 0, opening, 40},
          {step_kind::own_progress, "a1", 10},
          {step_kind::own_stall, name, 150, 2, 0, request, 200},
          {step_kind::peer_stall, name, 160, 3, 7, request, 200}};
}

std::vector<step> with(std::vector<step> steps, std::vector<step> more) {
  steps.insert(steps.end(), more.begin(), more.end());
  std::stable_sort(
      steps.begin(), steps.end(),
      [](const step& a, const step& b) { return a.at_ms < b.at_ms; });
  return steps;
}

/** Requests of three callers to two targets of the other zone. */
std::vector<step> cut_zone() {
  return {{step_kind::own_stall, "b1", 0, 1, 0, request, 200},
          {step_kind::own_progress, "a1", 5},
          {step_kind::own_stall, "b2", 10, 2, 0, request, 200},
          {step_kind::peer_stall, "b1", 20, 3, 7, request, 200}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stall_suite)

BOOST_AUTO_TEST_CASE(a_loss_takes_several_witnesses_and_no_sign_of_life) {
  const evidence_row rows[] = {
      {"dead target", 5, dead_target("b1"), 300, loss_scope::target},
      {"peers had no time to contradict", 5, dead_target("b1"), 200,
       loss_scope::none},
      {"dead target of the own zone", 5, dead_target("a2"), 300,
       loss_scope::target, "a2"},
      {"two callers only",
       5,
       {{step_kind::own_stall, "b1", 0, 1, 0, opening, 40},
        {step_kind::own_progress, "a1", 10},
        {step_kind::own_stall, "b1", 150, 2},
        {step_kind::peer_stall, "b1", 160, 2, 7}},
       400,
       loss_scope::none},
      {"one balancer only, its link may be bad",
       5,
       {{step_kind::own_stall, "b1", 0, 1, 0, opening, 40},
        {step_kind::own_progress, "a1", 10},
        {step_kind::own_stall, "b1", 150, 2},
        {step_kind::own_stall, "b1", 160, 3}},
       400,
       loss_scope::none},
      {"the only balancer there is",
       0,
       {{step_kind::own_stall, "b1", 0, 1, 0, opening, 40},
        {step_kind::own_progress, "a1", 10},
        {step_kind::own_stall, "b1", 150, 2},
        {step_kind::own_stall, "b1", 160, 3}},
       400,
       loss_scope::target},
      {"the only balancer, and nothing answers it",
       0,
       {{step_kind::own_stall, "b1", 0, 1, 0, opening, 40},
        {step_kind::own_stall, "b1", 150, 2},
        {step_kind::own_stall, "b1", 160, 3}},
       400,
       loss_scope::none},
      {"slow target: openings are answered",
       5,
       {{step_kind::own_stall, "b1", 0, 1},
        {step_kind::own_progress, "a1", 10},
        {step_kind::own_stall, "b1", 150, 2},
        {step_kind::peer_stall, "b1", 160, 3, 7}},
       400,
       loss_scope::none},
      {"another flow of it moves on here", 5,
       with(dead_target("b1"), {{step_kind::own_progress, "b1", 170}}), 400,
       loss_scope::none},
      {"it moved on here before the last stalls", 5,
       with(dead_target("b1"), {{step_kind::own_progress, "b1", 20}}), 400,
       loss_scope::none},
      {"another flow of it moves on at a peer", 5,
       with(dead_target("b1"),
            {{step_kind::peer_progress, "b1", 200, 0, 8, request, 20}}),
       400, loss_scope::none},
      {"a peer saw it move on before the stalls only", 5,
       with(dead_target("b1"),
            {{step_kind::peer_progress, "b1", 200, 0, 8, request, 900}}),
       400, loss_scope::target},
      {"a peer contradicts later", 5,
       with(dead_target("b1"),
            {{step_kind::peer_progress, "b1", 500, 0, 8, request, 20}}),
       600, loss_scope::none},
      {"peers alone: two do not suffice",
       5,
       {{step_kind::peer_stall, "b1", 0, 1, 7, opening, 40},
        {step_kind::peer_stall, "b1", 100, 2, 8},
        {step_kind::peer_stall, "b1", 110, 3, 8}},
       400,
       loss_scope::none},
      {"peers alone: three suffice",
       5,
       {{step_kind::peer_stall, "b1", 0, 1, 7, opening, 40},
        {step_kind::peer_stall, "b1", 100, 2, 8},
        {step_kind::peer_stall, "b1", 110, 3, 9}},
       400,
       loss_scope::target},
      {"one lying peer",
       5,
       {{step_kind::peer_stall, "b1", 0, 1, 7, opening, 40},
        {step_kind::peer_stall, "b1", 100, 2, 7},
        {step_kind::peer_stall, "b1", 110, 3, 7},
        {step_kind::peer_stall, "b2", 110, 4, 7, opening, 40}},
       400,
       loss_scope::none},
      {"a pause of this process in between", 5,
       with(dead_target("b1"), {{step_kind::restart, "b1", 155}}), 400,
       loss_scope::none},
      {"long ago, and no packet since", 5, dead_target("b1"), 2300,
       loss_scope::none},
      {"zone cut off", 5, cut_zone(), 130, loss_scope::zone},
      {"heartbeats still come from the zone", 5,
       with(cut_zone(), {{step_kind::heartbeat, "b1", 15}}), 130,
       loss_scope::none},
      {"heartbeats come again", 5,
       with(cut_zone(), {{step_kind::heartbeat, "b1", 200}}), 210,
       loss_scope::none},
      {"a third target of the zone moves on", 5,
       with(cut_zone(), {{step_kind::own_progress, "b3", 15}}), 130,
       loss_scope::none},
      {"a third target of the zone moves on at a peer", 5,
       with(cut_zone(),
            {{step_kind::peer_progress, "b3", 60, 0, 8, request, 10}}),
       130, loss_scope::none},
      {"one target of the zone only",
       5,
       {{step_kind::own_stall, "b1", 0, 1},
        {step_kind::own_progress, "a1", 5},
        {step_kind::own_stall, "b1", 10, 2},
        {step_kind::peer_stall, "b1", 20, 3, 7}},
       130,
       loss_scope::none},
  };
  const auto table = two_zones().table();
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      stall_evidence evidence("north", defaults);
      evidence.set_balancers(row.other_balancers);
      evidence.restart(us_per_s);
      const time_us start = 5 * us_per_s;
      for (const step& s : row.steps)
        apply_step(&evidence, *table, start, s);
      const loss_scope scope =
          evidence.loss_of(start + row.asked_at_ms * us_per_ms,
                           *table->target_of(token_of(row.asked)));
      BOOST_TEST(name_of(scope) == name_of(row.expected));
    }
  }
}

/** Evidence with a lost target b1; time 0 is that of its first stall. */
struct lost_target_fixture {
  lost_target_fixture() {
    evidence.set_balancers(5);
    evidence.restart(us_per_s);
    for (const step& s : dead_target("b1"))
      apply(s);
  }

  void apply(const step& s) { apply_step(&evidence, *table, start, s); }

  loss_scope loss_at(time_us at_ms) {
    return evidence.loss_of(start + at_ms * us_per_ms,
                            *table->target_of(token_of("b1")));
  }

  time_us start = 5 * us_per_s;
  std::shared_ptr<const forwarding_table> table = two_zones().table();
  stall_evidence evidence{"north", defaults};
};

// Nothing is sent to a lost target, so no evidence arises either. It is tried
// again with one request, not with those of three more callers.
BOOST_AUTO_TEST_CASE(one_stall_renews_a_loss_until_the_target_answers) {
  lost_target_fixture f;
  BOOST_TEST(name_of(f.loss_at(300)) == "target");
  BOOST_TEST(name_of(f.loss_at(2300)) == "none");
  f.apply({step_kind::own_progress, "a1", 2350});
  f.apply({step_kind::own_stall, "b1", 2500, 9});
  BOOST_TEST(name_of(f.loss_at(2500)) == "target");
  f.apply({step_kind::own_progress, "b1", 2600});
  BOOST_TEST(name_of(f.loss_at(2600)) == "none");
  f.apply({step_kind::own_stall, "b1", 2900, 9});
  BOOST_TEST(name_of(f.loss_at(2900)) == "none");
}

// Each balancer that had flows of a dead target saw them move on shortly
// before.
BOOST_AUTO_TEST_CASE(progress_before_the_stalls_does_not_delay_a_loss) {
  lost_target_fixture f;
  for (const uint64_t peer : {8, 9})
    f.apply({step_kind::peer_progress, "b1", 170, 0, peer, request, 400});
  BOOST_TEST(name_of(f.loss_at(261)) == "target");
  f.apply({step_kind::peer_progress, "b1", 265, 0, 9, request, 400});
  BOOST_TEST(name_of(f.loss_at(266)) == "target");
  // Nor does it renew one.
  f.apply({step_kind::peer_progress, "b1", 1900, 0, 9, request, 2000});
  BOOST_TEST(name_of(f.loss_at(2300)) == "none");
}

BOOST_AUTO_TEST_CASE(a_restarted_target_starts_without_evidence) {
  table_builder builder = two_zones();
  for (auto& target : builder.input.targets)
    target.entry.started_unix_ms = 1000;
  lost_target_fixture f;
  f.table = builder.table();
  f.evidence = stall_evidence("north", defaults);
  f.evidence.set_balancers(5);
  for (const step& s : dead_target("b1"))
    f.apply(s);
  BOOST_TEST(name_of(f.loss_at(300)) == "target");
  for (auto& target : builder.input.targets)
    target.entry.started_unix_ms = 2000;
  f.evidence.retain(*builder.table());
  BOOST_TEST(name_of(f.loss_at(310)) == "none");
  f.table = builder.table();
  f.apply({step_kind::own_progress, "a1", 350});
  f.apply({step_kind::own_stall, "b1", 500, 9, 0, opening, 40});
  BOOST_TEST(name_of(f.loss_at(650)) == "none");
}

struct report_row {
  const char* name;
  std::vector<step> steps;
  /** Kinds of the reports, in their order. */
  std::vector<stall_kind> expected;
};

BOOST_AUTO_TEST_CASE(peers_are_told_what_may_be_evidence) {
  const report_row rows[] = {
      {"one slow request",
       {{step_kind::own_progress, "a1", -10},
        {step_kind::own_stall, "b1", 0, 1}},
       {}},
      {"unanswered opening, no flow of this balancer moves on",
       {{step_kind::own_stall, "b1", 0, 1, 0, opening, 40}},
       {}},
      {"unanswered opening",
       {{step_kind::own_progress, "a1", -10},
        {step_kind::own_stall, "b1", 0, 1, 0, opening, 40}},
       {opening}},
      {"the requests after an opening",
       {{step_kind::own_progress, "a1", -10},
        {step_kind::own_stall, "b1", 0, 1, 0, opening, 40},
        {step_kind::own_progress, "a1", 20},
        {step_kind::own_stall, "b1", 200, 2}},
       {opening, request}},
      {"a request after a peer's opening",
       {{step_kind::own_progress, "a1", -10},
        {step_kind::own_stall, "b1", 0, 2},
        {step_kind::peer_stall, "b1", 10, 3, 7, opening, 40}},
       {request}},
      {"requests to two targets of a zone",
       {{step_kind::own_progress, "a1", -10},
        {step_kind::own_stall, "b1", 0, 1},
        {step_kind::own_stall, "b2", 10, 2}},
       {request, request}},
      {"peers' evidence that is disproved here",
       {{step_kind::own_progress, "b1", 100},
        {step_kind::peer_stall, "b1", 110, 1, 7, opening, 80},
        {step_kind::peer_stall, "b1", 120, 2, 8},
        {step_kind::peer_stall, "b1", 130, 3, 9},
        {step_kind::peer_stall, "b1", 140, 4, 9}},
       {stall_kind::progress}},
      {"peers' evidence against a zone that is disproved here",
       {{step_kind::own_progress, "b3", 100},
        {step_kind::peer_stall, "b1", 110, 1, 7},
        {step_kind::peer_stall, "b2", 120, 2, 8},
        {step_kind::peer_stall, "b1", 130, 3, 9}},
       {stall_kind::progress}},
      {"peers' evidence that progress here does not disprove",
       {{step_kind::own_progress, "b1", -100},
        {step_kind::peer_stall, "b1", 110, 1, 7, opening, 80},
        {step_kind::peer_stall, "b1", 120, 2, 8, request, 150},
        {step_kind::peer_stall, "b1", 130, 3, 9, request, 150},
        {step_kind::peer_stall, "b1", 140, 4, 9, request, 150}},
       {}},
      {"peers' evidence that does not suffice",
       {{step_kind::own_progress, "b1", 100},
        {step_kind::peer_stall, "b1", 110, 1, 7, opening, 80}},
       {}},
  };
  const auto table = two_zones().table();
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      stall_evidence evidence("north", defaults);
      evidence.set_balancers(5);
      for (const step& s : row.steps)
        apply_step(&evidence, *table, 5 * us_per_s, s);
      const auto reports = evidence.take_reports();
      BOOST_REQUIRE(reports.size() == row.expected.size());
      for (size_t i = 0; i < reports.size(); ++i)
        BOOST_TEST((reports[i].kind == row.expected[i]));
    }
  }
}

BOOST_AUTO_TEST_CASE(disproved_stalls_and_the_evidence_of_losses_are_logged) {
  lost_target_fixture f;
  f.loss_at(300);
  const auto losses = f.evidence.take_losses();
  BOOST_REQUIRE(losses.size() == 1);
  BOOST_REQUIRE(losses[0].stalls.size() == 3);
  BOOST_TEST((losses[0].stalls[0].kind == opening));
  BOOST_TEST(losses[0].stalls[2].reporter == 7);
  BOOST_TEST(losses[0].progress_age == INT64_MAX);
  stall_evidence witness("north", defaults);
  witness.set_balancers(5);
  apply_step(&witness, *f.table, f.start, {step_kind::own_progress, "b2", 310});
  apply_step(&witness, *f.table, f.start,
             {step_kind::peer_stall, "b2", 320, 4, 8, request, 50});
  const auto disproofs = witness.take_disproofs();
  BOOST_REQUIRE(disproofs.size() == 1);
  BOOST_TEST(disproofs[0].reporter == 8);
  BOOST_TEST(disproofs[0].progress_age == 10 * us_per_ms);
  BOOST_TEST(!disproofs[0].told);
}

struct caller_row {
  route_kind kind;
  forwarding_action expected;
};

// Callers of a dead target may go elsewhere only if their request may be sent
// again. A request that must run once waits for its answer.
BOOST_AUTO_TEST_CASE(flows_of_repeatable_requests_to_a_lost_target_are_reset) {
  const caller_row rows[] = {
      {route_kind::safe, forwarding_action::reset},
      {route_kind::download, forwarding_action::reset},
      {route_kind::unsafe, forwarding_action::forward},
      {route_kind::upload, forwarding_action::forward},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(name_of(row.kind)) {
      table_builder builder = two_zones();
      routing_entry routing = std::get<routing_entry>(*builder.input.routing);
      routing.routes[0].kind = row.kind;
      builder.input.routing = std::make_shared<const directory_value>(routing);
      forwarding_fixture balancer(builder);
      balancer.core.set_balancers(1, {2, 3, 4, 5, 6});
      const auto request_of = [&](uint16_t port, const char* target) {
        segment s = balancer.segment_from(port);
        s.source.ip += port;  // A caller for each flow.
        s.flags.acknowledges = true;
        s.token = token_of(target);
        s.acknowledged = 1;
        s.sequence = 50;
        s.data_bytes = 100;
        return balancer.core.on_segment(balancer.now, s);
      };
      balancer.wait(settled);
      for (uint16_t port = 1; port <= 3; ++port)
        request_of(port, "b1");
      balancer.wait(10 * us_per_ms);
      balancer.complete_flow(99);
      balancer.wait(190 * us_per_ms);
      for (uint16_t port = 1; port <= 2; ++port)
        BOOST_TEST(
            (request_of(port, "b1").action == forwarding_action::forward));
      balancer.core.on_peer_stalls(
          balancer.now, 7, {{token_of("b1"), opening, 100 * us_per_ms, 1234}});
      balancer.wait(defaults.contradiction_time);
      const auto repeated = request_of(3, "b1");
      BOOST_TEST((repeated.action == row.expected));
      const auto first_of_flow = request_of(4, "b1");
      BOOST_TEST((first_of_flow.action == row.expected));
      BOOST_TEST((request_of(5, "b2").action == forwarding_action::forward));
      if (row.expected == forwarding_action::reset)
        BOOST_TEST((repeated.reason == forwarding_reason::target_lost));
    }
  }
}

// One segment in a long request is lost and sent again, while the others move
// on.
BOOST_AUTO_TEST_CASE(repeated_segments_of_an_upload_are_no_evidence) {
  forwarding_fixture balancer(two_zones());
  balancer.wait(settled);
  const auto send = [&](uint32_t sequence) {
    segment s = balancer.segment_from(1);
    s.flags.acknowledges = true;
    s.token = token_of("b1");
    s.acknowledged = 1;
    s.sequence = sequence;
    s.data_bytes = 1200;
    balancer.core.on_segment(balancer.now, s);
  };
  for (uint32_t i = 0; i < 4; ++i)
    send(50 + 1200 * i);
  balancer.complete_flow(99);
  balancer.core.on_peer_stalls(balancer.now, 7,
                               {{token_of("b1"), opening, 0, 1234}});
  balancer.wait(200 * us_per_ms);
  send(50);
  BOOST_TEST(balancer.core.take_reports().stalls.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
