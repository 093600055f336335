/** @file request_test.cpp Requests between one caller and one balancer. */
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

/** A balancer with one peer in its route table, and a caller. */
struct request_fixture {
  request_fixture()
      : balancer({}, make_member("here", 1), [this] { return ++seed; }),
        caller({}, [this] { return ++seed; }) {}

  /** Gives the balancer a route table with one service of one target and with
   * @p other as its only peer. */
  void set_routes(const member_record& other) {
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

  /** Delivers the caller's packets to the balancer and the answers to the
   * caller, until no packets are left. @return The results of requests. */
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
        const auto further_results =
            exchange(caller.receive(now, answer->body));
        results.insert(results.end(), further_results.begin(),
                       further_results.end());
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

BOOST_FIXTURE_TEST_SUITE(request_suite, request_fixture)

// A permit can be redeemed only at the balancer that issued it. If that one is
// dead, the caller must get unknown_outcome at once, not at its deadline.
BOOST_AUTO_TEST_CASE(permit_of_a_dead_issuer_is_answered_at_once) {
  member_record other = make_member("gone", 2);
  other.state = member_state::dead;
  set_routes(other);
  // The caller is granted a permit that the dead balancer issued.
  BOOST_TEST(exchange({}).empty());
  auto sent = caller.submit(now, request(false));
  BOOST_REQUIRE(sent.size() == 1u);
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
  set_routes(make_member("other", 2));
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
