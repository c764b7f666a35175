#include "storage/segment_writer.h"

#include <algorithm>
#include <utility>

namespace shedshed {

SegmentWriter::SegmentWriter(SegmentFiles& files, RecordIndex& index, LogPosition position)
    : files_(files), index_(index), position_(std::move(position)),
      segmentsBegun_(position_.segmentSequence) {}

bool SegmentWriter::fits(std::uint64_t payloadBytes) const {
  return position_.offset + recordBytes(payloadBytes) <= files_.options().segmentBytes;
}

Status SegmentWriter::append(RecordKind kind, const std::string& payload) {
  RecordHeader header;
  header.payloadBytes = static_cast<std::uint32_t>(payload.size());
  header.kind = kind;
  header.sequence = position_.nextSequence;
  header.syncedSequence = syncedSequence_;
  const std::string bytes = encodeRecord(header, position_.segmentSequence, payload);
  const Status written = activeSegment().writeAt(position_.offset, bytes);
  if (!written) {
    return written;
  }
  index_.apply(payload, position_.segmentSequence, position_.offset + kRecordHeaderBytes);
  position_.offset += bytes.size();
  if (kind != RecordKind::SyncMarker) {
    lastRecord_ = position_.nextSequence;
  }
  ++position_.nextSequence;
  return okStatus();
}

Status SegmentWriter::allocateNextSegment() {
  return files_.allocate(files_.slotOf(position_.segmentSequence + 1));
}

Status SegmentWriter::beginNextSegment() {
  // This is the only step that overwrites records. The live records of the spare segment were
  // compacted into the active one when that was started. Once the active one is synced, the spare
  // one is no longer needed: a crash before the sync leaves it unchanged, and recovery from a crash
  // after the sync does not read it.
  if (files_.options().syncBeforeReuse) {
    const Status synced = syncActive();
    if (!synced) {
      return synced;
    }
  }
  const std::uint64_t next = position_.segmentSequence + 1;
  const Status header =
      files_.writeHeader(files_.slotOf(next), position_.storeId, next, position_.nextSequence);
  if (!header) {
    return header;
  }
  position_.segmentSequence = next;
  position_.offset = kFirstRecordOffset;
  return compactOldest();
}

Status SegmentWriter::compactOldest() {
  const std::uint64_t count = files_.options().segmentCount;
  const bool reclaims = position_.segmentSequence >= count;
  std::string payload;
  if (reclaims) {
    Result<std::string> live = liveRecordsOf(position_.segmentSequence - count + 1);
    if (!live) {
      return live.error();
    }
    payload = std::move(live).value();
  }
  // Always fits: the oldest segment held these mutations and at least one record header.
  const Status written = append(RecordKind::Compaction, payload);
  reclaimedSegments_ += reclaims ? 1 : 0;
  segmentsBegun_ = position_.segmentSequence;
  return written;
}

Result<std::string> SegmentWriter::liveRecordsOf(std::uint64_t segmentSequence) const {
  std::string payload;
  const Status read = index_.forEachIn(
      segmentSequence, [&](const std::string& key, const RecordLocation& location) -> Status {
        const Result<std::string> value = readValue(files_, location);
        if (!value) {
          return value.error();
        }
        appendPayloadEntry(payload, key, value.value());
        return okStatus();
      });
  if (!read) {
    return read.error();
  }
  return payload;
}

Status SegmentWriter::syncActive() {
  const Status synced = activeSegment().sync();
  if (synced) {
    syncedSequence_ = lastAppended();
  }
  return synced;
}

void SegmentWriter::setSynced(std::uint64_t sequence) {
  syncedSequence_ = std::max(syncedSequence_, sequence);
}

}  // namespace shedshed
