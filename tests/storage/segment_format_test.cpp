// Guards against changes of the on-disk format, which later releases must still read.
#include "storage/segment_format.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

constexpr const char* kStoreId = "0123456789abcdef0123456789abcdef";

std::string hexOf(const std::string& bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte / 16];
    text += kDigits[byte % 16];
  }
  return text;
}

std::string samplePayload() {
  std::string payload;
  appendPayloadEntry(payload, "key", std::string_view("value"));
  appendPayloadEntry(payload, "gone", std::nullopt);
  return payload;
}

RecordHeader sampleRecordHeader() {
  RecordHeader header;
  header.payloadBytes = static_cast<std::uint32_t>(samplePayload().size());
  header.kind = RecordKind::Compaction;
  header.sequence = 9;
  header.syncedSequence = 8;
  return header;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(segment_format)

BOOST_AUTO_TEST_CASE(segment_header_keeps_its_bytes_and_reads_back) {
  SegmentHeader header;
  header.storeId = kStoreId;
  header.segmentSequence = 5;
  header.firstSequence = 77;
  header.segmentBytes = 12288;
  header.segmentCount = 4;
  const std::string bytes = encodeSegmentHeader(header);
  const std::string zeros(2 * 52, '0');
  BOOST_TEST(hexOf(bytes) == "53484452494e473105000000000000004d000000000000000030000000000000"
                             "0400000030313233343536373839616263646566303132333435363738396162"
                             "63646566" +
                                 zeros + "c1c2064ec6393887");
  const auto decoded = decodeSegmentHeader(bytes);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->storeId == kStoreId);
  BOOST_TEST(decoded->segmentSequence == 5U);
  BOOST_TEST(decoded->firstSequence == 77U);
  BOOST_TEST(decoded->segmentBytes == 12288U);
  BOOST_TEST(decoded->segmentCount == 4U);
}

BOOST_AUTO_TEST_CASE(record_keeps_its_bytes_and_reads_back_in_its_segment_only) {
  const std::string bytes = encodeRecord(sampleRecordHeader(), 5, samplePayload());
  BOOST_TEST(hexOf(bytes) == "53524543000000003a8128ed6adadfb01e000000020000000900000000000000"
                             "08000000000000000103000000050000006b657976616c756500040000000000"
                             "0000676f6e650000");
  const auto decoded = decodeRecord(bytes, 0, 5);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->kind == RecordKind::Compaction));
  BOOST_TEST(decoded->sequence == 9U);
  BOOST_TEST(decoded->syncedSequence == 8U);
  BOOST_TEST(!decodeRecord(bytes, 0, 6).has_value());
}

BOOST_AUTO_TEST_CASE(payload_reads_back_with_its_tombstones) {
  const std::string payload = samplePayload();
  const auto entries = decodePayload(payload);
  BOOST_REQUIRE(entries.has_value());
  BOOST_REQUIRE(entries->size() == 2U);
  BOOST_TEST(entries->at(0).key == "key");
  BOOST_TEST(entries->at(0).value.value() == "value");
  BOOST_TEST(entries->at(1).key == "gone");
  BOOST_TEST(!entries->at(1).value.has_value());
  BOOST_TEST(!decodePayload(payload.substr(0, payload.size() - 1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
