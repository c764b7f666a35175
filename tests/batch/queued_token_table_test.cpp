/// Tests of the quota's counts from reports and reservations.
#include "batch/queued_token_table.h"

#include <boost/test/unit_test.hpp>

namespace shedshed::test {
namespace {

const TokenAccount kAccount{"acme", "r"};
const PartitionId kPartition{TableKind::Batches, 0};

ReserveQueuedTokens reservation(const std::string& batchId, std::uint64_t tokens,
                                std::uint64_t number, std::uint64_t epoch = 1) {
  return ReserveQueuedTokens{number, kPartition, epoch, {batchId, kAccount, tokens}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(queued_token_table)

BOOST_AUTO_TEST_CASE(aReservationThatDoesNotFitIsNotCounted) {
  QueuedTokenTable table;
  BOOST_TEST((table.reserve(reservation("first", 60, 1), 100) == ReserveOutcome::Granted));
  BOOST_TEST((table.reserve(reservation("second", 41, 2), 100) == ReserveOutcome::Full));
  BOOST_TEST(table.queuedTokens(kAccount) == 60U);
}

BOOST_AUTO_TEST_CASE(aRepeatedReservationDoesNotCountAgainstItself) {
  QueuedTokenTable table;
  BOOST_TEST((table.reserve(reservation("first", 60, 1), 100) == ReserveOutcome::Granted));
  BOOST_TEST((table.reserve(reservation("first", 60, 2), 100) == ReserveOutcome::Granted));
  BOOST_TEST(table.queuedTokens(kAccount) == 60U);
}

BOOST_AUTO_TEST_CASE(aReportKeepsReservationsThatAreYounger) {
  QueuedTokenTable table;
  table.reserve(reservation("older", 10, 1), 100);
  table.reserve(reservation("younger", 20, 3), 100);
  BOOST_TEST(table.applyReport(PartitionTokens{kPartition, 1, {}}, 2));
  BOOST_TEST(table.queuedTokens(kAccount) == 20U);
}

BOOST_AUTO_TEST_CASE(olderReportsAndEpochsAreIgnored) {
  QueuedTokenTable table;
  const PartitionTokens current{kPartition, 2, {{"batch", kAccount, 30}}};
  BOOST_TEST(table.applyReport(current, 5));
  BOOST_TEST(!table.applyReport(PartitionTokens{kPartition, 2, {}}, 4));
  BOOST_TEST(!table.applyReport(PartitionTokens{kPartition, 1, {}}, 9));
  BOOST_TEST((table.reserve(reservation("late", 1, 9, 1), 100) == ReserveOutcome::NotReady));
  BOOST_TEST(table.queuedTokens(kAccount) == 30U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
