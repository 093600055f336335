/** @file route_test.cpp Targets of buckets and owners of keys. */
#include <boost/test/unit_test.hpp>
#include <map>

#include "turmeric/state/route_base.h"

namespace turmeric {
namespace {

service_config make_service(int targets) {
  service_config s;
  s.id = service_id{1};
  for (int i = 0; i < targets; ++i) {
    target_config t;
    t.name = "t" + std::to_string(i);
    t.id = id_of<target_id>(t.name);
    s.targets.push_back(t);
  }
  return s;
}

std::vector<const target_config*> target_pointers(const service_config& s) {
  std::vector<const target_config*> out;
  for (const auto& t : s.targets)
    out.push_back(&t);
  return out;
}

BOOST_AUTO_TEST_SUITE(route_suite)

BOOST_AUTO_TEST_CASE(buckets_are_distributed_evenly) {
  const service_config s = make_service(15);
  const bucket_table table = make_buckets(s, target_pointers(s));
  std::map<uint64_t, int> count;
  for (const target_id t : table.targets)
    ++count[t.value];
  for (const auto& [target, buckets] : count) {
    BOOST_TEST(buckets >= 512 / 15 - 10);
    BOOST_TEST(buckets <= 512 / 15 + 1);
  }
}

BOOST_AUTO_TEST_CASE(removal_of_a_target_moves_few_other_buckets) {
  const service_config s = make_service(15);
  auto eligible = target_pointers(s);
  const bucket_table before = make_buckets(s, eligible);
  const target_id removed = eligible.back()->id;
  eligible.pop_back();
  const bucket_table after = make_buckets(s, eligible);
  int unnecessary_moves = 0;
  for (size_t i = 0; i < before.targets.size(); ++i) {
    if (before.targets[i] != removed && before.targets[i] != after.targets[i])
      ++unnecessary_moves;
  }
  BOOST_TEST(unnecessary_moves < 512 / 5);
}

BOOST_AUTO_TEST_CASE(owners_are_ranked_without_leaving_members) {
  route_table table;
  table.self.zone = zone_id{1};
  for (uint64_t i = 1; i <= 4; ++i) {
    member_record m;
    m.id = member_id{i};
    m.zone = zone_id{1};
    table.members.push_back(m);
  }
  const auto* first = table.owner_in_zone(99, 0);
  const auto* second = table.owner_in_zone(99, 1);
  BOOST_REQUIRE(first != nullptr);
  BOOST_REQUIRE(second != nullptr);
  const member_id next_owner = second->id;
  for (auto& m : table.members) {
    if (m.id == first->id) {
      m.state = member_state::leaving;
      break;
    }
  }
  BOOST_TEST((table.owner_in_zone(99, 0)->id == next_owner));
  BOOST_TEST(table.owner_in_zone(99, 3) == nullptr);
}

BOOST_AUTO_TEST_CASE(target_of_another_service_is_not_found) {
  service_index index;
  auto service = std::make_shared<service_config>(make_service(1));
  index.services[service->id] = service;
  index.targets[service->targets[0].id] = {service, &service->targets[0]};
  const target_id id = service->targets[0].id;
  BOOST_TEST(index.find(service_id{1}, id) != nullptr);
  BOOST_TEST(index.find(service_id{2}, id) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric
