/** @file admission_test.cpp Limits, waits and refusals of openings, and shares
 * of callers. */
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

#include "turmeric/coordination/overload/admission_base.h"

namespace turmeric {
namespace {

constexpr time_us ms = us_per_ms;
const std::string service = "notes";

admission_options enabled_options(bool fair_shares = false) {
  admission_options o;
  o.enabled = true;
  o.fair_shares = fair_shares;
  return o;
}

struct admission_fixture {
  explicit admission_fixture(admission_options options = enabled_options())
      : part(options) {}

  void start(int flows) {
    for (int i = 0; i < flows; ++i)
      part.on_started(now, service);
  }

  void finish(int flows) {
    for (int i = 0; i < flows; ++i)
      part.on_finished(now, service);
  }

  void answer(int count, service_load load) {
    for (int i = 0; i < count; ++i)
      part.on_outcome(now, service, load, true);
  }

  /** Sets a limit of 0.8 of @p flows, which is then reached: twice as many are
   * in flight at saturation. */
  void saturate(int flows) {
    start(2 * flows);
    answer(1, service_load::overloaded);
    finish(flows);
  }

  static waiting_opening opening(uint16_t port,
                                 uint32_t priority = 1,
                                 uint32_t caller = 1,
                                 time_us objective = 0) {
    waiting_opening o;
    o.opening.source = {caller, port};
    o.opening.destination = {1000, 80};
    o.opening.flags.opens = true;
    o.priority = priority;
    o.highest_priority = priority == 0;
    o.latency_objective = objective;
    return o;
  }

  admission_verdict open(const waiting_opening& o,
                         service_load load = service_load::overloaded) {
    return part.on_opening(now, service, o, load);
  }

  double limit() const {
    for (const auto& s : part.status()) {
      if (s.service == service)
        return s.limit;
    }
    return -1.0;
  }

  size_t waiting() const {
    for (const auto& s : part.status()) {
      if (s.service == service)
        return s.waiting;
    }
    return 0;
  }

  /** @return The ports of the openings released with @p verdict. */
  std::vector<int> released(admission_verdict verdict) {
    std::vector<int> ports;
    for (const auto& r : part.take_released(now)) {
      if (r.verdict == verdict)
        ports.push_back(r.opening.source.port);
    }
    return ports;
  }

  admission part;
  time_us now = 10 * us_per_s;
};

bool admits(admission_verdict v) {
  return v == admission_verdict::admit;
}
bool waits(admission_verdict v) {
  return v == admission_verdict::wait;
}
bool refuses(admission_verdict v) {
  return v == admission_verdict::refuse;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_suite)

struct no_limit_row {
  const char* name;
  bool enabled;
  service_load load;
};

// Guards against openings that are held although the targets have room, or
// although the setting is off.
BOOST_AUTO_TEST_CASE(no_limit_without_saturation) {
  const no_limit_row rows[] = {
      {"normal", true, service_load::normal},
      {"queueing", true, service_load::queueing},
      {"saturated, few turned away", true, service_load::saturated},
      {"overloaded, setting off", false, service_load::overloaded},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      admission_options options = enabled_options();
      options.enabled = row.enabled;
      admission_fixture f(options);
      for (uint16_t port = 1; port <= 2000; ++port) {
        BOOST_REQUIRE(admits(f.open(f.opening(port), row.load)));
        f.start(1);
        f.answer(1, row.load);
      }
      BOOST_TEST(f.limit() == -1.0);
      BOOST_TEST(f.part.next_due() == INT64_MAX);
    }
  }
}

struct limit_row {
  const char* name;
  int flows;      ///< Half of those in flight at saturation.
  int finished;   ///< Flows that end then.
  int saturated;  ///< Later responses while overloaded.
  int responses;  ///< Responses after these.
  service_load load;
  time_us elapsed;  ///< Before the last responses.
  double expected;
};

// Guards against a limit that does not follow the capacity of the targets, or
// that outlives the overload.
BOOST_AUTO_TEST_CASE(limit_follows_the_load) {
  const auto normal = service_load::normal;
  const auto queueing = service_load::queueing;
  const auto saturated = service_load::saturated;
  const auto overloaded = service_load::overloaded;
  const limit_row rows[] = {
      {"set at saturation", 10, 0, 0, 0, normal, 0, 8.0},
      {"one flow", 1, 0, 0, 0, normal, 0, 1.0},
      {"no flow", 0, 0, 0, 0, normal, 0, 1.0},
      {"kept for 15 responses", 10, 0, 15, 0, normal, 0, 8.0},
      {"falls with the 16th", 10, 0, 16, 0, normal, 0, 6.4},
      {"falls again", 10, 0, 32, 0, normal, 0, 5.12},
      {"falls to 1 at least", 10, 0, 640, 0, normal, 0, 1.0},
      {"small limit, 3 responses", 2, 0, 0, 3, queueing, 0, 1.6},
      {"small limit, 4 responses", 2, 0, 0, 4, queueing, 0, 2.76},
      {"rises", 10, 0, 0, 16, queueing, 0, 9.8},
      {"rises twice", 20, 0, 0, 32, queueing, 0, 21.46},
      {"kept while it is not reached", 10, 5, 0, 64, queueing, 0, 8.0},
      {"kept for a second", 10, 5, 0, 1, normal, us_per_s - 1, 8.0},
      {"lifted after a second", 10, 5, 0, 1, normal, us_per_s, -1.0},
      {"lifted while requests queue", 10, 5, 0, 1, queueing, us_per_s, -1.0},
      {"falls while saturated", 10, 0, 0, 16, saturated, 0, 6.4},
      {"not lifted while saturated", 10, 5, 0, 1, saturated, us_per_s, 8.0},
      {"not lifted while overloaded", 10, 5, 0, 1, overloaded, us_per_s, 8.0},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      admission_fixture f;
      f.saturate(row.flows);
      f.finish(row.finished);
      f.answer(row.saturated, service_load::overloaded);
      f.now += row.elapsed;
      f.answer(row.responses, row.load);
      BOOST_TEST(f.limit() == row.expected, boost::test_tools::tolerance(1e-9));
    }
  }
}

// Guards against a limit that is lifted while openings have waited within the
// last second: the overload would start again.
BOOST_AUTO_TEST_CASE(limit_stays_while_openings_wait) {
  admission_fixture f;
  f.saturate(10);
  for (int i = 0; i < 30; ++i) {
    f.now += 50 * ms;
    BOOST_TEST(waits(f.open(f.opening(1), service_load::normal)));
    f.answer(1, service_load::normal);
    f.finish(3);
    f.released(admission_verdict::admit);
    f.start(3);
    BOOST_TEST(f.limit() > 0.0);
  }
  f.finish(10);
  f.now += us_per_s;
  BOOST_TEST(admits(f.open(f.opening(1), service_load::normal)));
  BOOST_TEST(f.limit() == -1.0);
}

struct first_priority_row {
  const char* name;
  int in_flight;  ///< The limit is 8.
  bool others_wait;
  uint32_t priority;
  bool admitted;
};

// Guards against urgent openings that wait behind others, and others that are
// admitted past the limit or past those that wait.
BOOST_AUTO_TEST_CASE(first_priority_is_admitted_at_the_limit) {
  const first_priority_row rows[] = {
      {"first, room", 7, false, 0, true},
      {"second, room", 7, false, 1, true},
      {"first, limit reached", 8, false, 0, true},
      {"second, limit reached", 8, false, 1, false},
      {"first, others wait", 8, true, 0, true},
      {"second, room, others wait", 7, true, 1, false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      admission_fixture f;
      f.saturate(10);
      if (row.others_wait)
        f.open(f.opening(1, 2));
      f.finish(10 - row.in_flight);
      BOOST_TEST(admits(f.open(f.opening(2, row.priority))) == row.admitted);
    }
  }
}

// Guards against a caller that takes all of the capacity on routes of the first
// priority, whose openings do not wait otherwise.
BOOST_AUTO_TEST_CASE(first_priority_over_its_share_waits_at_the_limit) {
  admission_fixture f(enabled_options(true));
  for (uint16_t port = 100; port < 200; ++port)
    f.open(f.opening(port, 0, 9));
  for (uint32_t caller = 1; caller <= 8; ++caller)
    f.open(f.opening(300, 0, caller));
  f.saturate(10);
  BOOST_TEST(waits(f.open(f.opening(1, 0, 9))));
  BOOST_TEST(admits(f.open(f.opening(2, 0, 1))));
  f.finish(3);
  const std::vector<int> expected = {1};
  const std::vector<int> released = f.released(admission_verdict::admit);
  BOOST_TEST(released == expected, boost::test_tools::per_element());
  // Room that nobody else waits for is lent.
  BOOST_TEST(admits(f.open(f.opening(3, 0, 9))));
}

// Guards against a release in the order of arrival: the order is by priority,
// then callers within their share, then deadline.
BOOST_AUTO_TEST_CASE(order_of_release) {
  admission_fixture f(enabled_options(true));
  const auto open = [&f](uint16_t port, uint32_t priority, uint32_t caller,
                         time_us objective) {
    BOOST_TEST_CONTEXT("port " << port)
    BOOST_TEST(waits(f.open(f.opening(port, priority, caller, objective))));
  };
  // Caller 9 gets far more than the others.
  for (uint16_t port = 100; port < 200; ++port)
    f.open(f.opening(port, 1, 9));
  for (uint32_t caller = 1; caller <= 8; ++caller)
    f.open(f.opening(300, 1, caller));
  f.saturate(10);
  open(1, 2, 1, 0);
  open(2, 1, 9, 0);
  open(3, 1, 2, 0);
  open(4, 1, 3, 160 * ms);
  open(5, 0, 9, 0);
  open(6, 2, 4, 120 * ms);
  open(7, 1, 9, 100 * ms);
  f.finish(10);
  const std::vector<int> expected = {5, 4, 3, 7, 2, 6, 1};
  const std::vector<int> released = f.released(admission_verdict::admit);
  BOOST_TEST(released == expected, boost::test_tools::per_element());
}

// Guards against a release of more openings than the limit allows, since they
// count as started only afterwards.
BOOST_AUTO_TEST_CASE(release_keeps_to_the_limit) {
  admission_fixture f;
  f.saturate(10);
  for (uint16_t port = 1; port <= 6; ++port)
    BOOST_TEST(waits(f.open(f.opening(port))));
  BOOST_TEST(f.released(admission_verdict::admit).empty());
  f.finish(2);
  BOOST_TEST(f.released(admission_verdict::admit).empty());
  f.finish(3);
  BOOST_TEST(f.part.next_due() <= f.now);
  BOOST_TEST(f.released(admission_verdict::admit).size() == 3U);
  f.start(3);
  f.now += 2 * ms;
  BOOST_TEST(f.released(admission_verdict::admit).empty());
  BOOST_TEST(f.waiting() == 3U);
}

// Guards against openings that wait to their deadline because the released
// ones were not started and no flow is left that could finish.
BOOST_AUTO_TEST_CASE(release_continues_if_nothing_was_started) {
  admission_fixture f;
  f.saturate(1);
  BOOST_TEST(waits(f.open(f.opening(1))));
  BOOST_TEST(waits(f.open(f.opening(2))));
  f.finish(1);
  BOOST_TEST(f.released(admission_verdict::admit).size() == 1U);
  BOOST_TEST(f.part.next_due() <= f.now + ms);
  f.now = f.part.next_due();
  BOOST_TEST(f.released(admission_verdict::admit).size() == 1U);
}

// Guards against openings that wait for a limit that is gone: without a
// response for a second the load is unknown.
BOOST_AUTO_TEST_CASE(lifted_limit_releases_all) {
  admission_options options = enabled_options();
  options.max_wait = 140 * ms;
  admission_fixture f(options);
  f.saturate(10);
  f.now += us_per_s - 50 * ms;
  for (uint16_t port = 1; port <= 5; ++port)
    BOOST_TEST(waits(f.open(f.opening(port))));
  f.now += 60 * ms;
  BOOST_TEST(admits(f.open(f.opening(6), service_load::normal)));
  BOOST_TEST(f.released(admission_verdict::admit).size() == 5U);
  BOOST_TEST(f.limit() == -1.0);
}

struct wait_row {
  const char* name;
  time_us max_wait;
  time_us objective;
  time_us expected;
};

// Guards against openings that are held for longer than the setting, or for so
// long that the caller has no time for another attempt.
BOOST_AUTO_TEST_CASE(waits_end_in_time) {
  const wait_row rows[] = {
      {"no objective", 50 * ms, 0, 50 * ms},
      {"long objective", 50 * ms, us_per_s, 50 * ms},
      {"short objective", 50 * ms, 100 * ms, 25 * ms},
      {"long wait", 140 * ms, us_per_s, 140 * ms},
      {"no wait", 0, us_per_s, 0},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      admission_options options = enabled_options();
      options.max_wait = row.max_wait;
      admission_fixture f(options);
      f.saturate(10);
      const auto verdict = f.open(f.opening(1, 1, 1, row.objective));
      if (row.expected == 0) {
        BOOST_TEST(refuses(verdict));
        continue;
      }
      BOOST_TEST(waits(verdict));
      BOOST_TEST(f.part.next_due() == f.now + row.expected);
      f.now += row.expected - 1;
      BOOST_TEST(f.part.take_released(f.now).empty());
      f.now += 1;
      const auto released = f.part.take_released(f.now);
      BOOST_REQUIRE(released.size() == 1U);
      BOOST_TEST(refuses(released[0].verdict));
      BOOST_TEST(released[0].waited == row.expected);
      BOOST_TEST(f.part.next_due() == INT64_MAX);
      BOOST_TEST(!f.part.is_waiting(key_of(released[0].opening)));
    }
  }
}

// Guards against an opening that is admitted after its wait has ended, because
// the process was late.
BOOST_AUTO_TEST_CASE(late_release_refuses) {
  admission_fixture f;
  f.saturate(10);
  f.open(f.opening(1));
  f.now += 51 * ms;
  f.finish(10);
  BOOST_TEST(f.released(admission_verdict::refuse).size() == 1U);
}

struct expected_wait_row {
  const char* name;
  time_us interval;  ///< Between releases; 0 without releases.
  time_us since_last;
  int waiting;
  bool refused;  ///< The next opening in order.
};

// Guards against openings that wait in vain: if the releases before theirs take
// longer than they may wait, they are refused at once.
BOOST_AUTO_TEST_CASE(refused_at_once_if_the_wait_is_too_long) {
  const expected_wait_row rows[] = {
      {"first in order", 20 * ms, 0, 0, false},
      {"second", 20 * ms, 0, 1, false},
      {"third", 20 * ms, 0, 2, true},
      {"third, fast releases", 10 * ms, 0, 2, false},
      {"fifth, fast releases", 10 * ms, 0, 4, false},
      {"sixth, fast releases", 10 * ms, 0, 5, true},
      {"second, releases have stopped", 10 * ms, 26 * ms, 1, true},
      {"nothing known", 0, 0, 500, false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      admission_fixture f;
      f.saturate(10);
      f.finish(2);
      uint16_t port = 0;
      const int releases = row.interval == 0 ? 0 : 20;
      for (int i = 0; i < releases; ++i) {
        BOOST_REQUIRE(waits(f.open(f.opening(++port))));
        f.now += row.interval;
        f.finish(1);
        BOOST_REQUIRE(f.released(admission_verdict::admit).size() == 1U);
        f.start(1);
      }
      for (int i = 0; i < row.waiting; ++i)
        BOOST_REQUIRE(waits(f.open(f.opening(++port))));
      f.now += row.since_last;
      BOOST_TEST(refuses(f.open(f.opening(++port))) == row.refused);
    }
  }
}

struct bound_row {
  const char* name;
  uint32_t priority;  ///< Of the opening that arrives at the bound.
  const char* service;
  bool refused;  ///< At once; else the last in order is evicted.
};

// Guards against a queue without a bound, and against urgent openings that are
// refused while less urgent ones wait.
BOOST_AUTO_TEST_CASE(last_in_order_is_refused_at_the_bound) {
  const bound_row rows[] = {
      {"last in order", 3, "notes", true},
      {"equal", 2, "notes", true},
      {"earlier in order", 1, "notes", false},
      {"earlier, other service", 1, "archive", false},
      {"later, other service", 3, "archive", true},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      admission_fixture f;
      f.saturate(10);
      f.part.on_outcome(f.now, "archive", service_load::overloaded, true);
      f.part.on_started(f.now, "archive");
      for (uint16_t port = 1; port <= 1024; ++port)
        BOOST_REQUIRE(waits(f.open(f.opening(port, 2))));
      BOOST_TEST(f.part.take_released(f.now).empty());
      const auto verdict =
          f.part.on_opening(f.now, row.service, f.opening(2000, row.priority),
                            service_load::overloaded);
      BOOST_TEST(refuses(verdict) == row.refused);
      const auto released = f.part.take_released(f.now);
      BOOST_TEST(released.size() == (row.refused ? 0U : 1U));
      for (const auto& r : released) {
        BOOST_TEST(refuses(r.verdict));
        BOOST_TEST(r.opening.source.port == 1024);
      }
      BOOST_TEST(f.waiting() <= 1024U);
    }
  }
}

// Guards against memory that grows with the openings if nothing is released in
// between, or with the names of services.
BOOST_AUTO_TEST_CASE(memory_is_bounded) {
  admission_fixture f;
  f.saturate(10);
  for (uint32_t i = 0; i < 20000; ++i) {
    const auto port = static_cast<uint16_t>(i + 1);
    f.open(f.opening(port, 20000 - i));
    BOOST_REQUIRE(f.waiting() <= 1024U);
  }
  BOOST_TEST(f.part.take_released(f.now).size() <= 1024U);

  caller_shares shares{caller_share_options{}};
  for (uint32_t caller = 0; caller < 20000; ++caller)
    shares.on_admitted(f.now, service, caller);
  BOOST_TEST(shares.callers() == 4096U);
  BOOST_TEST(!shares.over_share(f.now, service, 19999));
  for (int i = 0; i < 5000; ++i)
    shares.on_admitted(f.now, "service" + std::to_string(i), 1);
  BOOST_TEST(shares.callers() == 4096U + 1023U);
  f.now += 10 * us_per_s;
  shares.on_admitted(f.now, "another", 1);
  BOOST_TEST(shares.callers() == 1U);
}

struct copy_row {
  const char* name;
  bool waits;              ///< The first copy waits.
  uint32_t copies_before;  ///< Number of the copy.
  admission_verdict expected;
};

// Guards against a flow that is queued twice and opened at two targets, and
// against refusals of copies, which another balancer may have placed.
BOOST_AUTO_TEST_CASE(copies_are_not_queued) {
  const copy_row rows[] = {
      {"duplicate of a waiting one", true, 0, admission_verdict::wait},
      {"second copy of a waiting one", true, 1, admission_verdict::wait},
      {"second copy, first not seen", false, 1, admission_verdict::admit},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      admission_fixture f;
      f.saturate(10);
      if (row.waits)
        f.open(f.opening(1));
      waiting_opening copy = f.opening(1);
      copy.opening.acknowledged = row.copies_before;
      BOOST_CHECK(f.open(copy) == row.expected);
      BOOST_TEST(f.waiting() == (row.waits ? 1U : 0U));
      BOOST_TEST(f.part.is_waiting(key_of(copy.opening)) == row.waits);
    }
  }
}

// Guards against openings that are placed after a pause of the process, when
// their callers' copies may have been placed by other balancers.
BOOST_AUTO_TEST_CASE(dropped_openings_are_not_released) {
  admission_fixture f;
  f.saturate(10);
  f.open(f.opening(1));
  f.open(f.opening(2));
  f.part.drop_waiting();
  BOOST_TEST(f.part.next_due() == INT64_MAX);
  BOOST_TEST(!f.part.is_waiting(key_of(f.opening(1).opening)));
  f.finish(10);
  f.now += us_per_s;
  BOOST_TEST(f.part.take_released(f.now).empty());
  BOOST_TEST(f.waiting() == 0U);
  BOOST_TEST(waits(f.open(f.opening(1))) == false);
}

struct share_row {
  const char* name;
  int ratio;       ///< Flows of caller 1 for each flow of another.
  int others;      ///< Other callers.
  int per_second;  ///< Capacity.
  bool compete;    ///< The others send more than is served.
};

// Guards against a caller with many flows that starves the others, and against
// capacity that is left unused while nobody else wants it.
BOOST_AUTO_TEST_CASE(a_caller_with_many_flows_gets_its_share) {
  const share_row rows[] = {
      {"equal", 1, 9, 500, true},
      {"30 times the flows", 30, 9, 500, true},
      {"30 times the flows, many callers", 30, 49, 1000, true},
      {"30 times the flows, others have enough", 30, 9, 500, false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      admission_options options = enabled_options(true);
      // The limit stays as it is set.
      options.limit.increase = 1.0;
      options.limit.increment = 0.0;
      admission_fixture f(options);
      f.saturate(10);
      f.finish(3);
      std::map<uint32_t, int> admitted;
      uint16_t port = 0;
      uint64_t offered = 0;
      const int seconds = 10;
      const auto callers = static_cast<uint32_t>(row.others + 1);
      const double fair = 1.0 * row.per_second / callers;
      // Each of the others sends twice its share, or a fifth of it.
      const double rate = row.compete ? 2.0 * fair : 0.2 * fair;
      std::map<uint32_t, double> due;
      for (int step = 0; step < seconds * row.per_second; ++step) {
        f.now += us_per_s / row.per_second;
        for (uint32_t i = 0; i < callers; ++i) {
          const uint32_t caller =
              1 + (i + static_cast<uint32_t>(step)) % callers;
          const int ratio = caller == 1 ? (row.compete ? row.ratio : 100) : 1;
          due[caller] += ratio * rate / row.per_second;
          for (; due[caller] >= 1.0; due[caller] -= 1.0) {
            ++offered;
            const auto o = f.opening(++port, 1, caller);
            if (admits(f.open(o))) {
              ++admitted[caller];
              f.start(1);
            }
          }
        }
        f.finish(1);
        f.answer(1, service_load::queueing);
        for (const auto& r : f.part.take_released(f.now)) {
          if (admits(r.verdict)) {
            ++admitted[r.opening.source.ip];
            f.start(1);
          }
        }
      }
      int total = 0;
      for (const auto& item : admitted)
        total += item.second;
      const double got = 1.0 * admitted[1] / seconds;
      BOOST_TEST_MESSAGE(row.name << ": offered " << offered << ", admitted "
                                  << total << ", caller 1 " << got
                                  << "/s, fair share " << fair << "/s");
      BOOST_TEST(total >= 0.98 * row.per_second * seconds);
      if (row.compete) {
        BOOST_TEST(got <= 1.1 * fair + 3.0 * std::sqrt(fair) + 1.0);
      } else {
        BOOST_TEST(got >= 0.95 * (row.per_second - row.others * rate));
        for (uint32_t caller = 2; caller <= callers; ++caller)
          BOOST_TEST(admitted[caller] >= 0.95 * rate * seconds);
      }
    }
  }
}

struct over_share_row {
  const char* name;
  int own;  ///< Openings admitted for the caller, each of 9 others has got 10.
  size_t waiting;
  time_us elapsed;
  bool expected;
};

// Guards against shares that count chance differences, or the past.
BOOST_AUTO_TEST_CASE(share_is_exceeded_beyond_the_allowed_deviation) {
  const over_share_row rows[] = {
      {"nothing yet", 0, 0, 0, false},
      {"as the others", 10, 0, 0, false},
      {"within three deviations", 20, 0, 0, false},
      {"beyond", 27, 0, 0, true},
      {"with those that wait", 15, 20, 0, true},
      {"long ago", 27, 0, 3 * us_per_s, false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      caller_shares shares{caller_share_options{}};
      time_us now = us_per_s;
      for (uint32_t caller = 2; caller <= 10; ++caller) {
        for (int i = 0; i < 10; ++i)
          shares.on_admitted(now, service, caller);
      }
      for (int i = 0; i < row.own; ++i)
        shares.on_admitted(now, service, 1);
      now += row.elapsed;
      BOOST_TEST(shares.over_share(now, service, 1, row.waiting) ==
                 row.expected);
      BOOST_TEST(!shares.over_share(now, "archive", 1));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
