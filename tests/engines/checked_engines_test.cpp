// The assignment and the results of a node's own health checks.
#include "engines/checked_engines.h"

#include "engines/health_check_assignment.h"

#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace shedshed;
using namespace std::chrono_literals;

namespace {

constexpr Time kNow = Time(100s);
const CheckedEngines::Target kTarget{"e1", "10.0.0.1:80"};

struct CheckedFixture {
  CheckedFixture() { listing.engines = {{"e1", "10.0.0.1:80", "m", 8, false}}; }

  /// Assigns the engine to this node, the only one.
  void assign(Time now = kNow) { checked.assign(listing, self, {self}, false, now); }

  /// The state in the published report; `Unknown` if the report is empty.
  EngineState reportedState() {
    const EngineHealthReport report = checked.report().shared;
    return report.results.empty() ? EngineState::Unknown : report.results.front().state;
  }

  EngineHealthCheckerOptions options;
  EngineListing listing;
  NodeId self{"f1:1"};
  CheckedEngines checked{options};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(checked_engines)

BOOST_FIXTURE_TEST_CASE(an_answer_to_an_older_check_is_ignored, CheckedFixture) {
  assign();
  BOOST_TEST(checked.recordHealth(kTarget, 2, {true, true, 0, 8}, kNow));
  BOOST_TEST(!checked.recordHealth(kTarget, 1, {true, false, 0, 8}, kNow));
  BOOST_TEST((reportedState() == EngineState::Draining));
}

BOOST_FIXTURE_TEST_CASE(an_engine_without_an_answer_is_unreachable_after_the_timeout,
                        CheckedFixture) {
  assign();
  checked.recordHealth(kTarget, 1, {true, false, 3, 8}, kNow);
  BOOST_TEST(!checked.markUnreachable(kNow + options.unreachableTimeout - 1ms));
  BOOST_TEST(checked.markUnreachable(kNow + options.unreachableTimeout));
  BOOST_TEST((reportedState() == EngineState::Gone));
}

BOOST_FIXTURE_TEST_CASE(an_engine_at_a_new_address_is_reset, CheckedFixture) {
  assign();
  checked.recordHealth(kTarget, 1, {true, false, 3, 8}, kNow);
  listing.engines[0].address = "10.0.0.2:80";
  assign();
  BOOST_TEST((reportedState() == EngineState::Unknown));
  BOOST_TEST(!checked.recordHealth(kTarget, 2, {true, false, 3, 8}, kNow));
}

BOOST_FIXTURE_TEST_CASE(an_engine_that_is_assigned_to_others_is_handed_over, CheckedFixture) {
  assign();
  const std::vector<NodeId> noCheckers;
  options.checkersPerEngine = 0;
  BOOST_TEST(!checked.assign(listing, self, noCheckers, false, kNow + options.handoverTime - 1ms));
  BOOST_TEST(checked.targets().size() == 1U);
  BOOST_TEST(checked.assign(listing, self, noCheckers, false, kNow + options.handoverTime));
  BOOST_TEST(checked.targets().empty());
}

BOOST_FIXTURE_TEST_CASE(results_of_a_verification_are_not_shared, CheckedFixture) {
  options.checkersPerEngine = 0;
  checked.assign(listing, self, {self}, true, kNow);
  checked.recordHealth(kTarget, 1, {true, false, 3, 8}, kNow);
  const CheckedEngines::Reports reports = checked.report();
  BOOST_TEST(reports.shared.results.empty());
  BOOST_TEST(reports.own.results.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_small_change_of_the_load_is_reported_later_than_a_significant_one,
                        CheckedFixture) {
  assign();
  checked.recordHealth(kTarget, 1, {true, false, 1, 8}, kNow);
  checked.report();
  checked.recordHealth(kTarget, 2, {true, false, 2, 8}, kNow);
  BOOST_TEST(!checked.loadReportDue(options.minLoadReportInterval, 1));
  BOOST_TEST(checked.loadReportDue(options.maxLoadReportDelay, 1));
  checked.recordHealth(kTarget, 3, {true, false, 7, 8}, kNow);
  BOOST_TEST(checked.loadReportDue(options.minLoadReportInterval, 1));
}

BOOST_AUTO_TEST_SUITE_END()
