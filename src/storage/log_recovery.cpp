#include "storage/log_recovery.h"

#include "storage/store_creation.h"

namespace shedshed {

namespace {

Error storageCorrupt(const std::string& detail) {
  return makeError(ErrorCode::StorageCorrupt, detail);
}

}  // namespace

Result<LogPosition> LogRecovery::run(RandomEngine& random) {
  auto headers = files_.readHeaders();
  if (!headers) {
    return headers.error();
  }
  const Status sizes = checkSizes(headers.value());
  if (!sizes) {
    return sizes.error();
  }
  const Status located = locateNewest(headers.value(), random);
  if (!located) {
    return located.error();
  }
  if (position_.segmentSequence == 1) {
    const Status finished = StoreCreation(files_).finish(position_.storeId, headers.value());
    if (!finished) {
      return finished.error();
    }
    headers = files_.readHeaders();
    if (!headers) {
      return headers.error();
    }
  }
  const Status checked = checkHeaders(headers.value());
  if (!checked) {
    return checked.error();
  }
  const Status replayed = replaySegments(headers.value());
  if (!replayed) {
    return replayed.error();
  }
  return position_;
}

Status LogRecovery::locateNewest(const Headers& headers, RandomEngine& random) {
  for (const std::optional<SegmentHeader>& header : headers) {
    if (header && header->segmentSequence > position_.segmentSequence) {
      position_.segmentSequence = header->segmentSequence;
      position_.storeId = header->storeId;
    }
  }
  if (position_.segmentSequence != 0) {
    return okStatus();
  }
  Result<std::string> storeId = StoreCreation(files_).begin(random);
  if (!storeId) {
    return storeId.error();
  }
  position_.segmentSequence = 1;
  position_.storeId = std::move(storeId).value();
  return okStatus();
}

Status LogRecovery::checkSizes(const Headers& headers) const {
  const LogStoreOptions& options = files_.options();
  for (const std::optional<SegmentHeader>& header : headers) {
    if (!header) {
      continue;
    }
    if (header->segmentBytes != options.segmentBytes ||
        header->segmentCount != options.segmentCount) {
      return makeError(ErrorCode::InvalidArgument,
                       "the store was created with another segment size or segment count");
    }
  }
  return okStatus();
}

/// Checks that every file has the header of the last segment that was started in it. The newest
/// segment determines the sequence expected in each slot, as the slots are used in rotation. A disk
/// writes a header's sector atomically, so a crash leaves either the previous or the new header.
Status LogRecovery::checkHeaders(const Headers& headers) const {
  const std::uint64_t count = files_.options().segmentCount;
  const std::uint64_t newest = position_.segmentSequence;
  for (std::uint64_t slot = 0; slot < count; ++slot) {
    // Sequence of the last segment in this slot; 0 if the slot was not used yet.
    const std::uint64_t age = (newest + count - slot) % count;
    const std::uint64_t expected = newest > age ? newest - age : 0;
    const std::optional<SegmentHeader>& header = headers[slot];
    if (!header || header->segmentSequence != expected || header->storeId != position_.storeId) {
      return storageCorrupt("the header of " + SegmentFiles::fileName(slot) +
                            " is lost or damaged");
    }
  }
  return okStatus();
}

Status LogRecovery::replaySegments(const Headers& headers) {
  const std::uint64_t newest = position_.segmentSequence;
  // The oldest segment is still needed if its live records were not compacted into the newest one.
  const Result<bool> compacted = startsWithCompaction(newest);
  if (!compacted) {
    return compacted.error();
  }
  const std::uint64_t kept = files_.options().segmentCount - (compacted.value() ? 1 : 0);
  const std::uint64_t first = newest > kept ? newest - kept + 1 : 1;
  position_.nextSequence = headers[files_.slotOf(first)]->firstSequence;
  for (std::uint64_t sequence = first; sequence <= newest; ++sequence) {
    const SegmentHeader& header = *headers[files_.slotOf(sequence)];
    if (header.segmentSequence != sequence || header.firstSequence != position_.nextSequence) {
      return storageCorrupt("records are missing before " +
                            SegmentFiles::fileName(files_.slotOf(sequence)));
    }
    const Result<std::string> content = files_.readSegment(sequence);
    if (!content) {
      return content.error();
    }
    const Result<std::uint64_t> end = replaySegment(header, content.value());
    if (!end) {
      return end.error();
    }
    if (sequence == newest) {
      position_.offset = end.value();
      return zeroTail(content.value());
    }
  }
  return okStatus();
}

Result<std::uint64_t> LogRecovery::replaySegment(const SegmentHeader& header,
                                                 std::string_view content) {
  std::uint64_t end = kFirstRecordOffset;
  while (true) {
    const auto record = decodeRecord(content, end, header.segmentSequence);
    if (!record || record->sequence != position_.nextSequence) {
      return end;
    }
    const std::uint64_t payloadOffset = end + kRecordHeaderBytes;
    const std::string_view payload = content.substr(payloadOffset, record->payloadBytes);
    if (!decodePayload(payload)) {
      return storageCorrupt("a record is malformed");
    }
    index_.apply(payload, header.segmentSequence, payloadOffset);
    end += recordBytes(record->payloadBytes);
    ++position_.nextSequence;
  }
}

/// Scans for complete records after the first unreadable one. A record that was written after the
/// unreadable one had been synced proves that synced data is damaged; the others were unsynced at a
/// power loss. The rest of the segment is overwritten with zeros, including unreadable bytes:
/// otherwise a later torn write could supply the sectors that a discarded record lacks and make it
/// valid again.
Status LogRecovery::zeroTail(std::string_view content) {
  const std::uint64_t end = position_.offset;
  for (std::uint64_t at = end; at < content.size(); at += kRecordAlignment) {
    const auto record = decodeRecord(content, at, position_.segmentSequence);
    if (record && record->syncedSequence >= position_.nextSequence) {
      return storageCorrupt("record " + std::to_string(position_.nextSequence) + " is damaged");
    }
  }
  if (content.find_first_not_of('\0', end) == std::string_view::npos) {
    return okStatus();
  }
  File& active = files_.segment(position_.segmentSequence);
  return active.writeAt(end, std::string(content.size() - end, '\0'));
}

Result<bool> LogRecovery::startsWithCompaction(std::uint64_t segmentSequence) const {
  const Result<std::string> content = files_.readSegment(segmentSequence);
  if (!content) {
    return content.error();
  }
  const auto record = decodeRecord(content.value(), kFirstRecordOffset, segmentSequence);
  return record && record->kind == RecordKind::Compaction;
}

}  // namespace shedshed
