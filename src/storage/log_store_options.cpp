#include "storage/log_store_options.h"

#include "storage/segment_format.h"

namespace shedshed {

namespace {

constexpr std::uint32_t kMinSegments = 3;  ///< Active, oldest and spare.
constexpr std::uint64_t kMinSegmentBytes = 2 * kFirstRecordOffset;
constexpr std::uint64_t kMaxSegmentBytes = 1ULL << 30;  ///< Lengths are stored in 32 bits.
constexpr std::uint32_t kPercent = 100;

}  // namespace

Status LogStoreOptions::validate() const {
  const bool size = segmentBytes >= kMinSegmentBytes && segmentBytes <= kMaxSegmentBytes &&
                    segmentBytes % kRecordAlignment == 0;
  if (segmentCount < kMinSegments || !size || livePercent > kPercent) {
    return makeError(ErrorCode::InvalidArgument,
                     "segment size, segment count or live percentage out of range");
  }
  return okStatus();
}

std::uint64_t LogStoreOptions::maxPayloadBytes() const {
  // Every segment starts with a compaction record, which may be empty.
  return segmentBytes - kFirstRecordOffset - recordBytes(0) - kRecordHeaderBytes;
}

std::uint64_t LogStoreOptions::maxLiveBytes() const {
  return (segmentCount - 2) * maxPayloadBytes() / kPercent * livePercent;
}

}  // namespace shedshed
