#include "storage/segment_format.h"

#include <cstring>
#include <xxhash.h>

namespace shedshed {
namespace {

constexpr std::uint64_t kSegmentMagic = 0x31474e4952444853;  // "SHDRING1"
constexpr std::uint32_t kRecordMagic = 0x43455253;           // "SREC"
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kEntryHeaderBytes = 9;  // Flag, key length, value length.

template <class Number>
void put(std::string& bytes, Number number) {
  static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__, "the segments are little-endian");
  bytes.append(reinterpret_cast<const char*>(&number), sizeof number);
}

template <class Number>
Number get(std::string_view bytes, std::size_t& offset) {
  Number number;
  std::memcpy(&number, bytes.data() + offset, sizeof number);
  offset += sizeof number;
  return number;
}

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace

std::string encodeSegmentHeader(const SegmentHeader& header) {
  std::string bytes;
  put(bytes, kSegmentMagic);
  put(bytes, header.segmentSequence);
  put(bytes, header.firstSequence);
  put(bytes, header.segmentBytes);
  put(bytes, header.segmentCount);
  bytes += header.storeId;
  bytes.resize(kSegmentHeaderBytes - kChecksumBytes);
  put(bytes, checksum(bytes, 0));
  return bytes;
}

std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes) {
  const std::string_view covered = bytes.substr(0, kSegmentHeaderBytes - kChecksumBytes);
  std::size_t offset = covered.size();
  const bool valid = get<std::uint64_t>(bytes, offset) == checksum(covered, 0);
  offset = 0;
  if (get<std::uint64_t>(bytes, offset) != kSegmentMagic || !valid) {
    return std::nullopt;
  }
  SegmentHeader header;
  header.segmentSequence = get<std::uint64_t>(bytes, offset);
  header.firstSequence = get<std::uint64_t>(bytes, offset);
  header.segmentBytes = get<std::uint64_t>(bytes, offset);
  header.segmentCount = get<std::uint32_t>(bytes, offset);
  header.storeId = bytes.substr(offset, kStoreIdBytes);
  return header;
}

std::size_t payloadEntryBytes(std::size_t keyBytes, std::size_t valueBytes) {
  return kEntryHeaderBytes + keyBytes + valueBytes;
}

void appendPayloadEntry(std::string& payload, std::string_view key,
                        const std::optional<std::string_view>& value) {
  put(payload, static_cast<std::uint8_t>(value.has_value()));
  put(payload, static_cast<std::uint32_t>(key.size()));
  put(payload, static_cast<std::uint32_t>(value ? value->size() : 0));
  payload += key;
  if (value) {
    payload += *value;
  }
}

std::optional<std::vector<PayloadEntry>> decodePayload(std::string_view payload) {
  std::vector<PayloadEntry> entries;
  std::size_t offset = 0;
  while (offset < payload.size()) {
    if (payload.size() - offset < kEntryHeaderBytes) {
      return std::nullopt;
    }
    const bool hasValue = get<std::uint8_t>(payload, offset) != 0;
    const std::uint64_t keyBytes = get<std::uint32_t>(payload, offset);
    const std::uint64_t valueBytes = get<std::uint32_t>(payload, offset);
    if (payload.size() - offset < keyBytes + valueBytes) {
      return std::nullopt;
    }
    PayloadEntry entry;
    entry.key = payload.substr(offset, keyBytes);
    entry.valueOffset = offset + keyBytes;
    if (hasValue) {
      entry.value = payload.substr(entry.valueOffset, valueBytes);
    }
    entries.push_back(entry);
    offset += keyBytes + valueBytes;
  }
  return entries;
}

std::uint64_t recordBytes(std::uint64_t payloadBytes) {
  const std::uint64_t bytes = kRecordHeaderBytes + payloadBytes;
  return (bytes + kRecordAlignment - 1) / kRecordAlignment * kRecordAlignment;
}

std::string encodeRecord(const RecordHeader& header, std::uint64_t segmentSequence,
                         std::string_view payload) {
  std::string covered;
  covered.reserve(recordBytes(payload.size()));
  put(covered, header.payloadBytes);
  put(covered, static_cast<std::uint32_t>(header.kind));
  put(covered, header.sequence);
  put(covered, header.syncedSequence);
  covered += payload;
  std::string bytes;
  bytes.reserve(recordBytes(payload.size()));
  put(bytes, kRecordMagic);
  put(bytes, std::uint32_t{0});
  put(bytes, checksum(covered, segmentSequence));
  bytes += covered;
  bytes.resize(recordBytes(payload.size()));
  return bytes;
}

std::optional<RecordHeader> decodeRecord(std::string_view segment, std::uint64_t offset,
                                         std::uint64_t segmentSequence) {
  if (offset + kRecordHeaderBytes > segment.size()) {
    return std::nullopt;
  }
  std::size_t at = offset;
  if (get<std::uint32_t>(segment, at) != kRecordMagic) {
    return std::nullopt;
  }
  at += sizeof(std::uint32_t);
  const std::uint64_t expected = get<std::uint64_t>(segment, at);
  const std::size_t coveredAt = at;
  RecordHeader header;
  header.payloadBytes = get<std::uint32_t>(segment, at);
  header.kind = static_cast<RecordKind>(get<std::uint32_t>(segment, at));
  header.sequence = get<std::uint64_t>(segment, at);
  header.syncedSequence = get<std::uint64_t>(segment, at);
  if (header.payloadBytes > segment.size() - at) {
    return std::nullopt;
  }
  const std::size_t end = at + header.payloadBytes;
  if (checksum(segment.substr(coveredAt, end - coveredAt), segmentSequence) != expected) {
    return std::nullopt;
  }
  return header;
}

std::uint64_t valueChecksum(std::string_view value) {
  return checksum(value, 0);
}

}  // namespace shedshed
