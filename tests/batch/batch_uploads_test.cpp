/// Submission, reading and retention of batches.
#include "batch_fleet.h"

namespace shedshed::test {

BOOST_AUTO_TEST_SUITE(batch_uploads)

BOOST_AUTO_TEST_CASE(resendReturnsTheSameBatchAndOtherContentIsRejected) {
  BatchFleet fleet;
  const auto submitted = fleet.submit(BatchFleet::batchOf(3, "key"));
  fleet.harness.settle();
  BOOST_REQUIRE(submitted->has_value() && (*submitted)->has_value());
  BOOST_TEST(!(*submitted)->value().resent);
  const std::string first = (*submitted)->value().id;
  const auto again = fleet.submit(BatchFleet::batchOf(3, "key"));
  fleet.harness.settle();
  BOOST_REQUIRE(again->has_value() && (*again)->has_value());
  BOOST_TEST((*again)->value().id == first);
  BOOST_TEST((*again)->value().resent);
  const auto other = fleet.submit(BatchFleet::batchOf(4, "key"), "d2");
  fleet.harness.settle();
  BOOST_REQUIRE(other->has_value());
  BOOST_TEST(((*other)->error().code == ErrorCode::AlreadyExists));
  BOOST_TEST(fleet.accepted(BatchFleet::batchOf(3)) != fleet.accepted(BatchFleet::batchOf(3)));
}

BOOST_AUTO_TEST_CASE(acknowledgedOnlyOnceDurableAndKeptThroughALostOwner) {
  for (const bool survives : {false, true}) {
    BatchFleet fleet;
    fleet.table().holdWrites = true;
    const auto answer = fleet.submit(BatchFleet::batchOf(3));
    fleet.harness.settle();
    BOOST_TEST(!answer->has_value());
    fleet.failover(survives);
    fleet.table().holdWrites = false;
    fleet.harness.advance(3s);
    BOOST_REQUIRE(answer->has_value());
    const std::string id = (*answer)->value().id;
    std::size_t metas = 0;
    for (const auto& table : fleet.table().durable) {
      metas += table.second.count(metaKey(id));
    }
    BOOST_TEST(metas == 1U);
    fleet.failover(false);
    BOOST_TEST(fleet.status(id).value().itemCount == 3U);
  }
}

BOOST_AUTO_TEST_CASE(withoutMajorityAcknowledgementAnAcceptedBatchIsLost) {
  BatchFleetOptions options;
  options.owner.safeguards.acceptAfterMajority = false;
  BatchFleet fleet(options);
  fleet.table().holdWrites = true;
  const auto answer = fleet.submit(BatchFleet::batchOf(3));
  fleet.harness.settle();
  BOOST_REQUIRE(answer->has_value());
  const std::string id = (*answer)->value().id;
  fleet.failover(false);
  fleet.table().holdWrites = false;
  BOOST_TEST((fleet.status(id).error().code == ErrorCode::NotFound));
}

BOOST_AUTO_TEST_CASE(fencedOwnerNeverRepliesNotFound) {
  for (const bool safe : {true, false}) {
    BatchFleetOptions options;
    options.owner.safeguards.confirmNotFound = safe;
    BatchFleet fleet(options);
    fleet.failover(false, false);  // s1 is not notified that it was fenced.
    const std::string id = fleet.accepted(BatchFleet::batchOf(2));
    BatchQuery query;
    query.kind = static_cast<std::uint8_t>(BatchQueryKind::Status);
    query.tenant = "acme";
    query.batchId = id;
    std::optional<std::uint16_t> code;
    fleet.harness.filter = [&](const Harness::Envelope& envelope) {
      dispatchMessage<BatchReply>(envelope.message,
                                  [&](const BatchReply& reply) { code = reply.code; });
      return true;
    };
    fleet.harness.queue.push_back({NodeId{"d2"}, NodeId{"s1"}, encodeMessage(query)});
    fleet.harness.settle();
    BOOST_REQUIRE(code.has_value());
    const bool notFound = *code == wireCode(ErrorCode::NotFound);
    BOOST_TEST(notFound == !safe);
  }
}

BOOST_AUTO_TEST_CASE(otherTenantsSeeNothing) {
  BatchFleet fleet;
  const std::string id = fleet.accepted(BatchFleet::batchOf(1));
  BOOST_TEST((fleet.status(id, "other").error().code == ErrorCode::NotFound));
}

BOOST_AUTO_TEST_CASE(chunksWithoutCommitAreInvisibleAndErased) {
  BatchFleetOptions options;
  options.client.maxChunkItems = 2;
  BatchFleet fleet(options);
  std::size_t chunks = 0;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    bool pass = true;
    dispatchMessage<SubmitChunk>(envelope.message, [&](const SubmitChunk& chunk) {
      pass = !chunk.last;
      chunks += pass ? 1 : 0;
    });
    return pass;
  };
  const auto answer = fleet.submit(BatchFleet::batchOf(6));
  fleet.harness.advance(12s);
  BOOST_REQUIRE(answer->has_value());
  BOOST_TEST(((*answer)->error().code == ErrorCode::OutcomeUnknown));
  BOOST_TEST(chunks >= 2U);
  fleet.installFilter();
  fleet.harness.advance(5s);
  BOOST_TEST(fleet.engines.runs.empty());
  const auto rows = [&] {
    std::size_t count = 0;
    for (const auto& table : fleet.table().durable) {
      count += table.second.size();
    }
    return count;
  };
  BOOST_TEST(rows() > 0U);
  fleet.harness.advance(fleet.options.owner.uploadTimeout + 5s);
  BOOST_TEST(rows() == 0U);
}

BOOST_AUTO_TEST_CASE(aMultiChunkSubmissionSurvivesAFailover) {
  BatchFleetOptions options;
  options.client.maxChunkItems = 2;
  BatchFleet fleet(options);
  std::size_t seen = 0;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    dispatchMessage<SubmitChunk>(envelope.message, [&](const SubmitChunk&) {
      if (++seen == 3) {
        fleet.failover(true);
      }
    });
    return true;
  };
  const auto answer = fleet.submit(BatchFleet::batchOf(11));
  fleet.harness.advance(20s);
  BOOST_REQUIRE(answer->has_value());
  BOOST_REQUIRE((*answer)->has_value());
  const std::string id = (*answer)->value().id;
  BOOST_TEST(fleet.status(id).value().done == 11U);
  BOOST_TEST(fleet.page(id, 0, 100).results.size() == 11U);
}

BOOST_AUTO_TEST_CASE(fullStoreRejectsNewBatchesAndKeepsTheOld) {
  BatchFleetOptions options;
  options.owner.maxPartitionBodyBytes = 200;
  BatchFleet fleet(options);
  const std::string id = fleet.accepted(BatchFleet::batchOf(2, "a"));
  const auto big = fleet.submit(BatchFleet::batchOf(100));
  fleet.harness.advance(1s);
  BOOST_REQUIRE(big->has_value());
  BOOST_TEST(((*big)->error().code == ErrorCode::StorageFull));
  // The log-structured store is full: the rejection is sent only once the erasure is durable.
  fleet.table().failWrites = ErrorCode::StorageFull;
  const auto rejected = fleet.submit(BatchFleet::batchOf(1, "b"));
  fleet.harness.settle();
  BOOST_TEST(!rejected->has_value());
  fleet.table().failWrites.reset();
  fleet.harness.advance(2s);
  BOOST_REQUIRE(rejected->has_value());
  BOOST_TEST((!(*rejected)->has_value()));
  BOOST_TEST(fleet.status(id).value().itemCount == 2U);
}

// Guards against stores that accept batches until their disks are full: then no partition can
// change its owner, and accepted batches cannot be read.
BOOST_AUTO_TEST_CASE(aStoreLowOnSpaceRejectsNewBatchesAndFinishesTheOld) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(4, "a"));
  fleet.table().lowOnSpace = true;
  const auto rejected = fleet.submit(BatchFleet::batchOf(1, "b"));
  fleet.harness.advance(1s);
  BOOST_REQUIRE(rejected->has_value());
  BOOST_TEST(((*rejected)->error().code == ErrorCode::StorageFull));
  fleet.engines.holdAnswers = false;
  while (!fleet.engines.openCalls.empty()) {
    fleet.engines.answerNext();
  }
  fleet.harness.advance(5s);
  BOOST_TEST(fleet.status(id).value().done == 4U);
}

// Guards against disks filling up with the bodies of a day's finished batches.
BOOST_AUTO_TEST_CASE(bodiesOfAFinishedBatchAreErased) {
  BatchFleet fleet;
  const std::string id = fleet.accepted(BatchFleet::batchOf(20, "a"));
  fleet.harness.advance(5s);
  BOOST_REQUIRE(fleet.status(id).value().done == 20U);
  const auto& rows = fleet.table().durable[partitionOf(TableKind::Batches, id)];
  BOOST_TEST(rows.count(bodyKey(id, 0)) == 0U);
  BOOST_TEST(fleet.page(id, 0, 100).results.size() == 20U);
  BOOST_TEST(fleet.accepted(BatchFleet::batchOf(20, "a")) == id);
}

BOOST_AUTO_TEST_CASE(pagesHaveNoGapsAndReadAgainTheSame) {
  BatchFleetOptions options;
  options.client.maxChunkItems = 7;
  BatchFleet fleet(options);
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(40));
  fleet.harness.advance(1s);
  for (int answered = 0; answered < 5; ++answered) {
    fleet.engines.answerNext();
  }
  fleet.harness.settle();
  const ResultPage early = fleet.page(id, 0, 100);
  BOOST_TEST(!early.complete);
  BOOST_TEST(early.next == early.results.size());
  fleet.engines.holdAnswers = false;
  while (!fleet.engines.openCalls.empty()) {
    fleet.engines.answerNext();
  }
  fleet.harness.advance(10s);
  fleet.failover(false);
  std::uint64_t next = 0;
  std::vector<ItemResult> all;
  while (true) {
    const ResultPage page = fleet.page(id, next, 9);
    all.insert(all.end(), page.results.begin(), page.results.end());
    next = page.next;
    if (page.complete) {
      break;
    }
    BOOST_REQUIRE(!page.results.empty());
  }
  BOOST_REQUIRE(all.size() == 40U);
  for (std::size_t position = 0; position < all.size(); ++position) {
    BOOST_TEST(all[position].position == position);
    BOOST_TEST(all[position].body.find("item" + std::to_string(position) + "\"") !=
               std::string::npos);
  }
  for (std::size_t position = 0; position < early.results.size(); ++position) {
    BOOST_TEST(all[position].body == early.results[position].body);
  }
}

BOOST_AUTO_TEST_CASE(finishedBatchIsErasedAfterRetentionWithAllItsRows) {
  BatchFleet fleet;
  const std::string id = fleet.accepted(BatchFleet::batchOf(3));
  fleet.harness.advance(5s);
  BOOST_TEST(fleet.status(id).value().done == 3U);
  fleet.harness.now += fleet.options.owner.retention;
  fleet.harness.advance(5s);
  BOOST_TEST((fleet.status(id).error().code == ErrorCode::NotFound));
  for (const auto& table : fleet.table().durable) {
    BOOST_TEST(table.second.empty());
  }
}

BOOST_AUTO_TEST_CASE(costOfAnEventDoesNotGrowWithTheBatch) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(100000));
  fleet.harness.advance(1s);
  FakePartitionStore& table = fleet.table();
  const std::uint64_t reads = table.rowsRead;
  const std::uint64_t bytes = table.bytesWritten;
  const std::uint64_t writes = table.writes;
  constexpr std::uint64_t kItems = 2000;
  for (std::uint64_t item = 0; item < kItems; ++item) {
    fleet.engines.answerNext();
    fleet.harness.settle();
  }
  BOOST_TEST(fleet.status(id).value().done == kItems);
  BOOST_TEST(table.writes - writes <= 2 * kItems + 32);
  BOOST_TEST(table.rowsRead - reads <= kItems);
  BOOST_TEST((table.bytesWritten - bytes) / kItems < 512U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
