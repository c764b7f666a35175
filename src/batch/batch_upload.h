/// @file
/// A submission that has not been committed yet.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_records.h"
#include "kernel/time.h"

#include <optional>
#include <utility>
#include <vector>

namespace shedshed {

/// The last chunk of a submission, held while its tokens are being reserved.
struct PendingCommit {
  NodeId from;
  SubmitChunk chunk;
  /// Duplicates of the chunk, without their items. All receive the same reply.
  std::vector<std::pair<NodeId, SubmitChunk>> duplicates;
};

/// Accumulates the commit record of a submission from its chunks, whose bodies are in the store.
/// Core thread only.
class BatchUpload {
 public:
  /// Takes the metadata from the first chunk; the chunk itself must still be added with `append`.
  BatchUpload(const SubmitChunk& first, Time now);

  const BatchMeta& meta() const { return meta_; }
  /// Number of chunks appended so far, which is the index of the next chunk.
  std::uint64_t chunks() const { return meta_.chunkPositions.size(); }

  /// Adds the items of the next chunk.
  void append(const SubmitChunk& chunk, Time now);

  /// True if the appended items match the item count, names and digest of the submission to which
  /// @p last belongs.
  bool isComplete(const SubmitChunk& last) const;

  /// Returns the tokens of the whole submission, including those of @p last, which has not been
  /// appended yet.
  std::uint64_t tokensWith(const SubmitChunk& last) const;

  std::uint64_t durableChunks = 0;  ///< Chunks with a lower index are on a majority.
  std::optional<PendingCommit> pendingCommit;
  Time lastProgress{};

 private:
  BatchMeta meta_;
  std::string hashes_;           ///< Concatenated item hashes.
  std::uint64_t itemCount_ = 0;  ///< Items appended so far.
};

/// Returns the total size of the bodies in bytes.
std::uint64_t bytesOf(const std::vector<std::string>& items);

/// True if @p chunk belongs to the submission whose commit record is @p meta.
bool hasSameContent(const BatchMeta& meta, const SubmitChunk& chunk);

}  // namespace shedshed
