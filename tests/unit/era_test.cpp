/** @file era_test.cpp A registry that is restored from an older copy. */
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "directory_fixture.h"
#include "turmeric/coordination/registry_era_base.h"

namespace turmeric {
namespace {

/** A fixture whose registry is in era 1, at revision 50. */
struct era_fixture : directory_fixture {
  explicit era_fixture(directory_options options = options_of("front-1",
                                                              own_address))
      : directory_fixture(std::move(options)) {
    era = 1;
    load();
    reply(directory_kind::targets, 50, {entry("i-2", 50, make_target("i-2"))});
  }

  /** Answers all lists of the restored registry. */
  void answer_lists(uint64_t new_era,
                    uint64_t revision,
                    std::vector<directory_change> targets,
                    std::vector<directory_change> routings,
                    std::vector<directory_change> withdrawals) {
    era = new_era;
    reply(directory_kind::withdrawals, revision, std::move(withdrawals));
    reply(directory_kind::routing, revision, std::move(routings));
    reply(directory_kind::targets, revision, std::move(targets));
  }

  /** Ends the watch of the withdrawals as a restored registry does. */
  void restore(uint64_t new_era) {
    era = new_era;
    advance(directory_options().watch_batch_pause);
    reply(directory_kind::withdrawals, 0, {}, registry_status::history_gone);
  }

  uint64_t version_of_routing() const { return table->routing_version(); }
};

target_entry target_started_at(const std::string& name, uint64_t unix_ms) {
  target_entry t = make_target(name);
  t.started_unix_ms = unix_ms;
  return t;
}

std::vector<directory_change> restored_routing() {
  return {entry("main", 2, make_routing(1))};
}

/** A heartbeat whose replicas are all in @p era at @p revision. */
peer_hello hello_in_era(uint64_t era, uint64_t revision, uint64_t sequence) {
  peer_hello hello = hello_of("front-2", "north", peer_address, 7, sequence);
  hello.summaries.fill({revision, 99, era});
  return hello;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(era_suite)

// Revisions go back in a restore and are given out again. Balancers that
// compared bare revisions ignored the registry until these had caught up.
BOOST_AUTO_TEST_CASE(lower_revisions_of_a_newer_era_are_applied) {
  era_fixture f;
  BOOST_TEST(f.eligible_count() == 2u);
  f.restore(2);
  for (size_t i = 0; i < directory_kinds; ++i)
    BOOST_TEST((f.calls[i].op == registry_op::list));
  f.answer_lists(2, 30,
                 {entry("i-1", 3, make_target("i-1")),
                  entry("i-3", 30, make_target("i-3"))},
                 restored_routing(), {});
  BOOST_TEST(f.core.replica(directory_kind::targets).summary().era == 2u);
  BOOST_TEST(f.core.replica(directory_kind::targets).summary().revision == 30u);
  // i-2 was registered after the copy; it gets a grace period.
  BOOST_TEST(f.eligible_count() == 3u);
  f.now += directory_options().lapse_grace;
  BOOST_TEST(f.eligible_count() == 2u);
  f.reply(directory_kind::targets, 31, {entry("i-2", 31, make_target("i-2"))});
  BOOST_TEST(f.eligible_count() == 3u);
  BOOST_TEST((f.call(directory_kind::targets).op == registry_op::watch));
}

// A revision that was given out again may be above the one watched from, so
// that the restored registry answers the watch with changes of the new era.
BOOST_AUTO_TEST_CASE(watch_answered_in_another_era_leads_to_lists) {
  era_fixture f;
  f.advance(directory_options().watch_batch_pause);
  f.era = 2;
  f.reply(directory_kind::targets, 60, {entry("i-9", 60, make_target("i-9"))});
  BOOST_TEST(f.core.replica(directory_kind::targets).entries().count("i-9") ==
             0u);
  for (size_t i = 0; i < directory_kinds; ++i)
    BOOST_TEST((f.calls[i].op == registry_op::list));
}

struct restored_target_row {
  const char* name;
  bool known_draining;
  time_us known_cold;  ///< Time left.
  uint64_t known_start;
  bool restored_draining;
  time_us restored_cold;
  uint64_t restored_start;
  bool draining;
  bool cold;
};

BOOST_AUTO_TEST_CASE(copy_does_not_undo_what_is_known_of_a_target) {
  const restored_target_row rows[] = {
      {"unchanged", false, 0, 5, false, 0, 5, false, false},
      {"drain is missing in the copy", true, 0, 5, false, 0, 5, true, false},
      {"drain is known from the copy only", false, 0, 5, true, 0, 5, true,
       false},
      {"cold start is missing in the copy", false, us_per_s, 5, false, 0, 5,
       false, true},
      {"earlier process in the copy", false, us_per_s, 8, false, 0, 5, false,
       true},
      {"earlier process was draining", false, 0, 8, true, 0, 5, false, false},
      {"later process in the copy", true, 0, 5, false, us_per_s, 8, false,
       true},
      {"starts unknown, drain missing", true, 0, 0, false, 0, 0, true, false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      era_fixture f;
      target_entry known = target_started_at("i-2", row.known_start);
      known.draining = row.known_draining;
      known.cold_until = row.known_cold == 0 ? 0 : f.now + row.known_cold;
      f.reply(directory_kind::targets, 60, {entry("i-2", 60, known)});
      f.restore(2);
      target_entry restored = target_started_at("i-2", row.restored_start);
      restored.draining = row.restored_draining;
      restored.cold_until =
          row.restored_cold == 0 ? 0 : f.now + row.restored_cold;
      f.answer_lists(2, 30, {entry("i-2", 20, restored)}, restored_routing(),
                     {});
      const auto* target = f.table->target_of(token_of("i-2"));
      BOOST_REQUIRE(target != nullptr);
      BOOST_TEST(target->entry.draining == row.draining);
      BOOST_TEST((target->entry.cold_until > f.now) == row.cold);
      BOOST_TEST((target->eligible_until == 0) == row.draining);
    }
  }
}

// A target that drained and left is in the copy as ready.
BOOST_AUTO_TEST_CASE(target_that_left_stays_without_openings) {
  era_fixture f;
  target_entry leaving = target_started_at("i-2", 5);
  leaving.draining = true;
  f.reply(directory_kind::targets, 60, {entry("i-2", 60, leaving)});
  f.reply(directory_kind::targets, 61, {removal("i-2", 61)});
  f.restore(2);
  f.answer_lists(2, 30,
                 {entry("i-1", 3, make_target("i-1")),
                  entry("i-2", 20, target_started_at("i-2", 5))},
                 restored_routing(), {});
  BOOST_TEST(f.eligible_count() == 1u);
}

BOOST_AUTO_TEST_CASE(configuration_never_goes_back) {
  era_fixture f;
  f.reply(directory_kind::routing, 60, {entry("main", 60, make_routing(7))});
  f.restore(2);
  f.answer_lists(2, 30, {entry("i-1", 3, make_target("i-1"))},
                 restored_routing(), {});
  BOOST_TEST(f.version_of_routing() == 7u);
  // The operators write theirs again, perhaps one after the other.
  f.reply(directory_kind::routing, 31, {entry("main", 31, make_routing(5))});
  BOOST_TEST(f.version_of_routing() == 7u);
  f.reply(directory_kind::routing, 32, {entry("main", 32, make_routing(7))});
  f.reply(directory_kind::routing, 33, {entry("main", 33, make_routing(9))});
  BOOST_TEST(f.version_of_routing() == 9u);
}

struct withdrawal_row {
  const char* name;
  bool written_again;
  bool lifted_then;
  time_us waited;
  bool withdrawn;
};

BOOST_AUTO_TEST_CASE(withdrawal_that_the_copy_lacks_holds_for_a_while) {
  const time_us hold = directory_options().restore_hold;
  const withdrawal_row rows[] = {
      {"not written yet", false, false, hold / 2, true},
      {"not written at all", false, false, hold + us_per_s, false},
      {"written again", true, false, hold + us_per_s, true},
      {"written again and lifted", true, true, us_per_s, false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      era_fixture f;
      f.reply(directory_kind::withdrawals, 60,
              {entry("north", 60, withdrawal_entry{"north"})});
      BOOST_TEST(f.eligible_count() == 0u);
      f.restore(2);
      f.answer_lists(2, 30, {entry("i-1", 3, make_target("i-1"))},
                     restored_routing(), {});
      BOOST_TEST(f.eligible_count() == 0u);
      if (row.written_again)
        f.reply(directory_kind::withdrawals, 31,
                {entry("north", 31, withdrawal_entry{"north"})});
      if (row.lifted_then) {
        f.reply(directory_kind::withdrawals, 32, {removal("north", 32)});
        f.reply(directory_kind::targets, 32,
                {entry("i-1", 32, make_target("i-1"))});
      }
      // Nothing but time passes.
      f.now += row.waited;
      f.handle(f.core.tick(f.now));
      BOOST_TEST((f.eligible_count() == 0u) == row.withdrawn);
    }
  }
}

// Withdrawals that were lost in two restores: the end of the first one's hold
// made the second one hold until the next change of a withdrawal.
BOOST_AUTO_TEST_CASE(holds_of_two_restores_end_each_at_its_time) {
  const time_us hold = directory_options().restore_hold;
  era_fixture f;
  target_entry southern = make_target("i-2");
  southern.zone = "south";
  const std::vector<directory_change> targets = {
      entry("i-1", 3, make_target("i-1")), entry("i-2", 4, southern)};
  f.reply(directory_kind::targets, 60, {entry("i-2", 60, southern)});
  f.reply(directory_kind::withdrawals, 60,
          {entry("north", 60, withdrawal_entry{"north"})});
  f.restore(2);
  f.answer_lists(2, 30, targets, restored_routing(), {});
  const time_us first_restore = f.now;
  f.now += hold / 2;
  f.reply(directory_kind::withdrawals, 40,
          {entry("south", 40, withdrawal_entry{"south"})});
  f.restore(3);
  f.answer_lists(3, 30, targets, restored_routing(), {});
  BOOST_TEST(f.eligible_count() == 0u);
  f.now = first_restore + hold + us_per_s;
  f.handle(f.core.tick(f.now));
  BOOST_TEST(f.eligible_count() == 1u);
  f.now += hold;
  f.handle(f.core.tick(f.now));
  BOOST_TEST(f.eligible_count() == 2u);
}

// A lift that the copy forgot: the registry shows the zone withdrawn again, and
// the operators lift it again.
BOOST_AUTO_TEST_CASE(forgotten_lift_withdraws_the_zone_until_lifted_again) {
  era_fixture f;
  f.reply(directory_kind::withdrawals, 60,
          {entry("north", 60, withdrawal_entry{"north"})});
  f.reply(directory_kind::withdrawals, 61, {removal("north", 61)});
  f.reply(directory_kind::targets, 61, {});
  BOOST_TEST(f.eligible_count() == 2u);
  f.restore(2);
  f.answer_lists(2, 30, {entry("i-1", 3, make_target("i-1"))},
                 restored_routing(),
                 {entry("north", 25, withdrawal_entry{"north"})});
  BOOST_TEST(f.eligible_count() == 0u);
  f.reply(directory_kind::withdrawals, 31, {removal("north", 31)});
  f.reply(directory_kind::targets, 31, {});
  BOOST_TEST(f.eligible_count() == 1u);
}

// A list is half read when the registry returns from its copy.
BOOST_AUTO_TEST_CASE(pages_of_two_eras_are_not_joined) {
  directory_fixture f;
  f.era = 1;
  registry_reply page;
  page.id = f.call(directory_kind::targets).id;
  page.status = registry_status::ok;
  page.era = 1;
  page.revision = 20;
  page.has_more = true;
  page.changes = {entry("i-1", 3, make_target("i-1"))};
  f.handle(f.core.on_reply(f.now, page));
  f.era = 2;
  f.reply(directory_kind::targets, 15, {entry("i-2", 4, make_target("i-2"))});
  BOOST_TEST(!f.core.replica(directory_kind::targets).loaded());
  BOOST_TEST((f.call(directory_kind::targets).op == registry_op::list));
  BOOST_TEST(f.call(directory_kind::targets).after.empty());
  f.reply(directory_kind::targets, 15, {entry("i-3", 4, make_target("i-3"))});
  BOOST_TEST(f.core.replica(directory_kind::targets).entries().size() == 1u);
}

struct verdict_row {
  const char* name;
  uint64_t answer_era;
  time_us call_started;  ///< Era 2 was learnt at 100.
  era_verdict expected;
  uint64_t era_after;
};

BOOST_AUTO_TEST_CASE(eras_of_answers_are_judged) {
  const verdict_row rows[] = {
      {"the same", 2, 150, era_verdict::current, 2},
      {"none named", 0, 150, era_verdict::current, 2},
      {"newer", 5, 50, era_verdict::newer, 5},
      {"older, of an earlier call", 1, 50, era_verdict::outdated, 2},
      {"older, of a later call", 1, 150, era_verdict::outdated, 2},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      registry_era era;
      BOOST_TEST((era.on_answer(10, 1, 5) == era_verdict::current));
      BOOST_TEST((era.on_answer(100, 2, 90) == era_verdict::newer));
      BOOST_TEST((era.on_answer(200, row.answer_era, row.call_started) ==
                  row.expected));
      BOOST_TEST(era.current() == row.era_after);
    }
  }
  // An era that the registry's own answers disprove is dropped, and no higher
  // one is taken from peers for a while.
  registry_era era;
  era.on_answer(10, 1, 5);
  BOOST_TEST(era.accepts_from_peer(20, 99, false));
  BOOST_TEST(!era.accepts_from_peer(20, 99, true));
  era.on_peer_state(20, 99);
  BOOST_TEST((era.on_answer(30, 1, 15) == era_verdict::outdated));
  BOOST_TEST((era.on_answer(40, 1, 35) == era_verdict::outdated));
  BOOST_TEST((era.on_answer(50, 1, 45) == era_verdict::disproved));
  BOOST_TEST(era.current() == 1u);
  BOOST_TEST(!era.accepts_from_peer(60, 99, false));
  BOOST_TEST(era.accepts_from_peer(60 + registry_era_options().distrust_time,
                                   99, false));
}

// A faulty peer names an era that the registry does not have. A balancer that
// watches asks the registry and keeps its own.
BOOST_AUTO_TEST_CASE(watching_balancer_lets_the_registry_decide) {
  era_fixture f;
  f.advance(directory_options().watch_batch_pause);
  f.messages.clear();
  const uint64_t call = f.call(directory_kind::withdrawals).id;
  f.handle(f.core.on_peer_message(f.now, hello_in_era(99, 500, 1)));
  BOOST_TEST(f.call(directory_kind::withdrawals).id != call);
  BOOST_TEST(is_catch_up_watch(f.call(directory_kind::withdrawals)));
  f.reply(directory_kind::withdrawals, 50, {});
  peer_directory_delta wrong;
  wrong.to_incarnation = hash_name("front-1");
  wrong.kind = directory_kind::targets;
  wrong.era = 99;
  wrong.revision = 500;
  f.handle(f.core.on_peer_message(f.now, wrong));
  BOOST_TEST(f.core.replica(directory_kind::targets).summary().era == 1u);
  BOOST_TEST(f.eligible_count() == 2u);
}

// The same while the registry is away: the peer is believed, and the registry's
// answers put that right once it is back.
BOOST_AUTO_TEST_CASE(wrong_era_of_a_peer_is_dropped_when_the_registry_answers) {
  era_fixture f;
  f.advance(directory_options().watch_batch_pause);
  for (size_t i = 0; i < directory_kinds; ++i)
    f.reply(static_cast<directory_kind>(i), 0, {},
            registry_status::unreachable);
  peer_directory_delta wrong;
  wrong.to_incarnation = hash_name("front-1");
  wrong.kind = directory_kind::targets;
  wrong.era = 99;
  wrong.revision = 500;
  f.handle(f.core.on_peer_message(f.now, wrong));
  BOOST_TEST(f.core.replica(directory_kind::targets).summary().era == 99u);
  const time_us returned = f.now;
  for (int i = 0; i < 4; ++i) {
    f.advance(2 * directory_options().backoff_max);
    f.reply(directory_kind::targets, 51,
            {entry("i-1", 3, make_target("i-1")),
             entry("i-2", 50, make_target("i-2"))});
  }
  BOOST_TEST(f.core.replica(directory_kind::targets).summary().era == 1u);
  BOOST_TEST(f.eligible_count() == 2u);
  BOOST_TEST(f.now - returned < 10 * us_per_s);
}

// Balancers on both sides of a restore: the one that has the newer era sends
// all entries of a kind once they are asked for, and no changes to the older
// one's state.
BOOST_AUTO_TEST_CASE(peer_of_an_older_era_pulls_the_newer_one) {
  era_fixture newer;
  newer.restore(2);
  newer.answer_lists(2, 30,
                     {entry("i-1", 3, make_target("i-1")),
                      entry("i-3", 30, make_target("i-3"))},
                     restored_routing(), {});
  era_fixture older(options_of("front-2", peer_address));
  for (size_t i = 0; i < directory_kinds; ++i)
    older.reply(static_cast<directory_kind>(i), 0, {},
                registry_status::unreachable);
  for (int round = 0; round < 4; ++round) {
    newer.advance(300 * us_per_ms);
    older.now = newer.now;
    peer_hello hello =
        hello_of("front-1", "north", own_address, hash_name("front-1"),
                 static_cast<uint64_t>(100 + round));
    for (size_t i = 0; i < directory_kinds; ++i)
      hello.summaries[i] =
          newer.core.replica(static_cast<directory_kind>(i)).summary();
    older.messages.clear();
    older.handle(older.core.on_peer_message(older.now, hello));
    newer.messages.clear();
    for (const auto& m : std::exchange(older.messages, {}))
      newer.handle(newer.core.on_peer_message(newer.now, m.body));
    for (const auto& m : std::exchange(newer.messages, {})) {
      const auto* sent = std::get_if<peer_directory_delta>(&m.body);
      if (sent == nullptr)
        continue;
      BOOST_TEST(sent->from_revision == 0u);
      older.handle(older.core.on_peer_message(older.now, m.body));
    }
  }
  for (size_t i = 0; i < directory_kinds; ++i) {
    const auto kind = static_cast<directory_kind>(i);
    BOOST_TEST(older.core.replica(kind).summary().era == 2u);
    BOOST_TEST(older.core.replica(kind).summary().digest ==
               newer.core.replica(kind).summary().digest);
  }
}

// An older balancer names no era. Before a restore its revisions count; after
// it they say nothing, and a balancer that it feeds must not rely on it.
BOOST_AUTO_TEST_CASE(peers_without_an_era_count_until_a_restore) {
  for (const bool restored : {false, true}) {
    BOOST_TEST_CONTEXT("restored " << restored) {
      era_fixture f;
      if (restored) {
        f.restore(2);
        f.answer_lists(2, 30, {entry("i-1", 3, make_target("i-1"))},
                       restored_routing(), {});
      }
      peer_directory_delta without_era;
      without_era.to_incarnation = hash_name("front-1");
      without_era.kind = directory_kind::targets;
      without_era.revision = 500;
      without_era.names = {"i-9"};
      without_era.revisions = {400};
      without_era.targets = {make_target("i-9")};
      f.handle(f.core.on_peer_message(f.now, without_era));
      const auto& targets = f.core.replica(directory_kind::targets);
      BOOST_TEST((targets.entries().count("i-9") == 0u) == restored);
    }
  }
}

// A balancer that starts while the registry is away and hears peers of both
// eras.
BOOST_AUTO_TEST_CASE(starting_balancer_pulls_from_the_newer_era) {
  directory_fixture starting(options_of("front-1", own_address));
  for (uint32_t i = 1; i <= 6; ++i) {
    peer_hello hello = hello_in_era(i == 4 ? 2 : 1, i == 4 ? 30 : 50, 1);
    hello.name = "front-1" + std::to_string(i);
    hello.address = {peer_address.ip + i, peer_address.port};
    starting.handle(starting.core.on_peer_message(starting.now, hello));
  }
  starting.messages.clear();
  starting.advance(directory_options().pull_delay);
  size_t pulls = 0;
  for (const auto& m : starting.messages) {
    const auto* hello = std::get_if<peer_hello>(&m.body);
    if (hello == nullptr || hello->requested_kinds == 0)
      continue;
    ++pulls;
    BOOST_TEST(m.to.ip == peer_address.ip + 4);
  }
  BOOST_TEST(pulls == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
