/** @file peer_test.cpp Exchange of the directory among balancers. */
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "directory_fixture.h"

namespace turmeric {

BOOST_AUTO_TEST_SUITE(peer_suite)

// A balancer that starts while its zone is cut off reaches neither the registry
// nor its seeds. Its neighbours in the zone have its address from its earlier
// process, and their heartbeats must be enough for it to get the directory.
BOOST_AUTO_TEST_CASE(restarted_neighbour_gets_the_directory_at_once) {
  directory_fixture loaded;
  loaded.load();
  auto options = options_of("front-2", peer_address);
  directory_fixture starting(options);
  starting.messages.clear();
  // The neighbour has the address from a heartbeat of the earlier process and
  // sends its next heartbeat there.
  peer_hello hello =
      hello_of("front-2", "north", peer_address, options.incarnation - 1);
  hello.summaries = {
      loaded.core.replica(directory_kind::targets).summary(),
      loaded.core.replica(directory_kind::routing).summary(),
      loaded.core.replica(directory_kind::withdrawals).summary()};
  loaded.handle(loaded.core.on_peer_message(loaded.now, hello));
  loaded.messages.clear();
  loaded.advance(us_per_s);
  for (int round = 0; round < 3; ++round) {
    const auto to_starting = std::exchange(loaded.messages, {});
    for (const auto& m : to_starting)
      starting.handle(starting.core.on_peer_message(starting.now, m.body));
    // It waits for pull_delay before it chooses the peer to pull from.
    if (round == 0)
      starting.advance(directory_options().pull_delay);
    const auto to_loaded = std::exchange(starting.messages, {});
    for (const auto& m : to_loaded)
      loaded.handle(loaded.core.on_peer_message(loaded.now, m.body));
  }
  BOOST_REQUIRE(starting.table != nullptr);
  BOOST_TEST(starting.eligible_count() == 1u);
}

/** A heartbeat of one of many peers that have the same directory as @p f. */
peer_hello hello_of_loaded_peer(const directory_fixture& f, uint32_t number) {
  peer_hello hello = hello_of("front-" + std::to_string(100 + number),
                              number % 2 == 0 ? "north" : "south",
                              {peer_address.ip + number, peer_address.port}, 7);
  for (size_t i = 0; i < directory_kinds; ++i)
    hello.summaries[i] =
        f.core.replica(static_cast<directory_kind>(i)).summary();
  return hello;
}

// At 300 machines, each peer that got a heartbeat of a starting balancer sent
// it the whole directory: eleven copies and more.
BOOST_AUTO_TEST_CASE(starting_balancer_pulls_each_kind_from_one_peer) {
  constexpr uint32_t peers = 40;
  directory_fixture loaded;
  loaded.load();
  auto options = options_of("front-2", own_address);
  directory_fixture starting(options);
  for (uint32_t i = 1; i <= peers; ++i)
    starting.handle(starting.core.on_peer_message(
        starting.now, hello_of_loaded_peer(loaded, i)));
  starting.messages.clear();
  starting.advance(directory_options().pull_delay);
  std::vector<endpoint> pull_receivers;
  for (const auto& m : starting.messages) {
    const auto* hello = std::get_if<peer_hello>(&m.body);
    if (hello != nullptr && hello->requested_kinds != 0)
      pull_receivers.push_back(m.to);
  }
  // At most one pull for each kind, all from the own zone, and no call to the
  // registry.
  BOOST_TEST(!pull_receivers.empty());
  BOOST_TEST(pull_receivers.size() <= directory_kinds);
  for (const auto& to : pull_receivers)
    BOOST_TEST((to.ip - peer_address.ip) % 2 == 0u);
  const uint64_t call = starting.call(directory_kind::targets).id;
  starting.advance(directory_options().startup_grace);
  BOOST_TEST(starting.call(directory_kind::targets).id == call);
  // It pulls again after a timeout: the first peers may have died.
  starting.messages.clear();
  starting.advance(directory_options().pull_timeout);
  BOOST_TEST(std::any_of(
      starting.messages.begin(), starting.messages.end(), [](const auto& m) {
        const auto* hello = std::get_if<peer_hello>(&m.body);
        return hello != nullptr && hello->requested_kinds != 0;
      }));

  // A peer does not push the whole directory to a balancer without one; it
  // waits for a pull.
  peer_hello started = hello_of_loaded_peer(loaded, 1);
  started.summaries = {};
  loaded.messages.clear();
  loaded.handle(loaded.core.on_peer_message(loaded.now, started));
  BOOST_TEST(std::none_of(
      loaded.messages.begin(), loaded.messages.end(), [](const auto& m) {
        return std::holds_alternative<peer_directory_delta>(m.body);
      }));
}

struct first_start_row {
  bool first_start;
  time_us elapsed;
  size_t min_calls;
  size_t max_calls;
};

// At the first start of 295 balancers each listed all kinds for itself, as it
// did not know yet how many there are.
BOOST_AUTO_TEST_CASE(first_start_spreads_the_first_calls) {
  const directory_options defaults;
  const first_start_row rows[] = {
      {false, defaults.startup_grace, 300, 300},
      {true, defaults.startup_grace, 0, 30},
      {true, defaults.startup_grace + defaults.first_start_spread, 300, 300},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.first_start << " after " << row.elapsed) {
      size_t calls = 0;
      for (uint32_t i = 0; i < 100; ++i) {
        auto options = options_of("front-" + std::to_string(i), own_address);
        options.seeds = {peer_address};
        options.first_start = row.first_start;
        directory_core core(options, [i, n = uint64_t{0}]() mutable {
          return hash_pair(++n, i);
        });
        core.start(us_per_s);
        for (const auto& action : core.tick(us_per_s + row.elapsed))
          calls += std::holds_alternative<registry_call>(action) ? 1 : 0;
      }
      BOOST_TEST(calls >= row.min_calls);
      BOOST_TEST(calls <= row.max_calls);
    }
  }
}

// A zone's instances restarted while the registry's store did not answer. Each
// pulled 200 KB every 150 ms over a link of 10 Mbit/s, got no answer whole, and
// never called the registry again.
BOOST_AUTO_TEST_CASE(starting_balancer_backs_off_between_pulls) {
  directory_fixture loaded;
  loaded.load();
  directory_fixture starting(options_of("front-2", own_address));
  for (uint32_t i = 1; i <= 40; ++i)
    starting.handle(starting.core.on_peer_message(
        starting.now, hello_of_loaded_peer(loaded, i)));
  starting.messages.clear();
  starting.reply(directory_kind::routing, 0, {}, registry_status::unreachable);
  size_t pulls = 0;
  const uint64_t call = starting.call(directory_kind::routing).id;
  for (int step = 1; step <= 50; ++step) {
    starting.advance(us_per_s / 10);
    for (const auto& m : std::exchange(starting.messages, {})) {
      const auto* hello = std::get_if<peer_hello>(&m.body);
      pulls += hello != nullptr && (hello->requested_kinds & 2) != 0 ? 1 : 0;
    }
  }
  BOOST_TEST(pulls >= 3u);
  BOOST_TEST(pulls <= 7u);
  BOOST_TEST(starting.call(directory_kind::routing).id != call);
}

// The first state that a balancer loads is not new to the other balancers of
// its zone.
BOOST_AUTO_TEST_CASE(first_state_is_not_pushed_to_peers) {
  directory_fixture loaded;
  loaded.load();
  directory_fixture starting(options_of("front-2", own_address));
  for (uint32_t i = 1; i <= 12; ++i)
    starting.handle(starting.core.on_peer_message(
        starting.now, hello_of_loaded_peer(loaded, 2 * i)));
  starting.messages.clear();
  starting.load();
  BOOST_TEST(std::none_of(
      starting.messages.begin(), starting.messages.end(), [](const auto& m) {
        return std::holds_alternative<peer_directory_delta>(m.body);
      }));
}

// A target whose entry was overwritten by another writer and cannot be read
// must get no new flows, but its open flows go on.
BOOST_AUTO_TEST_CASE(unreadable_entries_get_no_openings_and_keep_their_token) {
  directory_fixture f;
  f.load();
  directory_change broken;
  broken.name = "i-1";
  broken.revision = 20;
  broken.read_error = "no field state";
  directory_change unknown = broken;
  unknown.name = "garbage";
  f.reply(directory_kind::targets, 20, {broken, unknown});
  BOOST_TEST(f.eligible_count() == 0u);
  BOOST_TEST(f.table->target_of(token_of("i-1")) != nullptr);
  BOOST_TEST(f.table->target_of(token_of("garbage")) == nullptr);
  f.reply(directory_kind::targets, 21, {entry("i-1", 21, make_target("i-1"))});
  BOOST_TEST(f.eligible_count() == 1u);
}

// A configuration that another writer made unreadable stays in force, also on a
// balancer that starts afterwards and gets it from a peer, and after the time
// for which removed entries are kept.
BOOST_AUTO_TEST_CASE(last_readable_configuration_stays_in_force) {
  directory_fixture f;
  f.load();
  directory_change broken;
  broken.name = "main";
  broken.revision = 20;
  broken.read_error = "no field version";
  f.reply(directory_kind::routing, 20, {broken});
  BOOST_TEST(f.table->routing_version() == 1u);
  peer_hello started =
      hello_of("front-2", "north", peer_address, hash_name("front-2"));
  started.requested_kinds = 1U
                            << static_cast<uint32_t>(directory_kind::routing);
  f.messages.clear();
  f.handle(f.core.on_peer_message(f.now, started));
  directory_fixture starting(options_of("front-2", peer_address));
  for (const auto& m : f.messages)
    starting.handle(starting.core.on_peer_message(starting.now, m.body));
  starting.reply(directory_kind::targets, 20,
                 {entry("i-1", 3, make_target("i-1"))});
  starting.reply(directory_kind::withdrawals, 20, {});
  BOOST_REQUIRE(starting.table != nullptr);
  BOOST_TEST(starting.table->routing_version() == 1u);

  f.reply(directory_kind::routing, 21, {removal("main", 21)});
  f.advance(directory_options().removed_retention + 10 * us_per_s);
  f.reply(directory_kind::targets, 30, {entry("i-2", 30, make_target("i-2"))});
  BOOST_TEST(f.eligible_count() == 2u);
  BOOST_TEST(f.table->routing_version() == 1u);
}

BOOST_AUTO_TEST_CASE(unread_parts_are_logged_and_counted) {
  directory_fixture f;
  f.load();
  directory_change partial = entry("main", 20, make_routing(2));
  partial.unread_parts = {"route 'a': unknown route type 'x'", "limits"};
  f.reply(directory_kind::routing, 20, {partial});
  BOOST_TEST(f.table->routing_version() == 2u);
  BOOST_TEST(std::count(f.log_messages.begin(), f.log_messages.end(),
                        "entry read in part") == 1);
  BOOST_TEST(f.unread[static_cast<size_t>(directory_kind::routing)] == 2u);
  f.reply(directory_kind::routing, 21, {entry("main", 21, make_routing(3))});
  BOOST_TEST(f.unread[static_cast<size_t>(directory_kind::routing)] == 0u);
}

/** The selections of all balancers of a zone, with the heartbeats among them.
 */
struct selecting_zone {
  explicit selecting_zone(uint32_t balancers) {
    for (uint32_t i = 0; i < balancers; ++i)
      add();
  }

  void add() {
    peer_options options;
    options.name = name_of_balancer(tables.size());
    options.zone = "north";
    options.address = address_of(tables.size());
    tables.emplace_back(options);
    // A seed that does not answer: the balancer knows that it is not alone.
    tables.back().add_contact(now, {1, 2});
    selections.emplace_back(watcher_selection_options(), options.name);
    roles.push_back(watch_role::passive);
  }

  static std::string name_of_balancer(size_t number) {
    return "front-" + std::to_string(number);
  }
  static endpoint address_of(size_t number) {
    return {static_cast<uint32_t>(number + 1), 1};
  }

  /** Every balancer gets a heartbeat of each other one.
   * @param watching Whether those of watching balancers say so.
   * @param relaying Whether those of relays say so. */
  void exchange(bool watching = true, bool relaying = true) {
    ++sequence;
    for (size_t to = 0; to < tables.size(); ++to) {
      for (size_t from = 0; from < tables.size(); ++from) {
        peer_hello hello = hello_of(name_of_balancer(from), "north",
                                    address_of(from), 1, sequence);
        hello.watched_kinds = watching && watches_registry(roles[from]) ? 1 : 0;
        hello.relayed_kinds =
            relaying && roles[from] == watch_role::relay ? 1 : 0;
        tables[to].on_hello(now, hello);
      }
    }
  }

  void decide() {
    for (size_t i = 0; i < tables.size(); ++i)
      roles[i] = selections[i].decide(now, directory_kind::targets, tables[i]);
  }

  /** Lets the balancers start together and settle. */
  void start() {
    exchange();
    decide();
    now += watcher_selection_options().first_watch_delay;
    for (int round = 0; round < 3; ++round) {
      exchange();
      decide();
    }
  }

  size_t watchers() const {
    return static_cast<size_t>(
        std::count_if(roles.begin(), roles.end(), watches_registry));
  }
  size_t count(watch_role role) const {
    return static_cast<size_t>(std::count(roles.begin(), roles.end(), role));
  }

  time_us now = 1000 * us_per_s;
  uint64_t sequence = 0;
  std::vector<peer_table> tables;
  std::vector<watcher_selection> selections;
  std::vector<watch_role> roles;
};

struct watching_row {
  const char* name;
  uint32_t balancers;
  bool watching;
  time_us silent_for;
  size_t watchers;
};

// The calls to the registry must not grow with the number of balancers in a
// zone, and the propagation of a change must not depend on a single balancer.
BOOST_AUTO_TEST_CASE(few_balancers_of_a_zone_watch) {
  const watching_row rows[] = {
      {"one balancer", 1, true, 0, 1},
      {"two balancers", 2, true, 0, 2},
      {"one more", 3, true, 0, 2},
      {"large zone", 20, true, 0, 2},
      {"large zone, a moment of silence", 20, false, us_per_s, 2},
      {"large zone, watchers silent", 20, false, 4 * us_per_s, 20},
      {"zone of several groups", 120, true, 0, 2},
      {"zone of several groups, watchers silent", 120, false, 4 * us_per_s,
       120},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      selecting_zone zone(row.balancers);
      zone.start();
      zone.now += row.silent_for;
      zone.exchange(row.watching, row.watching);
      zone.decide();
      BOOST_TEST(zone.watchers() == row.watchers);
    }
  }
}

// Each balancer of a fleet that starts at once knows of nobody.
BOOST_AUTO_TEST_CASE(balancers_that_find_too_many_watching_stop) {
  selecting_zone zone(30);
  zone.decide();
  zone.now += watcher_selection_options().first_watch_delay;
  zone.decide();
  BOOST_TEST(zone.watchers() == 30u);
  zone.exchange();
  zone.decide();
  BOOST_TEST(zone.watchers() == 2u);
}

// When balancers join, those that watch go on, also if others come first now.
BOOST_AUTO_TEST_CASE(joining_balancers_do_not_change_who_watches) {
  selecting_zone zone(30);
  zone.start();
  const auto before = zone.roles;
  for (int i = 0; i < 30; ++i)
    zone.add();
  zone.start();
  zone.start();
  BOOST_TEST(zone.watchers() == 2u);
  for (size_t i = 0; i < before.size(); ++i)
    BOOST_TEST(watches_registry(zone.roles[i]) == watches_registry(before[i]));
}

struct relay_row {
  const char* name;
  bool watching;       ///< Heartbeats of watching balancers arrive.
  bool relaying;       ///< Heartbeats of relays arrive.
  time_us silent_for;  ///< Since the last of these.
  size_t watchers;
  size_t relays;
  size_t passive;
};

// Each group of a zone had watching balancers of its own, so that the calls to
// the registry grew with the zone. 120 balancers are four groups.
BOOST_AUTO_TEST_CASE(groups_without_watchers_are_fed_by_relays) {
  const relay_row rows[] = {
      {"all alive", true, true, 0, 2, 6, 112},
      {"watching balancers silent", false, true, 1600 * us_per_ms, 8, 0, 112},
      {"relays silent for a moment", true, false, 1600 * us_per_ms, 2, 6, 112},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      selecting_zone zone(120);
      zone.start();
      zone.now += row.silent_for;
      zone.exchange(row.watching, row.relaying);
      zone.decide();
      BOOST_TEST(zone.watchers() == row.watchers);
      BOOST_TEST(zone.count(watch_role::relay) == row.relays);
      BOOST_TEST(zone.count(watch_role::passive) == row.passive);
    }
  }
}

// A push contains only the entries that changed, and the removals.
BOOST_AUTO_TEST_CASE(changes_are_pushed_to_passive_balancers) {
  directory_fixture watcher;
  watcher.load();
  for (uint32_t i = 1; i <= 8; ++i) {
    peer_hello hello = hello_of("front-1" + std::to_string(i), "north",
                                {peer_address.ip + i, peer_address.port}, 7);
    hello.summaries = {
        watcher.core.replica(directory_kind::targets).summary(),
        watcher.core.replica(directory_kind::routing).summary(),
        watcher.core.replica(directory_kind::withdrawals).summary()};
    watcher.handle(watcher.core.on_peer_message(watcher.now, hello));
  }
  watcher.messages.clear();
  watcher.reply(directory_kind::targets, 20,
                {removal("i-1", 18), entry("i-2", 19, make_target("i-2"))});
  BOOST_REQUIRE(watcher.messages.size() == 8u);
  const auto& sent = std::get<peer_directory_delta>(watcher.messages[0].body);
  BOOST_TEST(sent.from_revision == 10u);
  BOOST_TEST(sent.names == std::vector<std::string>{"i-2"});
  BOOST_TEST(sent.removed_names == std::vector<std::string>{"i-1"});
}

// After the registry had dropped its history, the watching balancers listed
// the entries anew but did not push the changes, and the passive balancers got
// them 5 s later.
BOOST_AUTO_TEST_CASE(changes_found_by_a_list_are_pushed_too) {
  directory_fixture watcher;
  watcher.load();
  for (uint32_t i = 1; i <= 8; ++i) {
    peer_hello hello = hello_of("front-1" + std::to_string(i), "north",
                                {peer_address.ip + i, peer_address.port}, 7);
    hello.summaries = {
        watcher.core.replica(directory_kind::targets).summary(),
        watcher.core.replica(directory_kind::routing).summary(),
        watcher.core.replica(directory_kind::withdrawals).summary()};
    watcher.handle(watcher.core.on_peer_message(watcher.now, hello));
  }
  watcher.reply(directory_kind::routing, 0, {}, registry_status::history_gone);
  watcher.advance(10 * us_per_ms);
  BOOST_REQUIRE(
      (watcher.call(directory_kind::routing).op == registry_op::list));
  watcher.messages.clear();
  watcher.reply(directory_kind::routing, 20,
                {entry("main", 20, make_routing(2))});
  BOOST_TEST(watcher.messages.size() == 8u);
}

// Each of a dozen heartbeats a second made a balancer that was behind pull the
// directory. Each answer was 100 KB on a link of 10 Mbit/s, so none arrived.
// Both the pulls and the answers to them are limited.
BOOST_AUTO_TEST_CASE(balancer_that_is_behind_limits_its_pulls) {
  directory_fixture f;
  f.load();
  size_t pulls = 0;
  constexpr uint32_t peers = 20;
  for (uint64_t round = 1; round <= 10; ++round) {
    for (uint32_t i = 1; i <= peers; ++i) {
      peer_hello ahead = hello_of_loaded_peer(f, i);
      ahead.sequence = round;
      ahead.summaries[0] = {50, 1};
      f.handle(f.core.on_peer_message(f.now, ahead));
      for (const auto& m : std::exchange(f.messages, {})) {
        const auto* hello = std::get_if<peer_hello>(&m.body);
        pulls += hello != nullptr && hello->requested_kinds != 0 ? 1 : 0;
      }
    }
    f.now += 100 * us_per_ms;
  }
  BOOST_TEST(pulls > 0u);
  BOOST_TEST(pulls <= 4u);  // Within a second, one every 300 ms.

  directory_fixture other(options_of("front-2", peer_address));
  other.load();
  size_t answers = 0;
  for (uint64_t round = 1; round <= 10; ++round) {
    peer_hello behind = hello_of("front-1", "north", own_address, 7, round);
    behind.requested_kinds = 1;
    other.handle(other.core.on_peer_message(other.now, behind));
    for (const auto& m : std::exchange(other.messages, {}))
      answers += std::holds_alternative<peer_directory_delta>(m.body) ? 1 : 0;
    other.now += 50 * us_per_ms;
  }
  BOOST_TEST(answers > 0u);
  BOOST_TEST(answers <= 2u);
}

// After one failed call, a balancer that got its changes from the watching ones
// of its group regarded the registry as lost and never called it again.
BOOST_AUTO_TEST_CASE(passive_balancer_retries_a_lost_registry) {
  int passive_balancers = 0;
  for (int number = 0; number < 8; ++number) {
    directory_fixture f(
        options_of("front-x" + std::to_string(number), own_address));
    f.load();
    peer_hello ahead;
    for (uint32_t i = 1; i <= 8; ++i) {
      ahead = hello_of_loaded_peer(f, 2 * i);
      ahead.watched_kinds = 7;
      f.handle(f.core.on_peer_message(f.now, ahead));
    }
    const uint64_t call = f.call(directory_kind::routing).id;
    f.reply(directory_kind::routing, 0, {}, registry_status::unreachable);
    f.advance(directory_options().backoff_max * 2);
    ahead.sequence = 2;
    f.handle(f.core.on_peer_message(f.now, ahead));
    f.advance(directory_options().selection.check_interval);
    if (f.call(directory_kind::routing).id != call)
      continue;  // One of the two watching balancers.
    ++passive_balancers;
    ahead.summaries[1] = directory_summary{20, 99};
    for (ahead.sequence = 3; ahead.sequence < 6; ++ahead.sequence) {
      f.now += directory_options().anti_entropy_delay;
      f.handle(f.core.on_peer_message(f.now, ahead));
    }
    BOOST_TEST(f.call(directory_kind::routing).id != call);
    BOOST_TEST(is_catch_up_watch(f.call(directory_kind::routing)));
  }
  BOOST_TEST(passive_balancers >= 4);
}

struct catch_up_row {
  const char* name;
  uint32_t watched_kinds;  ///< Of the peer that has the same state.
  const char* zone;
  bool ends;
};

// A balancer that the registry refused called it three times a second until it
// was served again, although the watching balancers of its zone had sent it the
// changes.
BOOST_AUTO_TEST_CASE(catch_up_ends_with_the_state_of_a_watching_peer) {
  const catch_up_row rows[] = {
      {"watching peer", 7, "north", true},
      {"peer that does not watch", 0, "north", false},
      {"watching peer of another zone", 7, "south", false},
  };
  for (const auto& row : rows) {
    int passive_balancers = 0;
    for (int number = 0; number < 8; ++number) {
      directory_fixture f(
          options_of("front-x" + std::to_string(number), own_address));
      f.load();
      peer_hello watcher;
      for (uint32_t i = 1; i <= 8; ++i) {
        watcher = hello_of_loaded_peer(f, 2 * i);
        watcher.watched_kinds = 7;
        f.handle(f.core.on_peer_message(f.now, watcher));
      }
      f.now += watcher_selection_options().first_watch_delay;
      const uint64_t before = f.call(directory_kind::routing).id;
      f.reply(directory_kind::routing, 10, {});
      f.advance(directory_options().selection.check_interval);
      if (f.call(directory_kind::routing).id != before)
        continue;  // One of the two watching balancers.
      f.handle(f.core.on_pause(f.now));
      const uint64_t catch_up = f.call(directory_kind::routing).id;
      BOOST_REQUIRE(catch_up != before);
      f.reply(directory_kind::routing, 0, {}, registry_status::throttled);
      peer_hello same = hello_of_loaded_peer(f, 30);
      same.zone = row.zone;
      same.watched_kinds = row.watched_kinds;
      f.handle(f.core.on_peer_message(f.now, same));
      const uint64_t last = f.call(directory_kind::routing).id;
      for (int i = 0; i < 10; ++i) {
        f.advance(100 * us_per_ms);
        ++same.sequence;
        f.handle(f.core.on_peer_message(f.now, same));
      }
      ++passive_balancers;
      BOOST_TEST((f.call(directory_kind::routing).id == last) == row.ends,
                 row.name);
    }
    BOOST_TEST(passive_balancers >= 4);
  }
}

// A balancer that finds a newer revision in a peer's heartbeat pulls it from
// that peer.
BOOST_AUTO_TEST_CASE(balancer_that_is_behind_pulls_from_the_peer_ahead) {
  directory_fixture f;
  f.load();
  peer_hello ahead = hello_of("front-2", "north", peer_address, 7);
  ahead.summaries = {directory_summary{50, 1}, directory_summary{10, 0},
                     directory_summary{10, 0}};
  ahead.summaries[1] = f.core.replica(directory_kind::routing).summary();
  ahead.summaries[2] = f.core.replica(directory_kind::withdrawals).summary();
  f.handle(f.core.on_peer_message(f.now, ahead));
  f.messages.clear();
  f.now += directory_options().anti_entropy_delay;
  ahead.sequence = 2;
  f.handle(f.core.on_peer_message(f.now, ahead));
  BOOST_REQUIRE(f.messages.size() == 1u);
  const auto& hello = std::get<peer_hello>(f.messages[0].body);
  BOOST_TEST(hello.requested_kinds == 1u);
  BOOST_TEST((f.messages[0].to == peer_address));

  directory_fixture other(options_of("front-2", peer_address));
  other.load();
  other.reply(directory_kind::targets, 50,
              {entry("i-9", 50, make_target("i-9"))});
  other.messages.clear();
  other.handle(other.core.on_peer_message(other.now, hello));
  BOOST_TEST(std::any_of(
      other.messages.begin(), other.messages.end(), [](const auto& m) {
        return std::holds_alternative<peer_directory_delta>(m.body);
      }));
}

// A configuration with 1,352 more routes did not fit a datagram, and the
// passive balancers kept the old one. They must read it from the registry.
BOOST_AUTO_TEST_CASE(large_changes_are_read_from_the_registry) {
  directory_fixture watcher;
  watcher.load();
  peer_hello ahead;
  for (uint32_t i = 1; i <= 8; ++i) {
    ahead.name = "front-1" + std::to_string(i);
    ahead.zone = "north";
    ahead.address = {peer_address.ip + i, peer_address.port};
    ahead.incarnation = 7;
    ahead.sequence = 1;
    ahead.watched_kinds = 7;
    ahead.summaries = {
        watcher.core.replica(directory_kind::targets).summary(),
        watcher.core.replica(directory_kind::routing).summary(),
        watcher.core.replica(directory_kind::withdrawals).summary()};
    watcher.handle(watcher.core.on_peer_message(watcher.now, ahead));
  }
  watcher.messages.clear();
  routing_entry large = make_routing(2);
  large.routes.resize(1400, large.routes[0]);
  watcher.reply(directory_kind::routing, 20, {entry("main", 20, large)});
  BOOST_TEST(watcher.messages.empty());

  // The receiving side: passive balancers find that their peers are ahead.
  int passive_balancers = 0;
  for (int number = 0; number < 8; ++number) {
    directory_fixture f(
        options_of("front-x" + std::to_string(number), own_address));
    f.load();
    ahead.summaries[1] = f.core.replica(directory_kind::routing).summary();
    ahead.sequence = 1;
    for (uint32_t i = 1; i <= 8; ++i) {
      ahead.name = "front-1" + std::to_string(i);
      ahead.address = {peer_address.ip + i, peer_address.port};
      f.handle(f.core.on_peer_message(f.now, ahead));
    }
    const uint64_t watch = f.call(directory_kind::routing).id;
    f.reply(directory_kind::routing, 11, {});
    if (f.call(directory_kind::routing).id != watch)
      continue;  // One of the two that watch this kind.
    ++passive_balancers;
    ahead.summaries[1] = directory_summary{20, 99};
    for (ahead.sequence = 2; ahead.sequence < 4; ++ahead.sequence) {
      f.now += directory_options().anti_entropy_delay;
      f.handle(f.core.on_peer_message(f.now, ahead));
    }
    BOOST_TEST(f.call(directory_kind::routing).id != watch);
    BOOST_TEST(is_catch_up_watch(f.call(directory_kind::routing)));
  }
  BOOST_TEST(passive_balancers >= 4);
}

BOOST_AUTO_TEST_CASE(changes_in_quick_succession_cost_one_call) {
  directory_fixture f;
  f.load();
  f.reply(directory_kind::targets, 20, {entry("i-2", 20, make_target("i-2"))});
  const uint64_t answered_call = f.call(directory_kind::targets).id;
  f.advance(directory_options().watch_batch_pause / 2);
  BOOST_TEST(f.call(directory_kind::targets).id == answered_call);
  f.advance(directory_options().watch_batch_pause / 2);
  BOOST_TEST(f.call(directory_kind::targets).id != answered_call);
  BOOST_TEST(f.call(directory_kind::targets).revision == 20u);
}

// A release of 150 targets changed entries for half a minute, and each watch
// brought the one or two of a tenth of a second.
BOOST_AUTO_TEST_CASE(watches_during_a_series_of_changes_wait_longer) {
  directory_fixture f;
  f.load();
  size_t calls = 0;
  uint64_t last_call = 0;
  for (uint64_t step = 1; step <= 200; ++step) {  // 10 s
    const uint64_t call = f.call(directory_kind::targets).id;
    if (call != last_call) {
      ++calls;
      last_call = call;
      registry_reply r;
      r.id = call;
      r.status = registry_status::ok;
      r.revision = 10 + step;
      r.changes = {entry("i-2", 10 + step, make_target("i-2"))};
      f.handle(f.core.on_reply(f.now, r));
    }
    f.advance(50 * us_per_ms);
  }
  BOOST_TEST(calls <= 30u);
  BOOST_TEST(calls >= 20u);
  // After a pause the first change is followed up soon again.
  f.advance(2 * us_per_s);
  f.reply(directory_kind::targets, 500,
          {entry("i-3", 500, make_target("i-3"))});
  const uint64_t call = f.call(directory_kind::targets).id;
  f.advance(directory_options().watch_batch_pause);
  BOOST_TEST(f.call(directory_kind::targets).id != call);
}

struct overdue_row {
  const char* name;
  uint64_t peer_revision;
  time_us waited;  ///< Since the peer's first heartbeat.
  bool restarted;
};

// The connection of a waiting watch may fall silent without an error. A peer
// that has had a newer revision for a while shows that.
BOOST_AUTO_TEST_CASE(watch_that_lags_behind_a_peer_is_started_anew) {
  const overdue_row rows[] = {
      {"peer at the same revision", 10, 2 * us_per_s, false},
      {"peer just ahead", 50, 300 * us_per_ms, false},
      {"peer ahead for long", 50, 800 * us_per_ms, true},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      directory_fixture f;
      f.load();
      f.advance(directory_options().watch_batch_pause);
      const registry_call watch = f.call(directory_kind::targets);
      BOOST_TEST(watch.wait > 0);
      // Two peers: the next heartbeat of one peer may be seconds away.
      for (uint32_t i = 1; i <= 2; ++i) {
        peer_hello ahead = hello_of_loaded_peer(f, i);
        if (row.peer_revision > 10)
          ahead.summaries[0] = {row.peer_revision, 1};
        f.handle(f.core.on_peer_message(f.now, ahead));
        if (i == 1)
          f.now += row.waited;
      }
      BOOST_TEST((f.call(directory_kind::targets).id != watch.id) ==
                 row.restarted);
    }
  }
}

// With 80 balancers, all balancers of a zone sent heartbeats to the other
// balancers in the same order. Each receiver got those of the zone in one burst
// and then none for 13 s, and counted the zone as silent.
BOOST_AUTO_TEST_CASE(heartbeats_of_a_zone_reach_a_peer_evenly) {
  constexpr uint32_t per_zone = 27;
  std::vector<peer_table> zone;
  for (uint32_t i = 0; i < per_zone; ++i) {
    peer_options options;
    options.name = "front-" + std::to_string(i);
    options.zone = "north";
    options.address = {i + 1, 1};
    zone.emplace_back(options);
    for (uint32_t other = 0; other < 2 * per_zone; ++other) {
      peer_hello hello;
      hello.name = "far-" + std::to_string(other);
      hello.zone = "south";
      hello.address = {1000 + other, 1};
      hello.incarnation = hello.sequence = 1;
      zone.back().on_hello(us_per_s, hello);
    }
  }
  const endpoint receiver{1007, 1};
  int silent_rounds = 0;
  int max_silent_rounds = 0;
  for (int round = 0; round < 60; ++round) {
    size_t received = 0;
    for (auto& peers : zone) {
      const auto to = peers.next_round(us_per_s, round_scope::none);
      received +=
          static_cast<size_t>(std::count(to.begin(), to.end(), receiver));
    }
    silent_rounds = received == 0 ? silent_rounds + 1 : 0;
    max_silent_rounds = std::max(max_silent_rounds, silent_rounds);
  }
  // A round takes half a second; a zone counts as silent after 2.2 s.
  BOOST_TEST(max_silent_rounds <= 4);
}

BOOST_AUTO_TEST_CASE(replayed_heartbeats_are_ignored) {
  peer_options options;
  options.name = "front-1";
  options.address = own_address;
  peer_table peers(options);
  peer_hello hello;
  hello.name = "front-2";
  hello.address = peer_address;
  hello.incarnation = 5;
  hello.sequence = 7;
  BOOST_TEST((peers.on_hello(us_per_s, hello) == hello_result::started));
  BOOST_TEST((peers.on_hello(us_per_s, hello) == hello_result::stale));
  hello.sequence = 8;
  BOOST_TEST((peers.on_hello(us_per_s, hello) == hello_result::known));
  hello.incarnation = 4;
  hello.sequence = 9;
  BOOST_TEST((peers.on_hello(us_per_s, hello) == hello_result::stale));
  hello.incarnation = 6;
  hello.sequence = 1;
  BOOST_TEST((peers.on_hello(us_per_s, hello) == hello_result::started));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
