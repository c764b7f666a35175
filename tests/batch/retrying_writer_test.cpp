/// Writes that are retried until they are durable.
#include "batch/retrying_writer.h"
#include "fake_partition_store.h"

#include <boost/test/unit_test.hpp>

namespace shedshed::test {
namespace {

const PartitionId kPartition{TableKind::Batches, 1};

/// A writer of an owned partition. The test completes the writes of the store.
struct WriterFixture {
  WriterFixture() {
    store.holdWrites = true;
    writer.begin(kPartition, 1);
  }
  void write(const std::string& key) {
    writer.write(kPartition, {{key, std::string("value")}}, [this] { ++done; });
  }

  Harness harness;
  HarnessContext& context = harness.context("s1", ServiceId::BatchOwner);
  FakePartitionStore store{harness, NodeId{"s1"}};
  RetryingWriter writer{context, store};
  int done = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(retrying_writer, WriterFixture)

BOOST_AUTO_TEST_CASE(aFailedWriteIsRepeatedUntilItIsDurable) {
  store.fenced = false;
  write("row");
  store.completeNext(ErrorCode::StoreUnavailable);
  BOOST_TEST(done == 0);
  BOOST_TEST(store.pending.empty());
  writer.retryFailed(kPartition);
  BOOST_TEST(store.pending.size() == 1U);
  store.completeNext();
  BOOST_TEST(done == 1);
  BOOST_TEST(store.durable[kPartition].count("row") == 1U);
  writer.retryFailed(kPartition);
  BOOST_TEST(store.pending.empty());
}

BOOST_AUTO_TEST_CASE(aWriteOfAFencedOwnerIsNotRepeated) {
  write("row");
  store.completeNext();
  writer.retryFailed(kPartition);
  BOOST_TEST(store.pending.empty());
  BOOST_TEST(done == 0);
}

BOOST_AUTO_TEST_CASE(aWriteThatCompletesAfterTheOwnershipRunsNoCallback) {
  store.fenced = false;
  write("ended");
  writer.end(kPartition);
  store.completeNext();
  writer.begin(kPartition, 1);
  write("fenced");
  writer.begin(kPartition, 2);
  store.completeNext();
  BOOST_TEST(done == 0);
}

BOOST_AUTO_TEST_CASE(nothingIsWrittenWithoutTheOwnership) {
  writer.end(kPartition);
  write("row");
  BOOST_TEST(store.pending.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
