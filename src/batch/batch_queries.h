/// @file
/// Reads and cancels of batches.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_reader.h"
#include "batch/batch_responder.h"
#include "batch/batch_safeguards.h"
#include "batch/item_writer.h"

#include <functional>
#include <vector>

namespace shedshed {

/// Answers reads and cancels of clients and operators.
///
/// A durable result never changes and is answered from memory; everything else only after a proof
/// of the ownership. A cancel is durable before it is acknowledged; from its arrival on nothing
/// starts. Core thread only.
class BatchQueries {
 public:
  /// Keeps references; they must outlive it.
  BatchQueries(PartitionStore& store, const BatchSafeguards& safeguards, BatchTable& table,
               RetryingWriter& writer, ItemWriter& items, BatchResponder& responder,
               BatchReader reader)
      : store_(store), safeguards_(safeguards), table_(table), writer_(writer), items_(items),
        responder_(responder), reader_(reader) {}

  void onQuery(const NodeId& from, BatchQuery query);

  /// Returns the committed batches of all tenants in the owned partitions.
  std::vector<BatchStatus> list() const;
  /// Proves the ownership and gives the status of any tenant's batch. Fails with `NotFound`,
  /// `NotOwner` or `NotReady`.
  void statusForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);
  /// Cancels any tenant's batch; idempotent. @p done is not called if the ownership is lost
  /// meanwhile: the outcome is then unknown.
  void cancelForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);

 private:
  void answerQuery(const NodeId& from, const BatchQuery& query);
  /// Returns the committed batch of the query's tenant, or null with the error in @p reply.
  BatchState* visibleBatch(const BatchQuery& query, BatchReply& reply);
  void answerItemBody(const BatchState& batch, const BatchQuery& query, BatchReply& answer) const;
  void cancelBatch(const std::string& batchId, std::function<void()> done);
  Result<BatchStatus> committedStatus(const std::string& batchId);

  PartitionStore& store_;
  const BatchSafeguards& safeguards_;
  BatchTable& table_;
  RetryingWriter& writer_;
  ItemWriter& items_;
  BatchResponder& responder_;
  BatchReader reader_;
};

}  // namespace shedshed
