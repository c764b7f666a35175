#include "storage/log_structured_store.h"

#include <algorithm>

namespace shedshed {

RecordRing::RecordRing(std::string folder, RingKnobs knobs)
    : folder_(std::move(folder)), knobs_(knobs) {}

Status RecordRing::append(const std::vector<Mutation>& mutations) {
  const std::lock_guard<std::mutex> writing(writeMutex_);
  if (poisoned_) {
    return *poisoned_;
  }
  const Status room = checkRoom(mutations);
  if (!room) {
    return room.error();
  }
  std::string payload;
  for (const Mutation& mutation : mutations) {
    appendPayloadEntry(payload, mutation.key, mutation.value);
  }
  // One turn around the ring looks at every file's live records once: if that made no room, no
  // further turn will.
  for (std::uint32_t turn = 0; !fits(payload.size()); ++turn) {
    if (turn == knobs_.fileCount) {
      return makeError(ErrorCode::StorageFull, "no file has room for the group");
    }
    const Status allocated = allocateFile((fileSequence_ + 1) % knobs_.fileCount);
    if (!allocated) {
      return allocated;
    }
    const Status rotated = rotate();
    if (!rotated) {
      return poison(rotated.error());
    }
  }
  const Status written = writeRecord(RecordKind::Group, payload);
  if (!written) {
    return poison(written.error());
  }
  return okStatus();
}

Status RecordRing::sync() {
  std::uint64_t appended = 0;
  File* active = nullptr;
  {
    const std::lock_guard<std::mutex> writing(writeMutex_);
    if (poisoned_) {
      return *poisoned_;
    }
    if (syncedSequence_ >= lastSequence_) {
      return okStatus();
    }
    appended = nextSequence_ - 1;
    active = &file(fileSequence_);
  }
  // Earlier files were synced when the active one was taken; the active one suffices.
  const Status synced = active->sync();
  const std::lock_guard<std::mutex> writing(writeMutex_);
  if (!synced) {
    return poison(synced.error());
  }
  syncedSequence_ = std::max(syncedSequence_, appended);
  // Left unsynced: it shows at recovery that what precedes it was synced, so that damage there is
  // not taken for a torn tail.
  if (fits(0)) {
    const Status marked = writeRecord(RecordKind::SyncMark, std::string());
    if (!marked) {
      return poison(marked.error());
    }
  }
  return okStatus();
}

Result<std::optional<std::string>> RecordRing::read(std::string_view key) const {
  std::uint64_t triedFile = 0;
  std::uint64_t triedOffset = 0;
  while (true) {
    Version version;
    {
      const std::lock_guard<std::mutex> reading(indexMutex_);
      const auto found = index_.find(key);
      if (found == index_.end()) {
        return std::optional<std::string>();
      }
      version = found->second;
    }
    if (version.cached) {
      return version.cached;
    }
    Result<std::string> value = readVersion(version);
    if (value) {
      return std::optional<std::string>(std::move(value).value());
    }
    // The file may have been reused since the look-up; then the version has moved. A second
    // failure at the same place is real.
    if (version.fileSequence == triedFile && version.offset == triedOffset) {
      return value.error();
    }
    triedFile = version.fileSequence;
    triedOffset = version.offset;
  }
}

std::vector<std::string> RecordRing::keys(std::string_view prefix) const {
  const std::lock_guard<std::mutex> reading(indexMutex_);
  std::vector<std::string> found;
  for (auto entry = index_.lower_bound(prefix); entry != index_.end(); ++entry) {
    if (entry->first.compare(0, prefix.size(), prefix) != 0) {
      break;
    }
    found.push_back(entry->first);
  }
  return found;
}

RingUsage RecordRing::usage() const {
  const std::lock_guard<std::mutex> reading(indexMutex_);
  RingUsage usage;
  usage.liveBytes = liveBytes_;
  usage.freeBytes = liveLimitBytes() - std::min(liveLimitBytes(), liveBytes_);
  usage.files = knobs_.fileCount;
  usage.reclaimedFiles = reclaimedFiles_;
  usage.wraps = turns_ / knobs_.fileCount;
  return usage;
}

RecordSpace RecordRing::space() const {
  const std::lock_guard<std::mutex> reading(indexMutex_);
  return {liveBytes_, liveLimitBytes()};
}

Status RecordRing::poison(const Error& error) {
  if (!poisoned_) {
    poisoned_ = makeError(ErrorCode::StorageFailed, "poisoned by: " + error.detail);
  }
  return *poisoned_;
}

Status RecordRing::checkRoom(const std::vector<Mutation>& mutations) {
  std::map<std::string_view, std::uint64_t> after;
  std::uint64_t payloadBytes = 0;
  for (const Mutation& mutation : mutations) {
    const std::size_t valueBytes = mutation.value ? mutation.value->size() : 0;
    const std::uint64_t bytes = payloadEntryBytes(mutation.key.size(), valueBytes);
    payloadBytes += bytes;
    after[mutation.key] = mutation.value ? bytes : 0;
  }
  if (payloadBytes > maximumPayloadBytes()) {
    return makeError(ErrorCode::TooLarge, "the group is larger than a file");
  }
  const std::lock_guard<std::mutex> reading(indexMutex_);
  std::uint64_t live = liveBytes_;
  for (const auto& [key, bytes] : after) {
    const auto found = index_.find(key);
    live += bytes;
    live -= found == index_.end() ? 0 : payloadEntryBytes(key.size(), found->second.bytes);
  }
  // A group that frees room is taken also when the ring is full.
  if (live > liveLimitBytes() && live > liveBytes_) {
    return makeError(ErrorCode::StorageFull, "live records fill the ring");
  }
  return okStatus();
}

Status RecordRing::allocateFile(std::uint64_t slot) {
  if (allocated_[slot]) {
    return okStatus();
  }
  const Status allocated = files_[slot]->allocate(knobs_.fileBytes);
  allocated_[slot] = static_cast<bool>(allocated);
  return allocated;
}

Status RecordRing::rotate() {
  // The only step that overwrites records. What the spare file held was written forward into the
  // active file at the latest rotation; once the active file is synced, the spare is needed no
  // more.
  if (knobs_.syncBeforeReuse) {
    const Status synced = syncActive();
    if (!synced) {
      return synced;
    }
  }
  const Status header =
      writeFileHeader((fileSequence_ + 1) % knobs_.fileCount, fileSequence_ + 1, nextSequence_);
  if (!header) {
    return header;
  }
  ++fileSequence_;
  offset_ = kFirstRecordOffset;
  return forwardOldest();
}

Status RecordRing::writeFileHeader(std::uint64_t slot, std::uint64_t fileSequence,
                                   std::uint64_t firstSequence) {
  FileHeader header;
  header.storeId = storeId_;
  header.fileSequence = fileSequence;
  header.firstSequence = firstSequence;
  header.fileBytes = knobs_.fileBytes;
  header.fileCount = knobs_.fileCount;
  const Status written = files_[slot]->writeAt(0, encodeFileHeader(header));
  if (!written) {
    return written;
  }
  // Synced before the first record, so that records never lie behind an earlier header.
  return files_[slot]->sync();
}

Status RecordRing::forwardOldest() {
  std::string payload;
  bool reclaims = false;
  if (fileSequence_ >= knobs_.fileCount) {
    const std::uint64_t oldest = fileSequence_ - knobs_.fileCount + 1;
    reclaims = true;
    // Only this thread changes the index, so it may read it without the lock.
    for (const auto& [key, version] : index_) {
      if (version.fileSequence != oldest) {
        continue;
      }
      const Result<std::string> value = readVersion(version);
      if (!value) {
        return value.error();
      }
      appendPayloadEntry(payload, key, value.value());
    }
  }
  // It fits: these mutations and more shared the oldest file with at least one record header.
  const Status written = writeRecord(RecordKind::Forward, payload);
  const std::lock_guard<std::mutex> reading(indexMutex_);
  reclaimedFiles_ += reclaims ? 1 : 0;
  turns_ = fileSequence_;
  return written;
}

Status RecordRing::syncActive() {
  const Status synced = file(fileSequence_).sync();
  if (synced) {
    syncedSequence_ = nextSequence_ - 1;
  }
  return synced;
}

Status RecordRing::writeRecord(RecordKind kind, const std::string& payload) {
  RecordHeader header;
  header.payloadBytes = static_cast<std::uint32_t>(payload.size());
  header.kind = kind;
  header.sequence = nextSequence_;
  header.syncedSequence = syncedSequence_;
  const std::string bytes = encodeRecord(header, fileSequence_, payload);
  const Status written = file(fileSequence_).writeAt(offset_, bytes);
  if (!written) {
    return written;
  }
  apply(payload, fileSequence_, offset_ + kRecordHeaderBytes);
  offset_ += bytes.size();
  if (kind != RecordKind::SyncMark) {
    lastSequence_ = nextSequence_;
  }
  ++nextSequence_;
  return okStatus();
}

void RecordRing::apply(std::string_view payload, std::uint64_t fileSequence,
                       std::uint64_t payloadOffset) {
  const auto entries = decodePayload(payload);
  const std::lock_guard<std::mutex> reading(indexMutex_);
  for (const PayloadEntry& entry : *entries) {
    const auto found = index_.find(entry.key);
    if (found != index_.end()) {
      liveBytes_ -= payloadEntryBytes(entry.key.size(), found->second.bytes);
      index_.erase(found);
    }
    if (!entry.value) {
      continue;
    }
    Version version;
    version.fileSequence = fileSequence;
    version.offset = payloadOffset + entry.valueOffset;
    version.bytes = static_cast<std::uint32_t>(entry.value->size());
    version.checksum = valueChecksum(*entry.value);
    if (version.bytes <= knobs_.cachedValueBytes) {
      version.cached = std::string(*entry.value);
    }
    liveBytes_ += payloadEntryBytes(entry.key.size(), version.bytes);
    index_.emplace(std::string(entry.key), std::move(version));
  }
}

Result<std::string> RecordRing::readVersion(const Version& version) const {
  if (version.cached) {
    return *version.cached;
  }
  Result<std::string> value = file(version.fileSequence).readAt(version.offset, version.bytes);
  if (!value) {
    return value;
  }
  if (valueChecksum(value.value()) != version.checksum) {
    return makeError(ErrorCode::StorageCorrupt, "a value fails its checksum in " + folder_);
  }
  return value;
}

bool RecordRing::fits(std::uint64_t payloadBytes) const {
  return offset_ + recordBytes(payloadBytes) <= knobs_.fileBytes;
}

std::uint64_t RecordRing::maximumPayloadBytes() const {
  // Every file starts with a forward record, if only an empty one.
  return knobs_.fileBytes - kFirstRecordOffset - recordBytes(0) - kRecordHeaderBytes;
}

std::uint64_t RecordRing::liveLimitBytes() const {
  constexpr std::uint64_t kPercent = 100;
  return (knobs_.fileCount - 2) * maximumPayloadBytes() / kPercent * knobs_.livePercent;
}

}  // namespace shedshed
