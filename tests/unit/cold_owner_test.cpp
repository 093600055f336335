/** @file cold_owner_test.cpp Bound on openings at a cold target while balancers
 * differ on which of them are alive. */
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "forwarding_fixture.h"

namespace turmeric {
namespace {

constexpr uint32_t balancers = 5;
constexpr uint32_t views = 1U << balancers;
constexpr time_us step = 10 * us_per_ms;
constexpr int steps = 250;

/** A set of balancers that believe of each other, and of no others, that they
 * are alive; one bit for each. */
using view = uint32_t;

uint64_t id_of(uint32_t balancer) {
  return hash_name("front-" + std::to_string(balancer));
}

std::vector<uint64_t> others_in(view alive, uint32_t self) {
  std::vector<uint64_t> out;
  for (uint32_t i = 0; i < balancers; ++i) {
    if (i != self && (alive >> i & 1) != 0)
      out.push_back(id_of(i));
  }
  return out;
}

/** All balancers try to open a flow at each step. Those of the first view have
 * it, the others of the second view have that.
 * @return Most openings at the target within a second. */
size_t most_openings(const forwarding_table& table, view first, view second) {
  std::vector<placement> placements;
  for (uint32_t i = 0; i < balancers; ++i) {
    const view own = (first >> i & 1) != 0 ? first : second;
    if ((own >> i & 1) == 0)
      continue;
    placement_options options;
    options.zone = "north";
    placements.emplace_back(options, seeded_random(i));
    placements.back().set_balancers(id_of(i), others_in(own, i));
  }
  std::deque<time_us> openings;
  size_t most = 0;
  for (int i = 0; i < steps; ++i) {
    const time_us now = 1000 * us_per_s + i * step;
    for (auto& balancer : placements) {
      const auto choice = balancer.choose(now, table, "notes", 0);
      if (choice.target == nullptr)
        continue;
      balancer.on_flow_opened(now, *choice.target);
      openings.push_back(now);
    }
    while (!openings.empty() && now - openings.front() >= us_per_s)
      openings.pop_front();
    most = std::max(most, openings.size());
  }
  return most;
}

struct cold_rate_row {
  const char* name;
  double cold_per_s;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cold_owner_suite)

// Two balancers own a cold target in the view of each balancer. Two views name
// up to four owners; all pairs of views of five balancers are tried.
BOOST_AUTO_TEST_CASE(owners_of_any_two_views_keep_the_bound_together) {
  const cold_rate_row rows[] = {
      {"slack only", 0.0}, {"below one", 0.8}, {"a few", 6.0}, {"many", 40.0}};
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      table_builder builder;
      auto& target = builder.add("i-1", "north");
      target.entry.cold_until = INT64_MAX;
      auto routing = std::get<routing_entry>(*builder.input.routing);
      routing.services = {{"notes", 2000, row.cold_per_s}};
      builder.input.routing = std::make_shared<const directory_value>(routing);
      const auto table = builder.table();
      const placement_options defaults;
      const auto bound = static_cast<size_t>(
          row.cold_per_s * defaults.cold_overage + defaults.cold_slack);
      size_t most = 0;
      size_t least = SIZE_MAX;
      for (view first = 1; first < views; ++first) {
        for (view second = 0; second < views; ++second) {
          const size_t openings = most_openings(*table, first, second);
          most = std::max(most, openings);
          least = std::min(least, openings);
        }
      }
      BOOST_TEST(most <= bound);
      BOOST_TEST(least >= 1u);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
