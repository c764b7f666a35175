/// @file
/// Layout of a segment file of the log-structured store. Numbers are little-endian.
///
/// A segment starts with a header in its first sector, in a block of its own. Records follow from
/// `kFirstRecordOffset` on without gaps. Each is one atomic group of mutations and has one
/// checksum, so a group is either complete or absent. The checksum is seeded with the segment's
/// sequence, so that records left from an earlier use of the file never pass it.
#pragma once

#include "kernel/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Size of a segment header, in bytes. Smaller than one sector, so that a disk writes it
/// atomically.
constexpr std::size_t kSegmentHeaderBytes = 128;

/// Offset of the first record, in bytes.
constexpr std::uint64_t kFirstRecordOffset = 4096;

/// Records start at multiples of this, in bytes.
constexpr std::uint64_t kRecordAlignment = 8;

/// Size of a record's header, in bytes.
constexpr std::size_t kRecordHeaderBytes = 40;

/// Length of a store id: 32 hexadecimal digits.
constexpr std::size_t kStoreIdBytes = 32;

/// The header of a segment. It also repeats the sizes of the store, which never change.
struct SegmentHeader {
  std::string storeId;
  /// Number of the segment since the creation of the store; modulo `segmentCount` it is the slot of
  /// the file. 0 if the file was not used yet.
  std::uint64_t segmentSequence = 0;
  std::uint64_t firstSequence = 0;  ///< Sequence of the first record in this segment.
  std::uint64_t segmentBytes = 0;
  std::uint32_t segmentCount = 0;
};

enum class RecordKind : std::uint32_t {
  Group = 1,       ///< A group that the caller appended.
  Compaction = 2,  ///< Live records of the oldest segment; always the first record of a segment.
  SyncMarker = 3,  ///< Empty; written after a sync, so that recovery knows what was synced.
};

/// The header of a record. The payload follows it.
struct RecordHeader {
  std::uint32_t payloadBytes = 0;
  RecordKind kind = RecordKind::Group;
  std::uint64_t sequence = 0;
  std::uint64_t syncedSequence = 0;  ///< All records up to it were synced before this one.
};

/// One mutation inside a payload. The views point into the payload.
struct PayloadEntry {
  std::string_view key;
  std::optional<std::string_view> value;
  std::size_t valueOffset = 0;  ///< Of the value, from the start of the payload, in bytes.
};

/// Returns the header as it is written: `kSegmentHeaderBytes` bytes.
std::string encodeSegmentHeader(const SegmentHeader& header);

/// Returns nullopt if @p bytes is not a valid header.
std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes);

/// Bytes that one mutation takes in a payload.
std::size_t payloadEntryBytes(std::size_t keyBytes, std::size_t valueBytes);

/// Appends one mutation to @p payload; without a @p value it is a tombstone.
void appendPayloadEntry(std::string& payload, std::string_view key,
                        const std::optional<std::string_view>& value);

/// Returns nullopt if the payload is malformed.
std::optional<std::vector<PayloadEntry>> decodePayload(std::string_view payload);

/// Bytes that a record takes in its file, with header and padding.
std::uint64_t recordBytes(std::uint64_t payloadBytes);

/// Returns the record as it is written, padded to `kRecordAlignment`.
std::string encodeRecord(const RecordHeader& header, std::uint64_t segmentSequence,
                         std::string_view payload);

/// Returns the header of the record at @p offset of @p segment; nullopt if there is none with a
/// valid checksum.
std::optional<RecordHeader> decodeRecord(std::string_view segment, std::uint64_t offset,
                                         std::uint64_t segmentSequence);

/// Checksum of a single value (xxh3, 64 bits).
std::uint64_t valueChecksum(std::string_view value);

}  // namespace shedshed
