#include "storage/log_structured_store.h"

#include "storage/log_recovery.h"

#include <algorithm>
#include <utility>

namespace shedshed {

LogStructuredStore::LogStructuredStore(std::unique_ptr<SegmentFiles> files,
                                       std::unique_ptr<RecordIndex> index, LogPosition position)
    : files_(std::move(files)), index_(std::move(index)),
      writer_(*files_, *index_, std::move(position)) {}

Result<std::unique_ptr<LogStructuredStore>> LogStructuredStore::open(FileSystem& fileSystem,
                                                                     std::string folder,
                                                                     LogStoreOptions options,
                                                                     RandomEngine& random) {
  const Status valid = options.validate();
  if (!valid) {
    return valid.error();
  }
  auto files = SegmentFiles::open(fileSystem, std::move(folder), options);
  if (!files) {
    return files.error();
  }
  auto index = std::make_unique<RecordIndex>(options.cachedValueBytes);
  Result<LogPosition> position = LogRecovery(*files.value(), *index).run(random);
  if (!position) {
    return position.error();
  }
  std::unique_ptr<LogStructuredStore> store(new LogStructuredStore(
      std::move(files).value(), std::move(index), std::move(position).value()));
  const Status finished = store->finishRecovery();
  if (!finished) {
    return finished.error();
  }
  return store;
}

Result<LogStoreOptions> LogStructuredStore::optionsFor(FileSystem& fileSystem,
                                                       const std::string& folder,
                                                       LogStoreOptions wanted) {
  const Result<std::optional<SegmentHeader>> header = SegmentFiles::findHeader(fileSystem, folder);
  if (!header) {
    return header.error();
  }
  if (header.value()) {
    wanted.segmentBytes = header.value()->segmentBytes;
    wanted.segmentCount = header.value()->segmentCount;
  }
  return wanted;
}

Status LogStructuredStore::finishRecovery() {
  // Recovered records may still be unsynced if only the process ended. Readers rely on them being
  // durable, so they are synced first.
  const Status synced = writer_.syncActive();
  if (!synced || !writer_.isSegmentEmpty()) {
    return synced;
  }
  return writer_.compactOldest();
}

Status LogStructuredStore::append(const std::vector<Mutation>& mutations) {
  const std::lock_guard<std::mutex> writing(writeMutex_);
  if (poisoned_) {
    return *poisoned_;
  }
  const Status room = checkRoom(mutations);
  if (!room) {
    return room;
  }
  std::string payload;
  for (const Mutation& mutation : mutations) {
    appendPayloadEntry(payload, mutation.key, mutation.value);
  }
  const Status made = makeRoom(payload.size());
  if (!made) {
    return made;
  }
  const Status written = writer_.append(RecordKind::Group, payload);
  if (!written) {
    return poison(written.error());
  }
  return okStatus();
}

Status LogStructuredStore::makeRoom(std::uint64_t payloadBytes) {
  // One rotation through all files compacts every segment once. If that freed no space, another
  // rotation will not either.
  for (std::uint32_t begun = 0; !writer_.fits(payloadBytes); ++begun) {
    if (begun == files_->options().segmentCount) {
      return makeError(ErrorCode::StorageFull, "no segment has enough space for the group");
    }
    const Status allocated = writer_.allocateNextSegment();
    if (!allocated) {
      return allocated;
    }
    const Status rotated = writer_.beginNextSegment();
    if (!rotated) {
      return poison(rotated.error());
    }
  }
  return okStatus();
}

Status LogStructuredStore::sync() {
  std::uint64_t appended = 0;
  File* active = nullptr;
  {
    const std::lock_guard<std::mutex> writing(writeMutex_);
    if (poisoned_) {
      return *poisoned_;
    }
    if (!writer_.hasUnsynced()) {
      return okStatus();
    }
    appended = writer_.lastAppended();
    active = &writer_.activeSegment();
  }
  // Earlier segments were synced before the active one was started, so syncing it suffices.
  const Status synced = active->sync();
  const std::lock_guard<std::mutex> writing(writeMutex_);
  if (!synced) {
    return poison(synced.error());
  }
  writer_.setSynced(appended);
  // The marker itself is not synced. It tells recovery that the records before it were synced, so
  // that damage to them is not mistaken for a torn write.
  if (writer_.fits(0)) {
    const Status marked = writer_.append(RecordKind::SyncMarker, std::string());
    if (!marked) {
      return poison(marked.error());
    }
  }
  return okStatus();
}

Result<std::optional<std::string>> LogStructuredStore::read(std::string_view key) const {
  std::uint64_t failedSegment = 0;
  std::uint64_t failedOffset = 0;
  while (true) {
    const std::optional<RecordLocation> location = index_->find(key);
    if (!location) {
      return std::optional<std::string>();
    }
    Result<std::string> value = readValue(*files_, *location);
    if (value) {
      return std::optional<std::string>(std::move(value).value());
    }
    // The file may have been reused since the lookup, in which case the record has moved. A second
    // failure at the same location is a real error.
    if (location->segmentSequence == failedSegment && location->offset == failedOffset) {
      return value.error();
    }
    failedSegment = location->segmentSequence;
    failedOffset = location->offset;
  }
}

std::vector<std::string> LogStructuredStore::keys(std::string_view prefix) const {
  return index_->keys(prefix);
}

LogStoreUsage LogStructuredStore::usage() const {
  const LogStoreOptions& options = files_->options();
  LogStoreUsage usage;
  usage.liveBytes = index_->liveBytes();
  usage.freeBytes = options.maxLiveBytes() - std::min(options.maxLiveBytes(), usage.liveBytes);
  usage.segments = options.segmentCount;
  usage.reclaimedSegments = writer_.reclaimedSegments();
  usage.wraps = writer_.segmentsBegun() / options.segmentCount;
  return usage;
}

RecordSpace LogStructuredStore::space() const {
  return {index_->liveBytes(), files_->options().maxLiveBytes()};
}

Status LogStructuredStore::poison(const Error& error) {
  if (!poisoned_) {
    poisoned_ = makeError(ErrorCode::StorageFailed,
                          "store disabled by an earlier failure: " + error.detail);
  }
  return *poisoned_;
}

Status LogStructuredStore::checkRoom(const std::vector<Mutation>& mutations) const {
  std::uint64_t payloadBytes = 0;
  for (const Mutation& mutation : mutations) {
    const std::size_t valueBytes = mutation.value ? mutation.value->size() : 0;
    payloadBytes += payloadEntryBytes(mutation.key.size(), valueBytes);
  }
  const LogStoreOptions& options = files_->options();
  if (payloadBytes > options.maxPayloadBytes()) {
    return makeError(ErrorCode::TooLarge, "the group is larger than a segment");
  }
  const std::uint64_t after = index_->liveBytesAfter(mutations);
  // A group that reduces the live bytes is accepted even if the store is full.
  if (after > options.maxLiveBytes() && after > index_->liveBytes()) {
    return makeError(ErrorCode::StorageFull, "live records exceed the capacity of the store");
  }
  return okStatus();
}

}  // namespace shedshed
