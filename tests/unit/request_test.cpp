/** @file request_test.cpp Requests between a caller and one balancer. */
#include <boost/test/unit_test.hpp>

#include "turmeric/coordination/caller_core_base.h"
#include "turmeric/coordination/traffic_core_base.h"

namespace turmeric {
namespace {

constexpr endpoint caller_address{0x0a020000, 9};

member_record make_member(const std::string& name, uint64_t incarnation) {
  member_record m;
  m.name = name;
  m.id = id_of<member_id>(name);
  m.zone = id_of<zone_id>("z");
  m.incarnation = incarnation;
  m.peer = {1, static_cast<uint16_t>(incarnation)};
  return m;
}

/** One balancer that knows one other, and a caller. */
struct fixture {
  fixture()
      : balancer({}, make_member("here", 1), [this] { return ++seed; }),
        caller({}, [this] { return ++seed; }) {}

  /** Gives the balancer a table with one service of one target. */
  void take_table(const member_record& other) {
    service_config service;
    service.account = "club";
    service.name = "notes";
    service.id = id_of<service_id>("club/notes");
    target_config target;
    target.name = "club/notes/t";
    target.id = id_of<target_id>(target.name);
    target.zone_name = "z";
    target.zone = id_of<zone_id>("z");
    service.targets.push_back(target);
    config_state state;
    config_change c;
    c.number = 1;
    c.entries.push_back({"service/club/notes", to_json(service), 0});
    state.apply(c);
    auto table = std::make_shared<route_table>();
    table->index = builder.build(state);
    table->announced = table->index;
    table->self = make_member("here", 1);
    table->members = {table->self, other};
    balancer.update_routes(0, table);
  }

  caller_request request(bool repeatable) {
    caller_request r;
    r.id = request_id{5};
    r.service = id_of<service_id>("club/notes");
    r.flow = flow_id{6};
    r.repeatable = repeatable;
    r.deadline = 10 * us_per_s;
    return r;
  }

  /** Carries a caller's packets to the balancer and its answers back.
   * @return The final results. */
  std::vector<caller_result> exchange(std::vector<caller_action> actions) {
    std::vector<caller_result> results;
    for (auto& action : actions) {
      if (auto* result = std::get_if<caller_result>(&action))
        results.push_back(*result);
      auto* send = std::get_if<caller_send>(&action);
      if (send == nullptr)
        continue;
      for (auto& out :
           balancer.receive_from_caller(now, caller_address, send->body)) {
        auto* answer = std::get_if<send_packet>(&out);
        if (answer == nullptr || answer->to_peer)
          continue;
        const auto more = exchange(caller.receive(now, answer->body));
        results.insert(results.end(), more.begin(), more.end());
      }
    }
    return results;
  }

  uint64_t seed = 0;
  time_us now = us_per_s;
  index_builder builder;
  traffic_core balancer;
  caller_core caller;
};

BOOST_FIXTURE_TEST_SUITE(request_suite, fixture)

BOOST_AUTO_TEST_CASE(permit_of_a_dead_issuer_is_answered_at_once) {
  member_record other = make_member("gone", 2);
  other.state = member_state::dead;
  take_table(other);
  // The caller holds a permit of the other balancer.
  BOOST_TEST(exchange({}).empty());
  auto asked = caller.submit(now, request(false));
  BOOST_REQUIRE(asked.size() == 1u);
  permit_grant grant;
  grant.service = id_of<service_id>("club/notes");
  grant.flow = flow_id{6};
  grant.request = request_id{5};
  grant.granted.home = other.id;
  grant.granted.zone = other.zone;
  grant.granted.incarnation = 2;
  grant.granted.serial = 1;
  grant.granted.nonce = 77;
  const auto results = exchange(caller.receive(now, packet(grant)));
  BOOST_REQUIRE(results.size() == 1u);
  BOOST_TEST(static_cast<int>(results[0].code) ==
             static_cast<int>(result_code::unknown_outcome));
}

BOOST_AUTO_TEST_CASE(unknown_service_is_refused_at_once) {
  take_table(make_member("other", 2));
  caller_request r = request(true);
  r.service = id_of<service_id>("club/none");
  const auto results = exchange(caller.submit(now, r));
  BOOST_REQUIRE(results.size() == 1u);
  BOOST_TEST(static_cast<int>(results[0].code) ==
             static_cast<int>(result_code::refused_unknown_service));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric
