#include "storage/record_index.h"

#include <utility>

namespace shedshed {

Result<std::string> readValue(const SegmentFiles& files, const RecordLocation& location) {
  if (location.cached) {
    return *location.cached;
  }
  Result<std::string> value =
      files.segment(location.segmentSequence).readAt(location.offset, location.bytes);
  if (!value) {
    return value;
  }
  if (valueChecksum(value.value()) != location.checksum) {
    return makeError(ErrorCode::StorageCorrupt, "a value fails its checksum in " + files.folder());
  }
  return value;
}

void RecordIndex::apply(std::string_view payload, std::uint64_t segmentSequence,
                        std::uint64_t payloadOffset) {
  const auto entries = decodePayload(payload);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const PayloadEntry& entry : *entries) {
    const auto found = locations_.find(entry.key);
    if (found != locations_.end()) {
      liveBytes_ -= payloadEntryBytes(entry.key.size(), found->second.bytes);
      locations_.erase(found);
    }
    if (!entry.value) {
      continue;
    }
    RecordLocation location;
    location.segmentSequence = segmentSequence;
    location.offset = payloadOffset + entry.valueOffset;
    location.bytes = static_cast<std::uint32_t>(entry.value->size());
    location.checksum = valueChecksum(*entry.value);
    if (location.bytes <= cachedValueBytes_) {
      location.cached = std::string(*entry.value);
    }
    liveBytes_ += payloadEntryBytes(entry.key.size(), location.bytes);
    locations_.emplace(std::string(entry.key), std::move(location));
  }
}

std::optional<RecordLocation> RecordIndex::find(std::string_view key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = locations_.find(key);
  return found == locations_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> RecordIndex::keys(std::string_view prefix) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> found;
  for (auto entry = locations_.lower_bound(prefix); entry != locations_.end(); ++entry) {
    if (entry->first.compare(0, prefix.size(), prefix) != 0) {
      break;
    }
    found.push_back(entry->first);
  }
  return found;
}

std::uint64_t RecordIndex::liveBytes() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return liveBytes_;
}

std::uint64_t RecordIndex::liveBytesAfter(const std::vector<Mutation>& mutations) const {
  // A later mutation of the same key replaces an earlier one.
  std::map<std::string_view, std::uint64_t> bytesByKey;
  for (const Mutation& mutation : mutations) {
    bytesByKey[mutation.key] =
        mutation.value ? payloadEntryBytes(mutation.key.size(), mutation.value->size()) : 0;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::uint64_t live = liveBytes_;
  for (const auto& [key, bytes] : bytesByKey) {
    const auto found = locations_.find(key);
    live += bytes;
    live -= found == locations_.end() ? 0 : payloadEntryBytes(key.size(), found->second.bytes);
  }
  return live;
}

Status RecordIndex::forEachIn(
    std::uint64_t segmentSequence,
    const std::function<Status(const std::string& key, const RecordLocation&)>& visit) const {
  for (const auto& [key, location] : locations_) {
    if (location.segmentSequence != segmentSequence) {
      continue;
    }
    Status visited = visit(key, location);
    if (!visited) {
      return visited;
    }
  }
  return okStatus();
}

}  // namespace shedshed
