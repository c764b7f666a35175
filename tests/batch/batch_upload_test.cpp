/// A submission that has not been committed yet.
#include "batch/batch_upload.h"

#include <boost/test/unit_test.hpp>

namespace shedshed::test {
namespace {

SubmitChunk chunkOf(const std::vector<std::string>& all, std::vector<std::string> items) {
  std::string hashes;
  appendItemHashes(hashes, all);
  SubmitChunk chunk;
  chunk.tenant = "acme";
  chunk.itemCount = all.size();
  chunk.digest = itemsDigest(hashes);
  chunk.tokens.assign(items.size(), 5);
  chunk.items = std::move(items);
  return chunk;
}

const std::vector<std::string> kItems{"one", "two", "three"};

}  // namespace

BOOST_AUTO_TEST_SUITE(batch_upload)

BOOST_AUTO_TEST_CASE(chunksAddUpToTheCommitRecord) {
  const SubmitChunk first = chunkOf(kItems, {"one", "two"});
  const SubmitChunk last = chunkOf(kItems, {"three"});
  BatchUpload upload(first, Time{});
  upload.append(first, Time{});
  BOOST_TEST(!upload.isComplete(last));
  BOOST_TEST(upload.tokensWith(last) == 15U);
  upload.append(last, Time{});
  BOOST_TEST(upload.isComplete(last));
  BOOST_TEST(upload.chunks() == 2U);
  BOOST_TEST(upload.meta().chunkPositions[1] == 2U);
  BOOST_TEST(upload.meta().bodyBytes == 11U);
  BOOST_TEST(hasSameContent(upload.meta(), last));
}

BOOST_AUTO_TEST_CASE(otherItemsDoNotMatchTheDigest) {
  const SubmitChunk chunk = chunkOf(kItems, {"one", "two", "other"});
  BatchUpload upload(chunk, Time{});
  upload.append(chunk, Time{});
  BOOST_TEST(!upload.isComplete(chunk));
}

BOOST_AUTO_TEST_CASE(namesMustCoverAllItems) {
  SubmitChunk chunk = chunkOf(kItems, kItems);
  chunk.names = {"a", "b"};
  BatchUpload upload(chunk, Time{});
  upload.append(chunk, Time{});
  BOOST_TEST(!upload.isComplete(chunk));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
