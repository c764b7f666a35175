#include "storage/store_creation.h"

#include <cstdio>

namespace shedshed {

namespace {

/// The segment that is used first, and the slot of its file.
constexpr std::uint64_t kFirstSegment = 1;

std::string randomStoreId(RandomEngine& random) {
  char text[kStoreIdBytes + 1];
  const unsigned long long high = random();
  const unsigned long long low = random();
  std::snprintf(text, sizeof text, "%016llx%016llx", high, low);
  return text;
}

}  // namespace

Result<std::string> StoreCreation::begin(RandomEngine& random) {
  const Result<bool> blank = files_.headersAreBlank();
  if (!blank) {
    return blank.error();
  }
  // A disk writes the header's sector atomically, so an interrupted creation leaves zeros.
  if (!blank.value()) {
    return makeError(ErrorCode::StorageCorrupt,
                     "no valid header of the active segment in " + files_.folder());
  }
  const Status checked = checkDiskHasRoom();
  if (!checked) {
    return checked.error();
  }
  std::string storeId = randomStoreId(random);
  const Status written = files_.writeHeader(kFirstSegment, storeId, kFirstSegment, 1);
  if (!written) {
    return written.error();
  }
  return storeId;
}

/// Rejects a disk that is too small at creation, instead of failing when the store has grown.
Status StoreCreation::checkDiskHasRoom() {
  for (std::uint64_t slot = 0; slot < files_.options().segmentCount; ++slot) {
    const Status allocated = files_.allocate(slot);
    if (!allocated) {
      return allocated;
    }
  }
  for (std::uint64_t slot = 0; slot < files_.options().segmentCount; ++slot) {
    if (slot == kFirstSegment) {
      continue;
    }
    const Status released = files_.release(slot);
    if (!released) {
      return released;
    }
  }
  return okStatus();
}

Status StoreCreation::finish(const std::string& storeId,
                             const std::vector<std::optional<SegmentHeader>>& headers) {
  const Result<bool> used = holdsRecord();
  if (!used) {
    return used.error();
  }
  if (used.value()) {
    return okStatus();
  }
  for (std::uint64_t slot = 0; slot < files_.options().segmentCount; ++slot) {
    if (slot == kFirstSegment || headers[slot]) {
      continue;
    }
    const Status header = files_.writeHeader(slot, storeId, 0, 0);
    if (!header) {
      return header;
    }
  }
  return okStatus();
}

Result<bool> StoreCreation::holdsRecord() const {
  const Result<std::string> content = files_.readSegment(kFirstSegment);
  if (!content) {
    return content.error();
  }
  for (std::uint64_t at = kFirstRecordOffset; at < content.value().size(); at += kRecordAlignment) {
    if (decodeRecord(content.value(), at, kFirstSegment)) {
      return true;
    }
  }
  return false;
}

}  // namespace shedshed
