/// In-memory state of one batch.
#include "batch/batch_state.h"

#include <boost/test/unit_test.hpp>

namespace shedshed::test {
namespace {

BatchState batchOf(std::uint64_t items) {
  BatchMeta meta;
  meta.itemCount = items;
  meta.tokens.assign(items, 10);
  for (std::uint64_t position = 0; position < items; ++position) {
    meta.names.push_back("item-" + std::to_string(position));
  }
  return BatchState("batch", std::move(meta));
}

ItemRecord recordOf(ItemState state, std::uint64_t rank = 0) {
  ItemRecord record;
  record.state = state;
  record.rank = rank;
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(batch_state)

BOOST_AUTO_TEST_CASE(aRecordIsAppliedToStateCountsAndTokens) {
  BatchState batch = batchOf(2);
  batch.apply(0, recordOf(ItemState::Started));
  BOOST_TEST((batch.state(0) == ItemState::Started));
  BOOST_TEST(batch.started().count(0) == 1U);
  BOOST_TEST(batch.queuedTokens() == 20U);
  batch.apply(0, recordOf(ItemState::Done, 1));
  batch.advanceListed();
  BOOST_TEST(batch.status().done == 1U);
  BOOST_TEST(batch.started().empty());
  BOOST_TEST(batch.listed() == 1U);
  BOOST_TEST(batch.queuedTokens() == 10U);
}

BOOST_AUTO_TEST_CASE(anErasedRecordMakesTheItemPendingAgain) {
  BatchState batch = batchOf(1);
  batch.apply(0, recordOf(ItemState::Started));
  batch.apply(0, std::nullopt);
  BOOST_TEST((batch.state(0) == ItemState::Pending));
  BOOST_TEST(batch.status().pending == 1U);
}

BOOST_AUTO_TEST_CASE(aPendingItemOfACancelledBatchIsUnknownIfItMayHaveRun) {
  BatchState batch = batchOf(2);
  ItemRecord pending = recordOf(ItemState::Pending);
  pending.mayHaveRun = true;
  batch.apply(0, pending);
  batch.setCancelled();
  BOOST_TEST((batch.state(0) == ItemState::Unknown));
  BOOST_TEST((batch.state(1) == ItemState::Cancelled));
  BOOST_TEST(batch.allFinal());
}

BOOST_AUTO_TEST_CASE(ranksAfterAGapAreDroppedAndReassigned) {
  BatchState batch = batchOf(3);
  batch.apply(2, recordOf(ItemState::Done, 1));
  batch.apply(0, recordOf(ItemState::Done, 3));
  const std::vector<std::uint64_t> dropped = batch.dropRanksAfterGap();
  BOOST_TEST(dropped == std::vector<std::uint64_t>{0}, boost::test_tools::per_element());
  BOOST_TEST(batch.listed() == 1U);
  BOOST_TEST(batch.positionAt(0) == 2U);
  BOOST_TEST(batch.nextRank() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
