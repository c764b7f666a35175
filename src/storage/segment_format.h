/// @file
/// Layout of the files of the record ring. Numbers are little-endian.
///
/// A file starts with a header in its first sector, in a block of its own. From
/// `kFirstRecordOffset` on follow records without gaps; each is one atomic group of mutations and
/// has one checksum, so a group is whole or absent. The checksum is seeded with the file's
/// sequence: what remains of an earlier use of the file never passes it.
#pragma once

#include "kernel/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Size of a file header, in bytes. Below one sector, so that a disk writes it whole.
constexpr std::size_t kFileHeaderBytes = 128;

/// Offset of the first record, in bytes.
constexpr std::uint64_t kFirstRecordOffset = 4096;

/// Records start at multiples of this, in bytes.
constexpr std::uint64_t kRecordAlignment = 8;

/// Size of a record's header, in bytes.
constexpr std::size_t kRecordHeaderBytes = 40;

/// Length of a store id: 32 hexadecimal digits.
constexpr std::size_t kStoreIdBytes = 32;

struct FileHeader {
  std::string storeId;
  std::uint64_t fileSequence =
      0;  ///< Counts the uses of files; modulo the count it names the file. 0: not used.
  std::uint64_t firstSequence = 0;  ///< Sequence of the first record in this file.
  std::uint64_t fileBytes = 0;
  std::uint32_t fileCount = 0;
};

enum class RecordKind : std::uint32_t {
  Group = 1,     ///< A group that the caller appended.
  Forward = 2,   ///< Live mutations of the oldest file; always the first record of a file.
  SyncMark = 3,  ///< Empty; written after a sync, so that recovery knows what was synced.
};

struct RecordHeader {
  std::uint32_t payloadBytes = 0;
  RecordKind kind = RecordKind::Group;
  std::uint64_t sequence = 0;
  std::uint64_t syncedSequence = 0;  ///< All up to it were synced before this one was written.
};

/// One mutation inside a payload. The views point into the payload.
struct PayloadEntry {
  std::string_view key;
  std::optional<std::string_view> value;
  std::size_t valueOffset = 0;  ///< Of the value, from the start of the payload, in bytes.
};

std::string encodeFileHeader(const FileHeader& header);

/// Returns nullopt if @p bytes is not a valid header.
std::optional<FileHeader> decodeFileHeader(std::string_view bytes);

/// Bytes that one mutation takes in a payload.
std::size_t payloadEntryBytes(std::size_t keyBytes, std::size_t valueBytes);

void appendPayloadEntry(std::string& payload, std::string_view key,
                        const std::optional<std::string_view>& value);

/// Returns nullopt if the payload is malformed.
std::optional<std::vector<PayloadEntry>> decodePayload(std::string_view payload);

/// Bytes that a record takes in its file, with header and padding.
std::uint64_t recordBytes(std::uint64_t payloadBytes);

std::string encodeRecord(const RecordHeader& header, std::uint64_t fileSequence,
                         std::string_view payload);

/// Returns the header of the record at @p offset of @p file; nullopt if it fails its checksum.
std::optional<RecordHeader> decodeRecord(std::string_view file, std::uint64_t offset,
                                         std::uint64_t fileSequence);

/// Checksum of a single value (xxh3, 64 bits).
std::uint64_t valueChecksum(std::string_view value);

}  // namespace shedshed
