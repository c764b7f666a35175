#include "standins/load_histogram.h"
#include "standins/load_plan.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed::standin;

BOOST_AUTO_TEST_CASE(an_empty_histogram_reports_zero) {
  const LatencyHistogram histogram;
  BOOST_TEST(histogram.valueAt(0.99) == 0U);
  BOOST_TEST(histogram.mean() == 0.0);
  BOOST_TEST(histogram.minimum() == 0U);
}

BOOST_AUTO_TEST_CASE(small_values_are_exact) {
  LatencyHistogram histogram;
  for (std::uint64_t value = 1; value <= 100; ++value) {
    histogram.record(value);
  }
  BOOST_TEST(histogram.valueAt(0.5) == 50U);
  BOOST_TEST(histogram.valueAt(0.99) == 99U);
  BOOST_TEST(histogram.valueAt(1) == 100U);
}

BOOST_AUTO_TEST_CASE(a_reported_value_is_at_most_one_part_in_64_above_the_recorded_one) {
  for (std::uint64_t value = 1; value < LatencyHistogram::kMaximum; value = value * 5 / 4 + 1) {
    LatencyHistogram histogram;
    histogram.record(value);
    histogram.record(LatencyHistogram::kMaximum);
    const std::uint64_t reported = histogram.valueAt(0.5);
    BOOST_TEST(reported >= value);
    BOOST_TEST(reported <= value + value / 64);
  }
}

BOOST_AUTO_TEST_CASE(values_above_the_maximum_count_as_the_maximum) {
  LatencyHistogram histogram;
  histogram.record(10 * LatencyHistogram::kMaximum);
  BOOST_TEST(histogram.count() == 1U);
  BOOST_TEST(histogram.valueAt(0.5) == LatencyHistogram::kMaximum);
}

BOOST_AUTO_TEST_CASE(a_rate_holds_from_its_step_on) {
  const std::vector<RateStep> rates = {{1, 10}, {5, 100}};
  BOOST_TEST(rateAt(rates, 0.5) == 0.0);
  BOOST_TEST(rateAt(rates, 1) == 10.0);
  BOOST_TEST(rateAt(rates, 9) == 100.0);
  BOOST_TEST(nextRateChange(rates, 1) == 5.0);
  BOOST_TEST(nextRateChange(rates, 5) < 0.0);
}

BOOST_AUTO_TEST_CASE(a_plan_without_targets_is_refused) {
  std::string error;
  BOOST_TEST(!parseLoadPlan("[]", error).has_value());
  BOOST_TEST(!parseLoadPlan(R"({"classes":[{"name":"a"}]})", error).has_value());
  BOOST_TEST(error == "class \"a\" has no targets");
  const auto plan = parseLoadPlan(
      R"({"seed":7,"classes":[{"name":"a","targets":["127.0.0.1:1"],"stream":false}]})", error);
  BOOST_REQUIRE(plan.has_value());
  BOOST_TEST(plan->seed == 7U);
  BOOST_TEST(!plan->classes[0].stream);
}
