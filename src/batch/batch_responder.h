/// @file
/// Replies of the batch owner to batch clients.
#pragma once

#include "batch/batch_messages.h"
#include "kernel/core.h"
#include "partition/partition_store.h"

#include <string>

namespace shedshed {

/// Identifies a request and one of its transmissions.
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
  /// Holds references to the arguments, which must outlive this object.
  BatchResponder(CoreContext& context, const PartitionStore& store)
      : context_(context), store_(store) {}

  void reply(const NodeId& to, const BatchReply& reply);
  /// Rejects the request with @p code; @p detail is passed on to the caller.
  void reject(const NodeId& to, RequestId request, ErrorCode code, std::string detail = {});
  /// Replies `NotOwner` with the owner of @p batchId, if this node knows it.
  void redirect(const NodeId& to, RequestId request, const std::string& batchId);

 private:
  CoreContext& context_;
  const PartitionStore& store_;
};

}  // namespace shedshed
