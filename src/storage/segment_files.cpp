#include "storage/segment_files.h"

#include <cstdio>
#include <utility>

namespace shedshed {

namespace {

constexpr const char* kFilePrefix = "ring-";

}  // namespace

std::string SegmentFiles::fileName(std::uint64_t slot) {
  char text[32];
  std::snprintf(text, sizeof text, "%s%04u", kFilePrefix, static_cast<unsigned>(slot));
  return text;
}

Result<std::unique_ptr<SegmentFiles>> SegmentFiles::open(FileSystem& fileSystem, std::string folder,
                                                         const LogStoreOptions& options) {
  std::unique_ptr<SegmentFiles> files(new SegmentFiles(std::move(folder), options));
  const Status opened = files->openAll(fileSystem);
  if (!opened) {
    return opened.error();
  }
  return files;
}

Status SegmentFiles::openAll(FileSystem& fileSystem) {
  const Status created = fileSystem.createFolder(folder_);
  if (!created) {
    return created;
  }
  Result<std::unique_ptr<FileLock>> lock = fileSystem.lock(folder_ + "/lock");
  if (!lock) {
    return lock.error();
  }
  lock_ = std::move(lock).value();
  for (std::uint32_t slot = 0; slot < options_.segmentCount; ++slot) {
    // The rest of a file is allocated before its first use.
    auto opened = fileSystem.openPreallocated(folder_ + "/" + fileName(slot), kFirstRecordOffset);
    if (!opened) {
      return opened.error();
    }
    files_.push_back(std::move(opened).value());
    allocated_.push_back(false);
  }
  // Done before any record is written: a file that loses its directory entry loses its records.
  return fileSystem.syncFolder(folder_);
}

Result<std::optional<SegmentHeader>> SegmentFiles::findHeader(FileSystem& fileSystem,
                                                              const std::string& folder) {
  const Status created = fileSystem.createFolder(folder);
  if (!created) {
    return created.error();
  }
  const Result<std::vector<std::string>> names = fileSystem.list(folder);
  if (!names) {
    return names.error();
  }
  for (const std::string& name : names.value()) {
    if (name.rfind(kFilePrefix, 0) != 0) {
      continue;
    }
    auto file = fileSystem.openPreallocated(folder + "/" + name, kSegmentHeaderBytes);
    if (!file) {
      return file.error();
    }
    const Result<std::string> bytes = file.value()->readAt(0, kSegmentHeaderBytes);
    std::optional<SegmentHeader> header = bytes ? decodeSegmentHeader(bytes.value()) : std::nullopt;
    if (header) {
      return header;
    }
  }
  return std::optional<SegmentHeader>();
}

Result<std::string> SegmentFiles::readSegment(std::uint64_t segmentSequence) const {
  return segment(segmentSequence).readAt(0, options_.segmentBytes);
}

Result<std::vector<std::optional<SegmentHeader>>> SegmentFiles::readHeaders() const {
  std::vector<std::optional<SegmentHeader>> headers;
  for (const std::unique_ptr<File>& file : files_) {
    const Result<std::string> bytes = file->readAt(0, kSegmentHeaderBytes);
    if (!bytes) {
      return bytes.error();
    }
    headers.push_back(decodeSegmentHeader(bytes.value()));
  }
  return headers;
}

Result<bool> SegmentFiles::headersAreBlank() const {
  for (const std::unique_ptr<File>& file : files_) {
    const Result<std::string> bytes = file->readAt(0, kSegmentHeaderBytes);
    if (!bytes) {
      return bytes.error();
    }
    if (bytes.value().find_first_not_of('\0') != std::string::npos) {
      return false;
    }
  }
  return true;
}

Status SegmentFiles::writeHeader(std::uint64_t slot, const std::string& storeId,
                                 std::uint64_t segmentSequence, std::uint64_t firstSequence) {
  SegmentHeader header;
  header.storeId = storeId;
  header.segmentSequence = segmentSequence;
  header.firstSequence = firstSequence;
  header.segmentBytes = options_.segmentBytes;
  header.segmentCount = options_.segmentCount;
  const Status written = files_[slot]->writeAt(0, encodeSegmentHeader(header));
  if (!written) {
    return written;
  }
  // Synced before the first record, so that records never follow a stale header.
  return files_[slot]->sync();
}

Status SegmentFiles::allocate(std::uint64_t slot) {
  if (allocated_[slot]) {
    return okStatus();
  }
  const Status allocated = files_[slot]->allocate(options_.segmentBytes);
  allocated_[slot] = static_cast<bool>(allocated);
  return allocated;
}

Status SegmentFiles::release(std::uint64_t slot) {
  allocated_[slot] = false;
  return files_[slot]->truncate(kFirstRecordOffset);
}

}  // namespace shedshed
