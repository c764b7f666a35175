/// Submissions, reads and retention.
#include "batch_world.h"

namespace shedshed::test {

BOOST_AUTO_TEST_SUITE(batch_uploads)

BOOST_AUTO_TEST_CASE(resendReturnsTheSameBatchAndOtherContentIsRejected) {
  World world;
  const auto submitted = world.submit(World::batchOf(3, "key"));
  world.harness.settle();
  BOOST_REQUIRE(submitted->has_value() && (*submitted)->has_value());
  BOOST_TEST(!(*submitted)->value().resent);
  const std::string first = (*submitted)->value().id;
  const auto again = world.submit(World::batchOf(3, "key"));
  world.harness.settle();
  BOOST_REQUIRE(again->has_value() && (*again)->has_value());
  BOOST_TEST((*again)->value().id == first);
  BOOST_TEST((*again)->value().resent);
  const auto other = world.submit(World::batchOf(4, "key"), "d2");
  world.harness.settle();
  BOOST_REQUIRE(other->has_value());
  BOOST_TEST(((*other)->error().code == ErrorCode::AlreadyExists));
  BOOST_TEST(world.accepted(World::batchOf(3)) != world.accepted(World::batchOf(3)));
}

BOOST_AUTO_TEST_CASE(acknowledgedOnlyOnceDurableAndKeptThroughALostOwner) {
  for (const bool survives : {false, true}) {
    World world;
    world.table().holdWrites = true;
    const auto answer = world.submit(World::batchOf(3));
    world.harness.settle();
    BOOST_TEST(!answer->has_value());
    world.failover(survives);
    world.table().holdWrites = false;
    world.harness.advance(3s);
    BOOST_REQUIRE(answer->has_value());
    const std::string id = (*answer)->value().id;
    std::size_t metas = 0;
    for (const auto& table : world.table().durable) {
      metas += table.second.count(metaKey(id));
    }
    BOOST_TEST(metas == 1U);
    world.failover(false);
    BOOST_TEST(world.status(id).value().itemCount == 3U);
  }
}

BOOST_AUTO_TEST_CASE(withoutMajorityAcknowledgementAnAcceptedBatchIsLost) {
  WorldOptions options;
  options.owner.safeguards.acceptAfterMajority = false;
  World world(options);
  world.table().holdWrites = true;
  const auto answer = world.submit(World::batchOf(3));
  world.harness.settle();
  BOOST_REQUIRE(answer->has_value());
  const std::string id = (*answer)->value().id;
  world.failover(false);
  world.table().holdWrites = false;
  BOOST_TEST((world.status(id).error().code == ErrorCode::NotFound));
}

BOOST_AUTO_TEST_CASE(fencedOwnerNeverSaysNotFound) {
  for (const bool safe : {true, false}) {
    WorldOptions options;
    options.owner.safeguards.confirmNotFound = safe;
    World world(options);
    world.failover(false, false);  // s1 does not know that it was fenced.
    const std::string id = world.accepted(World::batchOf(2));
    BatchQuery query;
    query.kind = static_cast<std::uint8_t>(BatchQueryKind::Status);
    query.tenant = "acme";
    query.batchId = id;
    std::optional<std::uint16_t> code;
    world.harness.filter = [&](const Harness::Envelope& envelope) {
      dispatchMessage<BatchReply>(envelope.message,
                                  [&](const BatchReply& reply) { code = reply.code; });
      return true;
    };
    world.harness.queue.push_back({NodeId{"d2"}, NodeId{"s1"}, encodeMessage(query)});
    world.harness.settle();
    BOOST_REQUIRE(code.has_value());
    const bool notFound = *code == wireCode(ErrorCode::NotFound);
    BOOST_TEST(notFound == !safe);
  }
}

BOOST_AUTO_TEST_CASE(otherTenantsSeeNothing) {
  World world;
  const std::string id = world.accepted(World::batchOf(1));
  BOOST_TEST((world.status(id, "other").error().code == ErrorCode::NotFound));
}

BOOST_AUTO_TEST_CASE(chunksWithoutCommitNeverCountAndAreErased) {
  WorldOptions options;
  options.client.maxChunkItems = 2;
  World world(options);
  std::size_t chunks = 0;
  world.harness.filter = [&](const Harness::Envelope& envelope) {
    bool pass = true;
    dispatchMessage<SubmitChunk>(envelope.message, [&](const SubmitChunk& chunk) {
      pass = !chunk.last;
      chunks += pass ? 1 : 0;
    });
    return pass;
  };
  const auto answer = world.submit(World::batchOf(6));
  world.harness.advance(12s);
  BOOST_REQUIRE(answer->has_value());
  BOOST_TEST(((*answer)->error().code == ErrorCode::OutcomeUnknown));
  BOOST_TEST(chunks >= 2U);
  world.installFilter();
  world.harness.advance(5s);
  BOOST_TEST(world.engines.runs.empty());
  const auto rows = [&] {
    std::size_t count = 0;
    for (const auto& table : world.table().durable) {
      count += table.second.size();
    }
    return count;
  };
  BOOST_TEST(rows() > 0U);
  world.harness.advance(world.options.owner.uploadTimeout + 5s);
  BOOST_TEST(rows() == 0U);
}

BOOST_AUTO_TEST_CASE(manyChunksSurviveALostOwnerInTheMiddle) {
  WorldOptions options;
  options.client.maxChunkItems = 2;
  World world(options);
  std::size_t seen = 0;
  world.harness.filter = [&](const Harness::Envelope& envelope) {
    dispatchMessage<SubmitChunk>(envelope.message, [&](const SubmitChunk&) {
      if (++seen == 3) {
        world.failover(true);
      }
    });
    return true;
  };
  const auto answer = world.submit(World::batchOf(11));
  world.harness.advance(20s);
  BOOST_REQUIRE(answer->has_value());
  BOOST_REQUIRE((*answer)->has_value());
  const std::string id = (*answer)->value().id;
  BOOST_TEST(world.status(id).value().done == 11U);
  BOOST_TEST(world.page(id, 0, 100).results.size() == 11U);
}

BOOST_AUTO_TEST_CASE(fullStoreRejectsNewBatchesAndKeepsTheOld) {
  WorldOptions options;
  options.owner.maxPartitionBodyBytes = 200;
  World world(options);
  const std::string id = world.accepted(World::batchOf(2, "a"));
  const auto big = world.submit(World::batchOf(100));
  world.harness.advance(1s);
  BOOST_REQUIRE(big->has_value());
  BOOST_TEST(((*big)->error().code == ErrorCode::StorageFull));
  // The ring of files is full: the refusal waits until the erasure is durable.
  world.table().failWrites = ErrorCode::StorageFull;
  const auto refused = world.submit(World::batchOf(1, "b"));
  world.harness.settle();
  BOOST_TEST(!refused->has_value());
  world.table().failWrites.reset();
  world.harness.advance(2s);
  BOOST_REQUIRE(refused->has_value());
  BOOST_TEST((!(*refused)->has_value()));
  BOOST_TEST(world.status(id).value().itemCount == 2U);
}

// Stores took batches until their disks were full; then no partition could change its owner and
// nothing that had been accepted could be read.
BOOST_AUTO_TEST_CASE(aStoreWithScarceStorageRejectsNewBatchesAndFinishesTheOld) {
  World world;
  world.engines.hold = true;
  const std::string id = world.accepted(World::batchOf(4, "a"));
  world.table().scarce = true;
  const auto refused = world.submit(World::batchOf(1, "b"));
  world.harness.advance(1s);
  BOOST_REQUIRE(refused->has_value());
  BOOST_TEST(((*refused)->error().code == ErrorCode::StorageFull));
  world.engines.hold = false;
  while (!world.engines.open.empty()) {
    world.engines.answerNext();
  }
  world.harness.advance(5s);
  BOOST_TEST(world.status(id).value().done == 4U);
}

// The bodies of all batches of a day stayed on the disks of all stores until they were full.
BOOST_AUTO_TEST_CASE(bodiesOfAFinishedBatchFreeTheirStorage) {
  World world;
  const std::string id = world.accepted(World::batchOf(20, "a"));
  world.harness.advance(5s);
  BOOST_REQUIRE(world.status(id).value().done == 20U);
  const auto& rows = world.table().durable[partitionOf(TableKind::Batches, id)];
  BOOST_TEST(rows.count(bodyKey(id, 0)) == 0U);
  BOOST_TEST(world.page(id, 0, 100).results.size() == 20U);
  BOOST_TEST(world.accepted(World::batchOf(20, "a")) == id);
}

BOOST_AUTO_TEST_CASE(pagesHaveNoGapsAndReadAgainTheSame) {
  WorldOptions options;
  options.client.maxChunkItems = 7;
  World world(options);
  world.engines.hold = true;
  const std::string id = world.accepted(World::batchOf(40));
  world.harness.advance(1s);
  for (int answered = 0; answered < 5; ++answered) {
    world.engines.answerNext();
  }
  world.harness.settle();
  const ResultPage early = world.page(id, 0, 100);
  BOOST_TEST(!early.complete);
  BOOST_TEST(early.next == early.results.size());
  world.engines.hold = false;
  while (!world.engines.open.empty()) {
    world.engines.answerNext();
  }
  world.harness.advance(10s);
  world.failover(false);
  std::uint64_t next = 0;
  std::vector<ItemResult> all;
  while (true) {
    const ResultPage page = world.page(id, next, 9);
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
  World world;
  const std::string id = world.accepted(World::batchOf(3));
  world.harness.advance(5s);
  BOOST_TEST(world.status(id).value().done == 3U);
  world.harness.now += world.options.owner.retention;
  world.harness.advance(5s);
  BOOST_TEST((world.status(id).error().code == ErrorCode::NotFound));
  for (const auto& table : world.table().durable) {
    BOOST_TEST(table.second.empty());
  }
}

BOOST_AUTO_TEST_CASE(costOfAnEventDoesNotGrowWithTheBatch) {
  World world;
  world.engines.hold = true;
  const std::string id = world.accepted(World::batchOf(100000));
  world.harness.advance(1s);
  FakePartitionStore& table = world.table();
  const std::uint64_t reads = table.rowsRead;
  const std::uint64_t bytes = table.bytesWritten;
  const std::uint64_t writes = table.writes;
  constexpr std::uint64_t kItems = 2000;
  for (std::uint64_t item = 0; item < kItems; ++item) {
    world.engines.answerNext();
    world.harness.settle();
  }
  BOOST_TEST(world.status(id).value().done == kItems);
  BOOST_TEST(table.writes - writes <= 2 * kItems + 32);
  BOOST_TEST(table.rowsRead - reads <= kItems);
  BOOST_TEST((table.bytesWritten - bytes) / kItems < 512U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
