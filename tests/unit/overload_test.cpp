/** @file overload_test.cpp Load of services, full targets and weights. */
#include <boost/test/unit_test.hpp>
#include <map>

#include "forwarding_fixture.h"

namespace turmeric {
namespace {

const load_monitor_options defaults;

/** Adds @p count answers that take @p took, 1 ms apart. */
void add_answers(load_monitor* monitor, time_us* now, int count, time_us took) {
  for (int i = 0; i < count; ++i)
    monitor->add(*now += us_per_ms, "notes", route_address, took);
}

forwarding_options full_target_options() {
  forwarding_options o = forwarding_fixture::options();
  o.detect_full_targets = true;
  return o;
}

/** A balancer that has learned the usual answer time and may report. */
struct learned_fixture : forwarding_fixture {
  learned_fixture(const table_builder& builder,
                  const forwarding_options& options)
      : forwarding_fixture(builder, 1, options) {
    wait(2 * us_per_s);
    serve(64, 20 * us_per_ms);
  }

  /** Serves flows that are answered @p took after their requests. */
  void serve(int flows, time_us took) {
    for (int i = 0; i < flows; ++i) {
      const auto opened = open_flow(++port);
      wait(us_per_ms);
      send_request(port, opened.target->token, 1);
      wait(took);
      send_segment(port, opened.target->token, 600, true);
    }
  }

  uint16_t port = 2000;
};

/** Two routes of different priority of one service. */
table_builder two_priorities() {
  table_builder builder;
  builder.add("a", "north");
  routing_entry routing = std::get<routing_entry>(*builder.input.routing);
  route_entry first = routing.routes.front();
  first.address.port = 444;
  routing.routes.front().priority = 1;
  routing.routes.push_back(first);
  builder.input.routing = std::make_shared<const directory_value>(routing);
  return builder;
}

forwarding_options admission_only() {
  forwarding_options o = full_target_options();
  o.admission.enabled = true;
  return o;
}

/** A balancer with admission whose service is saturated and whose limit is
 * reached, so that openings of the lower priority wait. */
struct saturated_fixture : learned_fixture {
  saturated_fixture() : learned_fixture(two_priorities(), admission_only()) {
    saturate();
  }

  void saturate() {
    serve(32, 60 * us_per_ms);
    // The target resets some openings, and the next one reaches the limit.
    for (int i = 0; i < 2; ++i)
      open_flow(++port);
    wait(41 * us_per_ms);
    open_flow(++port);
  }

  segment opening(uint16_t from, uint32_t copy) const {
    segment s = segment_from(from);
    s.flags.opens = true;
    s.acknowledged = copy;
    return s;
  }
};

/** Records @p answers of each target, which take @p ratios of the usual time.
 */
void add_answers(target_weights* weights,
                 time_us* now,
                 const std::vector<forwarding_target>& targets,
                 const std::vector<double>& ratios,
                 int answers) {
  for (int i = 0; i < answers; ++i) {
    for (size_t t = 0; t < targets.size(); ++t)
      weights->add_answer(*now += us_per_ms, targets[t], ratios[t]);
  }
}

std::vector<forwarding_target> make_targets(size_t count) {
  std::vector<forwarding_target> out(count);
  for (size_t i = 0; i < count; ++i) {
    out[i].token = static_cast<flow_token>(i + 1);
    out[i].entry.service = "notes";
  }
  return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(overload_suite)

struct load_row {
  const char* name;
  int prompt;   ///< Answers in the usual time.
  int delayed;  ///< Later answers that take three times as long.
  time_us since_last;
  service_load expected;
  int resets = 2;  ///< Openings that targets have reset before.
};

// Guards against a load that is judged from too few or too old answers.
BOOST_AUTO_TEST_CASE(load_follows_the_share_of_delayed_answers) {
  const load_row rows[] = {
      {"nothing learned", 0, 0, 0, service_load::normal},
      {"usual time not yet known", 0, 15, 0, service_load::normal},
      {"too few answers since", 24, 8, 0, service_load::normal},
      {"all prompt", 64, 0, 0, service_load::normal},
      {"a fifth delayed", 64, 7, 0, service_load::normal},
      {"a quarter delayed", 64, 8, 0, service_load::queueing},
      {"over half delayed", 64, 19, 0, service_load::queueing},
      {"six tenths delayed", 64, 20, 0, service_load::overloaded},
      {"all delayed, but accepted", 64, 28, 0, service_load::queueing, 0},
      {"a sixteenth turned away", 64, 28, 0, service_load::overloaded, 2},
      {"less than a sixteenth turned away", 64, 28, 0, service_load::saturated,
       1},
      {"no reset for a second", 64, 24, us_per_s, service_load::queueing},
      {"no answer for longer", 64, 24, us_per_s + 1, service_load::normal},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      load_monitor monitor(defaults);
      time_us now = us_per_s;
      add_answers(&monitor, &now, row.prompt, 20 * us_per_ms);
      for (int i = 0; i < row.resets; ++i)
        monitor.add_reset(now, "notes");
      add_answers(&monitor, &now, row.delayed, 60 * us_per_ms);
      now += row.since_last;
      BOOST_TEST(name_of(monitor.load(now, "notes")) == name_of(row.expected));
      BOOST_TEST(name_of(monitor.load(now, "archive")) == "normal");
    }
  }
}

struct reset_row {
  const char* name;
  int delayed;  ///< Answers of the last 32.
  int resets;
  service_load expected;
};

// Guards against a saturation that is noticed late, as full targets reset
// openings instead of answering late, and against a restarting target that
// counts as load.
BOOST_AUTO_TEST_CASE(reset_openings_count_while_requests_queue) {
  const reset_row rows[] = {
      {"no load", 0, 20, service_load::normal},
      {"below queueing", 7, 20, service_load::normal},
      {"queueing", 8, 11, service_load::queueing},
      {"queueing, then overloaded", 8, 12, service_load::overloaded},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      load_monitor monitor(defaults);
      time_us now = us_per_s;
      add_answers(&monitor, &now, 64, 20 * us_per_ms);
      add_answers(&monitor, &now, row.delayed, 60 * us_per_ms);
      for (int i = 0; i < row.resets; ++i)
        monitor.add_reset(now += us_per_ms, "notes");
      BOOST_TEST(name_of(monitor.load(now, "notes")) == name_of(row.expected));
    }
  }
}

struct usual_time_row {
  const char* name;
  time_us duration;  ///< Of answers that take three times as long.
  bool still_overload;
};

// Guards against an overload that becomes the usual case while it lasts, and
// against work that has become longer and counts as overload for ever.
BOOST_AUTO_TEST_CASE(usual_time_grows_slowly) {
  const usual_time_row rows[] = {{"burst", 10 * us_per_s, true},
                                 {"a minute", 60 * us_per_s, true},
                                 {"longer work", 300 * us_per_s, false}};
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      load_monitor monitor(defaults);
      time_us now = us_per_s;
      add_answers(&monitor, &now, 64, 20 * us_per_ms);
      const time_us end = now + row.duration;
      while (now < end)
        add_answers(&monitor, &now, 16, 60 * us_per_ms);
      const bool overload = monitor.load(now, "notes") != service_load::normal;
      BOOST_TEST(overload == row.still_overload);
      add_answers(&monitor, &now, 640, 20 * us_per_ms);
      BOOST_TEST(monitor.usual(route_address) < 21 * us_per_ms);
    }
  }
}

struct rejection_row {
  const char* name;
  time_us rejection;  ///< Time of each second answer.
  time_us answer;     ///< Time of the others.
};

// Guards against a usual time that falls while targets reject requests: after
// the overload, all answers would count as delayed for minutes.
BOOST_AUTO_TEST_CASE(rejections_do_not_lower_the_usual_time) {
  const rejection_row rows[] = {
      {"rejected at once", us_per_ms, 60 * us_per_ms},
      {"rejected after a round trip", 6 * us_per_ms, 60 * us_per_ms},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      load_monitor monitor(defaults);
      time_us now = us_per_s;
      add_answers(&monitor, &now, 64, 20 * us_per_ms);
      for (int i = 0; i < 400; ++i) {
        add_answers(&monitor, &now, 1, row.answer);
        add_answers(&monitor, &now, 1, row.rejection);
        if (i % 4 == 0)
          monitor.add_reset(now, "notes");
      }
      BOOST_TEST(monitor.usual(route_address) >= 20 * us_per_ms);
      add_answers(&monitor, &now, 32, 20 * us_per_ms);
      BOOST_TEST(name_of(monitor.load(now, "notes")) == "normal");
    }
  }
}

struct full_target_row {
  const char* name;
  bool detect = false;
  bool registry_lost = false;
  bool loaded = false;
  bool repeated = false;  ///< The caller sends a copy of the opening.
  size_t reports = 0;     ///< Until the copy or the end of the flow.
};

// Guards against balancers that take full targets for dead ones: reports of the
// openings that these reset made all balancers avoid them, and the targets that
// were left filled up in turn.
BOOST_AUTO_TEST_CASE(openings_reset_by_full_targets_are_not_reported) {
  const full_target_row rows[] = {
      {"setting off", false, false, false, false, 1},
      {"reset", true, false, false, false, 0},
      {"dead", true, false, false, true, 1},
      {"reset, restarts may be unseen", true, true, false, false, 1},
      {"dead, restarts may be unseen", true, true, false, true, 1},
      {"reset under load, restarts may be unseen", true, true, true, false, 0},
      {"dead under load, restarts may be unseen", true, true, true, true, 1},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      table_builder builder;
      builder.add("a", "north");
      builder.add("b", "north");
      forwarding_options options = full_target_options();
      options.detect_full_targets = row.detect;
      learned_fixture balancer(builder, options);
      balancer.core.set_registry_lost(row.registry_lost);
      if (row.loaded)
        balancer.serve(32, 60 * us_per_ms);
      BOOST_TEST(balancer.core.take_reports().size() == 0U);
      balancer.open_flow(9000);
      balancer.wait(200 * us_per_ms);
      if (row.repeated)
        balancer.repeat_opening(9000, 1);
      const auto reports = balancer.core.take_reports();
      BOOST_TEST(reports.size() == row.reports);
      for (const auto& report : reports) {
        BOOST_CHECK(report.observation == target_observation::silent);
        BOOST_TEST(report.failures == 1U);
      }
    }
  }
}

// Guards against a recovery that is reported without a silence: peers would
// treat a target that was full as one that has restarted.
BOOST_AUTO_TEST_CASE(recovery_is_reported_only_after_reported_silence) {
  for (const bool detect : {false, true}) {
    table_builder builder;
    builder.add("a", "north");
    forwarding_options options = full_target_options();
    options.detect_full_targets = detect;
    learned_fixture balancer(builder, options);
    balancer.open_flow(9000);
    balancer.wait(200 * us_per_ms);
    balancer.core.take_reports();
    balancer.serve(1, 20 * us_per_ms);
    BOOST_TEST(balancer.core.take_reports().empty() == detect);
  }
}

struct held_row {
  const char* name;
  time_us socket_wait;  ///< Longest time that the opening may have waited.
  time_us pause;        ///< Until the held opening is decided on.
  forwarding_action expected;
};

// Guards against the reset of an open flow: while a balancer that holds an
// opening is paused, the caller sends a copy, which opens the flow elsewhere.
BOOST_AUTO_TEST_CASE(held_openings_are_not_refused_after_a_pause) {
  const held_row rows[] = {
      {"end of the wait", 0, 51 * us_per_ms, forwarding_action::reset},
      {"short pause", 0, 140 * us_per_ms, forwarding_action::reset},
      {"copy due", 0, 150 * us_per_ms, forwarding_action::drop},
      {"long pause", 0, 480 * us_per_ms, forwarding_action::drop},
      {"waited before", 100 * us_per_ms, 51 * us_per_ms,
       forwarding_action::drop},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      saturated_fixture balancer;
      segment s = balancer.segment_from(9999);
      s.flags.opens = true;
      const auto held =
          balancer.core.on_segment(balancer.now, s, 0, row.socket_wait);
      BOOST_REQUIRE(held.action == forwarding_action::hold);
      balancer.now += row.pause;
      const auto deferred = balancer.core.take_deferred(balancer.now);
      BOOST_REQUIRE(!deferred.empty());
      BOOST_CHECK(deferred.back().opening.source.port == 9999);
      BOOST_CHECK(deferred.back().decision.action == row.expected);
    }
  }
}

// Guards against the reset of an open flow: the first copy of an opening is
// delayed on the way and held, while the next copy opens the flow.
BOOST_AUTO_TEST_CASE(held_openings_are_not_refused_after_a_copy_was_placed) {
  for (const bool answered : {false, true}) {
    saturated_fixture balancer;
    const segment first = balancer.opening(9999, 0);
    BOOST_REQUIRE(balancer.core.on_segment(balancer.now, first).action ==
                  forwarding_action::hold);
    balancer.wait(10 * us_per_ms);
    const auto copy =
        balancer.core.on_segment(balancer.now, balancer.opening(9999, 1));
    BOOST_REQUIRE(copy.action == forwarding_action::forward);
    if (answered)
      balancer.send_request(9999, copy.target->token, 1);
    balancer.wait(41 * us_per_ms);
    for (const auto& deferred : balancer.core.take_deferred(balancer.now)) {
      if (deferred.opening.source.port == 9999)
        BOOST_CHECK(deferred.decision.action == forwarding_action::drop);
    }
  }
}

// Guards against the refusal of a copy that arrives seconds late, while its
// flow is open.
BOOST_AUTO_TEST_CASE(late_copies_of_open_flows_are_not_refused) {
  saturated_fixture balancer;
  const auto opened =
      balancer.core.on_segment(balancer.now, balancer.opening(9999, 1));
  BOOST_REQUIRE(opened.action == forwarding_action::forward);
  balancer.wait(us_per_ms);
  balancer.send_request(9999, opened.target->token, 1);
  balancer.now += 1600 * us_per_ms;
  balancer.saturate();
  const auto late =
      balancer.core.on_segment(balancer.now, balancer.opening(9999, 0));
  BOOST_CHECK(late.action == forwarding_action::forward);
}

struct lost_request_row {
  const char* name;
  time_us took;  ///< Of the answers before the lost requests.
  uint16_t requests;
  time_us waited;
  service_load expected;
};

// Targets whose queues are full answer openings and reset the flows when the
// request arrives. Without unanswered openings no balancer took its service for
// saturated, and none refused an opening.
BOOST_AUTO_TEST_CASE(requests_reset_by_full_targets_show_saturation) {
  constexpr time_us usual = 20 * us_per_ms;
  const lost_request_row rows[] = {
      {"wait in a queue", 3 * usual, 2, 7 * usual, service_load::queueing},
      {"reset", 3 * usual, 2, 9 * usual, service_load::overloaded},
      {"one reset", 3 * usual, 1, 9 * usual, service_load::saturated},
      {"reset for another reason", usual, 2, 9 * usual, service_load::normal},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      learned_fixture f(two_priorities(), admission_only());
      f.serve(32, row.took);
      for (uint16_t i = 0; i < row.requests; ++i) {
        const auto opened = f.open_flow(++f.port);
        f.send_request(f.port, opened.target->token, 1);
      }
      f.wait(row.waited);
      BOOST_TEST(name_of(f.core.loads().load(f.now, "notes")) ==
                 name_of(row.expected));
      BOOST_TEST(f.core.counters().requests_lost ==
                 (row.waited > 8 * usual ? row.requests : 0U));
    }
  }
}

// Guards against a limit that outlives its targets: openings that get no answer
// must not count as answers.
BOOST_AUTO_TEST_CASE(limit_is_lifted_when_all_targets_die) {
  saturated_fixture balancer;
  for (uint16_t port = 20000; port < 20060; ++port) {
    balancer.open_flow(port);
    balancer.wait(41 * us_per_ms);
    balancer.core.take_deferred(balancer.now);
  }
  BOOST_CHECK(balancer.open_flow(20100).action == forwarding_action::forward);
}

// Guards against a usual time that stays too high once it was learned in an
// overload, and against one that jumps up after an idle time.
BOOST_AUTO_TEST_CASE(usual_time_follows_quick_answers_and_ignores_idle_time) {
  load_monitor monitor(defaults);
  time_us now = us_per_s;
  add_answers(&monitor, &now, 64, 60 * us_per_ms);
  add_answers(&monitor, &now, 640, 5 * us_per_ms);
  BOOST_TEST(monitor.usual(route_address) < 7 * us_per_ms);
  now += 600 * us_per_s;
  add_answers(&monitor, &now, 64, 30 * us_per_ms);
  BOOST_TEST(monitor.usual(route_address) < 8 * us_per_ms);
  BOOST_TEST(name_of(monitor.load(now, "notes")) == "queueing");
}

// Guards against a report of silence about a target that has answered since.
BOOST_AUTO_TEST_CASE(withheld_silence_is_not_reported_after_an_answer) {
  table_builder builder;
  builder.add("a", "north");
  learned_fixture balancer(builder, full_target_options());
  balancer.open_flow(9000);
  balancer.wait(100 * us_per_ms);
  balancer.serve(1, 20 * us_per_ms);
  balancer.wait(80 * us_per_ms);
  balancer.repeat_opening(9000, 1);
  BOOST_TEST(balancer.core.take_reports().empty());
}

struct weight_row {
  const char* name;
  double first;  ///< Answer times of three targets, in usual ones.
  double others;
  int answers;  ///< Of each.
  double min_weight;
  double max_weight;  ///< Of the first target.
};

BOOST_AUTO_TEST_CASE(weights_follow_answer_times) {
  const weight_row rows[] = {
      {"no answers", 1.0, 1.0, 0, 1.0, 1.0},
      {"too few answers", 4.0, 1.0, 3, 1.0, 1.0},
      {"equal targets", 1.0, 1.0, 50, 1.0, 1.0},
      {"work differs a little", 1.3, 1.0, 50, 1.0, 1.0},
      {"slow target", 2.4, 1.0, 50, 0.55, 0.75},
      {"fast target", 0.41, 1.0, 50, 1.7, 2.1},
      {"rejects at once", 0.01, 1.0, 50, 0.38, 0.48},
      {"much slower than all bounds", 1000.0, 1.0, 50, 0.38, 0.48},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      target_weights weights{target_weight_options{}};
      const auto targets = make_targets(3);
      time_us now = us_per_s;
      add_answers(&weights, &now, targets, {row.first, row.others, row.others},
                  row.answers);
      const double weight = weights.weight(now, targets[0]);
      BOOST_TEST(weight >= row.min_weight);
      BOOST_TEST(weight <= row.max_weight);
    }
  }
}

// Guards against a target that stays penalized after it has recovered, and gets
// no flows that would show it.
BOOST_AUTO_TEST_CASE(weights_of_failing_targets_recover) {
  target_weights weights{target_weight_options{}};
  const auto targets = make_targets(20);
  time_us now = us_per_s;
  add_answers(&weights, &now, targets, std::vector<double>(20, 1.0), 10);
  for (int i = 0; i < 40; ++i)
    weights.add_answer(now, targets[0], 8.0);
  const double failing = weights.weight(now, targets[0]);
  BOOST_TEST(failing >= target_weight_options().min_weight);
  BOOST_TEST(failing < 0.5);
  now += 90 * us_per_s;
  BOOST_TEST(weights.weight(now, targets[0]) == 1.0);
}

struct share_row {
  const char* name;
  bool learn;
  time_us slow_answer;  ///< Answer time of target a; 20 ms for the others.
  int min_share;
  int max_share;  ///< Flows of 300 that target a gets afterwards.
};

// Load: demand and targets of unequal speed. Guards against slow targets that
// get as many flows as fast ones, and against targets that get none.
BOOST_AUTO_TEST_CASE(slow_targets_get_fewer_flows) {
  const share_row rows[] = {
      {"equal", true, 20 * us_per_ms, 70, 130},
      {"slow, not learned", false, 60 * us_per_ms, 70, 130},
      {"slow", true, 60 * us_per_ms, 30, 70},
      {"very slow", true, 300 * us_per_ms, 5, 55},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      table_builder builder;
      for (const char* name : {"a", "b", "c"})
        builder.add(name, "north");
      forwarding_options options = forwarding_fixture::options();
      options.placing.learn_weights = row.learn;
      forwarding_fixture balancer(builder, 1, options);
      uint16_t port = 2000;
      std::map<std::string, int> counts;
      for (int i = 0; i < 600; ++i) {
        const auto opened = balancer.open_flow(++port);
        const std::string name = opened.target->entry.name;
        counts[name] += i >= 300 ? 1 : 0;
        balancer.wait(us_per_ms);
        balancer.send_request(port, opened.target->token, 1);
        balancer.wait(name == "a" ? row.slow_answer : 20 * us_per_ms);
        balancer.send_segment(port, opened.target->token, 600, true);
      }
      BOOST_TEST(counts["a"] >= row.min_share);
      BOOST_TEST(counts["a"] <= row.max_share);
    }
  }
}

// Each of 64 balancers lost several requests at each target that took openings
// and answered nothing, before the weights of these targets fell.
BOOST_AUTO_TEST_CASE(target_that_lost_a_request_waits_for_turns) {
  table_builder builder;
  for (const char* name : {"a", "b", "c", "d"})
    builder.add(name, "north");
  learned_fixture f(builder, full_target_options());
  const auto lost = f.open_flow(++f.port);
  f.wait(us_per_ms);
  f.send_request(f.port, lost.target->token, 1);
  f.wait(us_per_s);
  BOOST_TEST(f.core.counters().requests_lost == 1U);
  // The others get eight flows each first.
  int flows = 0;
  while (f.complete_flow(++f.port) != lost.target->entry.name && flows < 100)
    ++flows;
  BOOST_TEST(flows >= 3 * 8);
  BOOST_TEST(flows <= 3 * 10);
}

struct division_row {
  const char* name;
  bool slots_are_scarce;
};

// Guards against hot targets while there is room, as balancers own unequal
// numbers of slots, and against balancers that all use the same targets when
// requests queue.
BOOST_AUTO_TEST_CASE(slots_are_divided_only_while_requests_queue) {
  const division_row rows[] = {{"room", false}, {"scarce", true}};
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      table_builder builder;
      for (int i = 0; i < 6; ++i)
        builder.add("n-" + std::to_string(i), "north");
      const auto table = builder.table();
      int most_of_any = 0;
      for (uint64_t self = 1; self <= 6; ++self) {
        placement_options options;
        options.zone = "north";
        placement balancer(options, seeded_random(self));
        std::vector<uint64_t> others;
        for (uint64_t other = 1; other <= 6; ++other) {
          if (other != self)
            others.push_back(hash_pair(other, 0));
        }
        balancer.set_balancers(hash_pair(self, 0), others);
        balancer.set_zone_balancers(others);
        std::map<std::string, int> own;
        for (int i = 0; i < 300; ++i) {
          const auto choice = balancer.choose(us_per_s, *table, "notes", 0,
                                              row.slots_are_scarce);
          balancer.on_flow_opened(us_per_s, *choice.target);
          balancer.on_flow_ended(us_per_s, *choice.target);
          ++own[choice.target->entry.name];
        }
        int most = 0;
        for (const auto& [name, count] : own)
          most = std::max(most, count);
        most_of_any = std::max(most_of_any, most);
      }
      // An even share is 50 flows.
      BOOST_TEST((most_of_any <= 51) == !row.slots_are_scarce);
    }
  }
}

// Guards against weights that change the choices among equal targets.
BOOST_AUTO_TEST_CASE(choices_among_equal_targets_stay_the_same) {
  std::vector<std::string> chosen[2];
  for (const bool learn : {false, true}) {
    table_builder builder;
    for (const char* name : {"a", "b", "c", "d"})
      builder.add(name, "north");
    forwarding_options options = forwarding_fixture::options();
    options.placing.learn_weights = learn;
    options.detect_full_targets = learn;
    learned_fixture balancer(builder, options);
    for (uint16_t port = 9000; port < 9100; ++port)
      chosen[learn ? 1 : 0].push_back(balancer.complete_flow(port));
  }
  BOOST_CHECK(chosen[0] == chosen[1]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
