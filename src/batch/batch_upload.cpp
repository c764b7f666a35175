#include "batch/batch_upload.h"

#include <numeric>

namespace shedshed {
namespace {

std::uint64_t sumOf(const std::vector<std::uint64_t>& counts) {
  return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

}  // namespace

std::uint64_t bytesOf(const std::vector<std::string>& items) {
  std::uint64_t bytes = 0;
  for (const std::string& item : items) {
    bytes += item.size();
  }
  return bytes;
}

bool hasSameContent(const BatchMeta& meta, const SubmitChunk& chunk) {
  return meta.tenant == chunk.tenant && meta.idempotent == chunk.idempotent &&
         meta.itemCount == chunk.itemCount && meta.digest == chunk.digest;
}

BatchUpload::BatchUpload(const SubmitChunk& first, Time now) : lastProgress(now) {
  meta_.tenant = first.tenant;
  meta_.idempotent = first.idempotent;
  meta_.itemCount = first.itemCount;
  meta_.digest = first.digest;
  meta_.route = first.route;
}

void BatchUpload::append(const SubmitChunk& chunk, Time now) {
  appendItemHashes(hashes_, chunk.items);
  meta_.names.insert(meta_.names.end(), chunk.names.begin(), chunk.names.end());
  meta_.tokens.insert(meta_.tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
  meta_.chunkPositions.push_back(itemCount_);
  meta_.bodyBytes += bytesOf(chunk.items);
  itemCount_ += chunk.items.size();
  lastProgress = now;
}

bool BatchUpload::isComplete(const SubmitChunk& last) const {
  const bool namesComplete =
      meta_.names.empty() || (meta_.names.size() == itemCount_ && itemCount_ <= kMaxNamedItems);
  return itemCount_ == last.itemCount && itemCount_ != 0 && namesComplete &&
         itemsDigest(hashes_) == last.digest;
}

std::uint64_t BatchUpload::tokensWith(const SubmitChunk& last) const {
  return sumOf(meta_.tokens) + sumOf(last.tokens);
}

}  // namespace shedshed
