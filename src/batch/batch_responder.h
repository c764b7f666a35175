/// @file
/// Answers of the owner to the clients of batches.
#pragma once

#include "batch/batch_messages.h"
#include "kernel/core.h"
#include "partition/partition_store.h"

#include <string>

namespace shedshed {

/// The request that an answer belongs to, and which transmission of it.
struct RequestId {
  std::uint64_t number = 0;
  std::uint32_t transmission = 0;
};

inline RequestId requestIdOf(const SubmitChunk& chunk) {
  return {chunk.request, chunk.transmission};
}

/// Sends `BatchReply` messages. Core thread only.
class BatchResponder {
 public:
  /// Keeps references; they must outlive it.
  BatchResponder(CoreContext& context, const PartitionStore& store)
      : context_(context), store_(store) {}

  void reply(const NodeId& to, const BatchReply& reply);
  /// Rejects the request with @p code; @p detail is for the caller of the batch.
  void reject(const NodeId& to, RequestId request, ErrorCode code, std::string detail = {});
  /// Names the owner of @p batchId as far as this node knows it.
  void redirect(const NodeId& to, RequestId request, const std::string& batchId);

 private:
  CoreContext& context_;
  const PartitionStore& store_;
};

}  // namespace shedshed
