/// @file
/// One submission that is not committed yet.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_records.h"
#include "kernel/time.h"

#include <optional>
#include <utility>
#include <vector>

namespace shedshed {

/// The chunk that commits a submission, while its tokens are being reserved.
struct PendingCommit {
  NodeId from;
  SubmitChunk chunk;
  /// Duplicates of the chunk, without their items: all get the same answer.
  std::vector<std::pair<NodeId, SubmitChunk>> duplicates;
};

/// Collects the facts of a submission from its chunks; the bodies are in the store. Core thread
/// only.
class BatchUpload {
 public:
  /// Begins a submission with its first chunk, which `append` adds.
  BatchUpload(const SubmitChunk& first, Time now);

  const BatchMeta& meta() const { return meta_; }
  /// Chunks appended so far: the index of the next one.
  std::uint64_t chunks() const { return meta_.chunkPositions.size(); }

  /// Adds the items of the next chunk.
  void append(const SubmitChunk& chunk, Time now);

  /// True if the items add up to the submission that @p last names: their number, their names and
  /// their digest.
  bool isComplete(const SubmitChunk& last) const;

  /// Tokens of the whole submission, with those of its last chunk, which is not appended yet.
  std::uint64_t tokensWith(const SubmitChunk& last) const;

  std::uint64_t durableChunks = 0;  ///< Chunks below this are on a majority.
  std::optional<PendingCommit> pendingCommit;
  Time lastProgress{};

 private:
  BatchMeta meta_;
  std::string hashes_;           ///< Hash of each item so far.
  std::uint64_t itemCount_ = 0;  ///< Appended so far.
};

/// Returns the size of the bodies in bytes.
std::uint64_t bytesOf(const std::vector<std::string>& items);

/// True if the chunk belongs to the submission whose commit record is @p meta.
bool hasSameContent(const BatchMeta& meta, const SubmitChunk& chunk);

}  // namespace shedshed
