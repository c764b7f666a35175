/// @file
/// Opening of a record ring: creation and recovery.
#include "storage/log_structured_store.h"

#include <algorithm>
#include <cstdio>

namespace shedshed {
namespace {

constexpr std::uint32_t kMinimumFiles = 3;  ///< Active, oldest and spare.
constexpr std::uint64_t kMinimumFileBytes = 2 * kFirstRecordOffset;
constexpr std::uint64_t kMaximumFileBytes = 1ULL << 30;  ///< Lengths are 32 bits wide.

Error corrupt(const std::string& detail) {
  return makeError(ErrorCode::StorageCorrupt, detail);
}

std::string randomStoreId(RandomEngine& random) {
  char text[kStoreIdBytes + 1];
  const unsigned long long high = random();
  const unsigned long long low = random();
  std::snprintf(text, sizeof text, "%016llx%016llx", high, low);
  return text;
}

constexpr const char* kFilePrefix = "ring-";

std::string fileName(std::uint32_t slot) {
  char text[32];
  std::snprintf(text, sizeof text, "%s%04u", kFilePrefix, slot);
  return text;
}

}  // namespace

Result<std::unique_ptr<RecordRing>> RecordRing::open(FileSystem& files, std::string folder,
                                                     RingKnobs knobs, RandomEngine& random) {
  const bool sizes = knobs.fileBytes >= kMinimumFileBytes && knobs.fileBytes <= kMaximumFileBytes &&
                     knobs.fileBytes % kRecordAlignment == 0;
  if (knobs.fileCount < kMinimumFiles || !sizes || knobs.livePercent > 100) {
    return makeError(ErrorCode::InvalidArgument, "ring knobs out of range");
  }
  std::unique_ptr<RecordRing> ring(new RecordRing(std::move(folder), knobs));
  const Status opened = ring->openFiles(files);
  if (!opened) {
    return opened.error();
  }
  const Status recovered = ring->recover(random);
  if (!recovered) {
    return recovered.error();
  }
  return ring;
}

Result<RingKnobs> RecordRing::knobsFor(FileSystem& files, const std::string& folder,
                                       RingKnobs wanted) {
  const Status created = files.createFolder(folder);
  if (!created) {
    return created.error();
  }
  const Result<std::vector<std::string>> names = files.list(folder);
  if (!names) {
    return names.error();
  }
  for (const std::string& name : names.value()) {
    if (name.rfind(kFilePrefix, 0) != 0) {
      continue;
    }
    auto file = files.openPreallocated(folder + "/" + name, kFileHeaderBytes);
    if (!file) {
      return file.error();
    }
    const Result<std::string> bytes = file.value()->readAt(0, kFileHeaderBytes);
    const auto header = bytes ? decodeFileHeader(bytes.value()) : std::nullopt;
    if (header) {
      wanted.fileBytes = header->fileBytes;
      wanted.fileCount = header->fileCount;
      return wanted;
    }
  }
  return wanted;
}

Status RecordRing::openFiles(FileSystem& files) {
  const Status created = files.createFolder(folder_);
  if (!created) {
    return created;
  }
  Result<std::unique_ptr<FileLock>> lock = files.lock(folder_ + "/lock");
  if (!lock) {
    return lock.error();
  }
  lock_ = std::move(lock).value();
  for (std::uint32_t slot = 0; slot < knobs_.fileCount; ++slot) {
    // The rest of a file is allocated when it is used first.
    auto opened = files.openPreallocated(folder_ + "/" + fileName(slot), kFirstRecordOffset);
    if (!opened) {
      return opened.error();
    }
    files_.push_back(std::move(opened).value());
    allocated_.push_back(false);
  }
  // Before any record: a file whose name is lost takes its records with it.
  return files.syncFolder(folder_);
}

Status RecordRing::recover(RandomEngine& random) {
  auto headers = readHeaders();
  if (!headers) {
    return headers.error();
  }
  const Status matching = checkKnobs(headers.value());
  if (!matching) {
    return matching;
  }
  for (const std::optional<FileHeader>& header : headers.value()) {
    if (header && header->fileSequence > fileSequence_) {
      fileSequence_ = header->fileSequence;
      storeId_ = header->storeId;
    }
  }
  if (fileSequence_ == 0) {
    const Status created = create(random);
    if (!created) {
      return created;
    }
  }
  if (fileSequence_ == 1) {
    const Status finished = finishCreation(headers.value());
    if (!finished) {
      return finished;
    }
    headers = readHeaders();
    if (!headers) {
      return headers.error();
    }
  }
  const Status checked = checkHeaders(headers.value());
  if (!checked) {
    return checked;
  }
  const Status replayed = replayFiles(headers.value());
  if (!replayed) {
    return replayed;
  }
  turns_ = fileSequence_;
  // Recovered records may still be unsynced if only the process ended: readers take them for
  // durable, so they must be.
  const Status synced = syncActive();
  if (!synced || offset_ != kFirstRecordOffset) {
    return synced;
  }
  return forwardOldest();
}

/// Gives the first file its header, and with it the store its id. Refused if anything shows that
/// there was a store here before: an empty store in its place would forget what it acknowledged.
Status RecordRing::create(RandomEngine& random) {
  for (const std::unique_ptr<File>& file : files_) {
    const Result<std::string> bytes = file->readAt(0, kFileHeaderBytes);
    if (!bytes) {
      return bytes.error();
    }
    // A disk writes the header's sector whole, so an interrupted creation leaves zeros.
    if (bytes.value().find_first_not_of('\0') != std::string::npos) {
      return corrupt("the file in use lost its header in " + folder_);
    }
  }
  const Status checked = checkDiskHasRoom();
  if (!checked) {
    return checked;
  }
  storeId_ = randomStoreId(random);
  fileSequence_ = 1;
  return writeFileHeader(1, 1, nextSequence_);
}

/// A disk that is too small is refused now, not when the ring has grown.
Status RecordRing::checkDiskHasRoom() {
  for (std::uint64_t slot = 0; slot < files_.size(); ++slot) {
    const Status allocated = allocateFile(slot);
    if (!allocated) {
      return allocated;
    }
  }
  for (std::uint64_t slot = 0; slot < files_.size(); ++slot) {
    if (slot == 1) {
      continue;  // The one that is used first.
    }
    allocated_[slot] = false;
    const Status cut = files_[slot]->truncate(kFirstRecordOffset);
    if (!cut) {
      return cut;
    }
  }
  return okStatus();
}

/// Gives the other files headers that say "not used yet", unless the store already holds records:
/// all headers were there before the first record, so that a lost file is told from an unused one.
Status RecordRing::finishCreation(const std::vector<std::optional<FileHeader>>& headers) {
  const Result<std::string> content = file(1).readAt(0, knobs_.fileBytes);
  if (!content) {
    return content.error();
  }
  if (holdsRecord(content.value(), 1)) {
    return okStatus();
  }
  for (std::uint32_t slot = 0; slot < knobs_.fileCount; ++slot) {
    if (slot == 1 || headers[slot]) {
      continue;
    }
    const Status header = writeFileHeader(slot, 0, 0);
    if (!header) {
      return header;
    }
  }
  return okStatus();
}

Result<std::vector<std::optional<FileHeader>>> RecordRing::readHeaders() const {
  std::vector<std::optional<FileHeader>> headers;
  for (const std::unique_ptr<File>& file : files_) {
    const Result<std::string> bytes = file->readAt(0, kFileHeaderBytes);
    if (!bytes) {
      return bytes.error();
    }
    headers.push_back(decodeFileHeader(bytes.value()));
  }
  return headers;
}

Status RecordRing::checkKnobs(const std::vector<std::optional<FileHeader>>& headers) const {
  for (const std::optional<FileHeader>& header : headers) {
    if (!header) {
      continue;
    }
    if (header->fileBytes != knobs_.fileBytes || header->fileCount != knobs_.fileCount) {
      return makeError(ErrorCode::InvalidArgument, "the ring was created with other knobs");
    }
  }
  return okStatus();
}

/// Checks that every file is there in its latest use. The newest file tells which use that is, as
/// the files are used in turn; a disk writes a header's sector whole, so a crash leaves the earlier
/// or the later header.
Status RecordRing::checkHeaders(const std::vector<std::optional<FileHeader>>& headers) const {
  const std::uint64_t count = knobs_.fileCount;
  for (std::uint64_t slot = 0; slot < count; ++slot) {
    // The latest use of this slot up to the newest file; 0 if it was not used yet.
    const std::uint64_t age = (fileSequence_ + count - slot) % count;
    const std::uint64_t expected = fileSequence_ > age ? fileSequence_ - age : 0;
    const std::optional<FileHeader>& header = headers[slot];
    if (!header || header->fileSequence != expected || header->storeId != storeId_) {
      return corrupt("the header of " + fileName(slot) + " is lost or damaged");
    }
  }
  return okStatus();
}

Status RecordRing::replayFiles(const std::vector<std::optional<FileHeader>>& headers) {
  const std::uint64_t newest = fileSequence_;
  // The oldest file is still needed if its live records had not arrived in the newest.
  const Result<bool> forwarded = startsWithForward(newest);
  if (!forwarded) {
    return forwarded.error();
  }
  const std::uint64_t kept = knobs_.fileCount - (forwarded.value() ? 1 : 0);
  const std::uint64_t first = newest > kept ? newest - kept + 1 : 1;
  nextSequence_ = headers[first % knobs_.fileCount]->firstSequence;
  for (std::uint64_t sequence = first; sequence <= newest; ++sequence) {
    const FileHeader& header = *headers[sequence % knobs_.fileCount];
    if (header.fileSequence != sequence || header.firstSequence != nextSequence_) {
      return corrupt("records are missing before " + fileName(sequence % knobs_.fileCount));
    }
    const Result<std::string> content = file(sequence).readAt(0, knobs_.fileBytes);
    if (!content) {
      return content.error();
    }
    std::uint64_t end = 0;
    const Status replayed = replayFile(header, content.value(), end);
    if (!replayed) {
      return replayed;
    }
    if (sequence == newest) {
      offset_ = end;
      return cutTail(content.value(), end);
    }
  }
  return okStatus();
}

Status RecordRing::replayFile(const FileHeader& header, std::string_view content,
                              std::uint64_t& end) {
  end = kFirstRecordOffset;
  while (true) {
    const auto record = decodeRecord(content, end, header.fileSequence);
    if (!record || record->sequence != nextSequence_) {
      return okStatus();
    }
    const std::uint64_t payloadOffset = end + kRecordHeaderBytes;
    const std::string_view payload = content.substr(payloadOffset, record->payloadBytes);
    if (!decodePayload(payload)) {
      return corrupt("a record is malformed");
    }
    apply(payload, header.fileSequence, payloadOffset);
    end += recordBytes(record->payloadBytes);
    ++nextSequence_;
  }
}

/// Looks for whole records after the first unreadable one. One that was written after the
/// unreadable one had been synced proves damage. The others were unsynced at a power loss. All that
/// follows is overwritten with zeros, also what is unreadable: a later, torn write could supply the
/// very sectors that a cut record lacks, and bring it back.
Status RecordRing::cutTail(std::string_view content, std::uint64_t end) {
  for (std::uint64_t at = end; at < content.size(); at += kRecordAlignment) {
    const auto record = decodeRecord(content, at, fileSequence_);
    if (record && record->syncedSequence >= nextSequence_) {
      return corrupt("record " + std::to_string(nextSequence_) + " is damaged");
    }
  }
  if (content.find_first_not_of('\0', end) == std::string_view::npos) {
    return okStatus();
  }
  return file(fileSequence_).writeAt(end, std::string(content.size() - end, '\0'));
}

bool RecordRing::holdsRecord(std::string_view content, std::uint64_t fileSequence) const {
  for (std::uint64_t at = kFirstRecordOffset; at < content.size(); at += kRecordAlignment) {
    if (decodeRecord(content, at, fileSequence)) {
      return true;
    }
  }
  return false;
}

Result<bool> RecordRing::startsWithForward(std::uint64_t fileSequence) const {
  const Result<std::string> content = file(fileSequence).readAt(0, knobs_.fileBytes);
  if (!content) {
    return content.error();
  }
  const auto record = decodeRecord(content.value(), kFirstRecordOffset, fileSequence);
  return record && record->kind == RecordKind::Forward;
}

}  // namespace shedshed
