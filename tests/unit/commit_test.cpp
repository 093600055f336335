/** @file commit_test.cpp Change log: commits, conflicts, lost replies,
 * snapshots.
 */
#include <boost/test/unit_test.hpp>

#include "platform_store.h"
#include "turmeric/coordination/operator_io_func.h"

namespace turmeric {
namespace {

using tests::platform_store;

/** Operator hooks on a store in memory. The next `lost_replies` calls take
 * effect, but their replies are lost. */
struct commit_fixture {
  platform_store store;
  int lost_replies = 0;
  uint64_t seed = 0;

  operator_hooks hooks() {
    operator_hooks h;
    h.call = [this](const platform_call& call) {
      platform_reply reply = store.execute(call, 100);
      if (lost_replies > 0) {
        --lost_replies;
        reply = {};
        reply.id = call.id;
      }
      return reply;
    };
    h.sleep = [](time_us) {};
    h.random = [this] { return ++seed * 7919; };
    return h;
  }
};

std::vector<config_entry> single_entry(const std::string& key,
                                       const std::string& value) {
  return {{key, value, 0}};
}

BOOST_FIXTURE_TEST_SUITE(commit_suite, commit_fixture)

BOOST_AUTO_TEST_CASE(commit_with_a_lost_reply_is_not_repeated) {
  lost_replies = 1;
  const auto first = commit(hooks(), 0, "a", single_entry("zone_out/z", "1"));
  BOOST_REQUIRE(first);
  BOOST_TEST(first.value() == 1u);
  const auto state = read_state(hooks());
  BOOST_REQUIRE(state);
  BOOST_TEST(state.value().current_revision() == 1u);
}

BOOST_AUTO_TEST_CASE(changes_of_different_scopes_commute) {
  BOOST_REQUIRE(commit(hooks(), 0, "a", single_entry("service/a/x", "1")));
  const auto second = commit(hooks(), 0, "b", single_entry("service/b/x", "2"));
  BOOST_REQUIRE(second);
  BOOST_TEST(second.value() == 2u);
}

BOOST_AUTO_TEST_CASE(changes_of_one_scope_conflict) {
  BOOST_REQUIRE(commit(hooks(), 0, "a", single_entry("service/a/x", "1")));
  const auto second = commit(hooks(), 0, "b", single_entry("service/a/y", "2"));
  BOOST_REQUIRE(!second);
  BOOST_TEST(static_cast<int>(second.error().code) ==
             static_cast<int>(result_code::conflict));
  BOOST_TEST(second.error().message.find("of a and by") != std::string::npos);
  BOOST_TEST(read_state(hooks()).value().current_revision() == 1u);
}

BOOST_AUTO_TEST_CASE(outage_ends_with_commit_unknown) {
  store.faults.down = true;
  const auto first = commit(hooks(), 0, "a", single_entry("zone_out/z", "1"));
  BOOST_REQUIRE(!first);
  BOOST_TEST(static_cast<int>(first.error().code) ==
             static_cast<int>(result_code::commit_unknown));
}

BOOST_AUTO_TEST_CASE(snapshot_replaces_the_log) {
  for (int i = 0; i < 100; ++i) {
    const std::string key = "service/a" + std::to_string(i) + "/x";
    BOOST_REQUIRE(commit(hooks(), static_cast<revision>(i), "a",
                         single_entry(key, std::string(20000, 'v'))));
  }
  const auto state = read_state(hooks()).value();
  BOOST_REQUIRE(write_snapshot(hooks(), state));
  store.faults.compacted_before = 100;
  const auto reread = read_state(hooks());
  BOOST_REQUIRE(reread);
  BOOST_TEST(reread.value().current_revision() == 100u);
  BOOST_TEST(reread.value().entries().size() == 100u);
}

BOOST_AUTO_TEST_CASE(newer_format_is_rejected) {
  config_change c;
  c.format = config_format + 1;
  c.number = 1;
  platform_call call;
  call.op = platform_op::create;
  call.name = change_log_object_name(1);
  call.value = to_json(c);
  store.execute(call, 100);
  const auto state = read_state(hooks());
  BOOST_REQUIRE(!state);
  BOOST_TEST(static_cast<int>(state.error().code) ==
             static_cast<int>(result_code::format_too_new));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(config_state_suite)

BOOST_AUTO_TEST_CASE(old_delta_changes_nothing) {
  config_state state;
  state.apply(config_change{1, 1, 1, "a", single_entry("k", "1")});
  state.apply(config_change{1, 2, 2, "a", single_entry("k", "2")});
  BOOST_REQUIRE(state.apply(config_delta{1, 0, 1, {{"k", "1", 1}}}));
  BOOST_TEST(state.value_of("k") == "2");
  BOOST_TEST(state.current_revision() == 2u);
}

BOOST_AUTO_TEST_CASE(delta_with_a_gap_is_rejected) {
  config_state state;
  BOOST_TEST(!state.apply(config_delta{1, 3, 5, {}}).has_value());
  BOOST_TEST(state.current_revision() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric
