/** @file burn_test.cpp Burn rates and alarms. */
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "turmeric/coordination/burn_func.h"

namespace turmeric {
namespace {

namespace data = boost::unit_test::data;

struct alarm_case {
  int64_t first_age_minutes;  ///< Age at which the refusals begin.
  int64_t end_age_minutes;    ///< Age at which they end; 0 is now.
  uint64_t refused_per_thousand;
  burn_alarm expected;
};

std::ostream& operator<<(std::ostream& out, const alarm_case& c) {
  return out << c.first_age_minutes << " to " << c.end_age_minutes << " min, "
             << c.refused_per_thousand << " of 1000 refused";
}

// With an objective of 99.9 %, 1 refused request of 1000 is a burn rate of 1.
const alarm_case alarm_cases[] = {
    {60, 0, 0, burn_alarm::none},     {60, 0, 1, burn_alarm::none},
    {60, 0, 20, burn_alarm::page},    {60, 10, 20, burn_alarm::none},
    {360, 0, 7, burn_alarm::page},    {360, 0, 3, burn_alarm::none},
    {4320, 0, 2, burn_alarm::ticket}, {4320, 600, 2, burn_alarm::none},
};

burn_input make_input(const alarm_case& c) {
  burn_input input;
  input.objective.availability = 0.999;
  const auto fill = [&](counts_by_age* slices, time_us slice_length,
                        int64_t slice_count) {
    for (int64_t age = 0; age < slice_count; ++age) {
      const int64_t minutes = age * slice_length / us_per_s / 60;
      const bool failing =
          minutes < c.first_age_minutes && minutes >= c.end_age_minutes;
      service_counts& s = (*slices)[age];
      s.refused = failing ? c.refused_per_thousand : 0;
      s.answered = 1000 - s.refused;
    }
  };
  fill(&input.fine, fine_slice, fine_slices_kept);
  fill(&input.coarse, coarse_slice, coarse_slices_kept);
  return input;
}

BOOST_AUTO_TEST_SUITE(burn_suite)

BOOST_DATA_TEST_CASE(alarms_need_both_windows, data::make(alarm_cases), row) {
  const burn_result burn = burn_of(make_input(row));
  BOOST_TEST(static_cast<int>(burn.alarm) == static_cast<int>(row.expected));
}

BOOST_AUTO_TEST_CASE(burn_rate_one_spends_the_whole_budget) {
  const burn_result burn = burn_of(make_input({4320, 0, 1, burn_alarm::none}));
  BOOST_TEST(burn.budget_left < 0.01);
  BOOST_TEST(burn.budget_left > -0.01);
}

BOOST_AUTO_TEST_CASE(burn_rates_of_one_window) {
  service_objective objective;
  objective.availability = 0.99;
  objective.latency_share = 0.9;
  service_counts counts;
  counts.answered = counts.interactive = 980;
  counts.refused = 15;
  counts.unknown = 5;
  counts.in_time = 931;
  const burn_rates rates = rates_of(counts, objective);
  BOOST_TEST(rates.availability == 2.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(rates.latency == 0.5, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(rates_of({}, objective).availability == 0.0);
}

BOOST_AUTO_TEST_CASE(imbalance_is_max_over_mean) {
  BOOST_TEST(imbalance_of({}) == 0.0);
  BOOST_TEST(imbalance_of({5, 5}) == 1.0);
  BOOST_TEST(imbalance_of({9, 0, 0}) == 3.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric
