/// @file
/// Reads and cancellations of batches.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_reader.h"
#include "batch/batch_responder.h"
#include "batch/batch_safeguards.h"
#include "batch/item_writer.h"

#include <functional>
#include <vector>

namespace shedshed {

/// Serves reads and cancellations for clients and operators.
///
/// Durable results never change and are served from memory. Every other reply is sent only after
/// ownership has been confirmed. A cancellation is durable before it is acknowledged, and no item
/// starts after it has been received. Core thread only.
class BatchQueries {
 public:
  /// Holds references to the arguments, which must outlive this object.
  BatchQueries(PartitionStore& store, const BatchSafeguards& safeguards, BatchTable& table,
               RetryingWriter& writer, ItemWriter& items, BatchResponder& responder,
               BatchReader reader)
      : store_(store), safeguards_(safeguards), table_(table), writer_(writer), items_(items),
        responder_(responder), reader_(reader) {}

  void onQuery(const NodeId& from, BatchQuery query);

  /// Returns the committed batches of all tenants in the owned partitions.
  std::vector<BatchStatus> list() const;
  /// Confirms ownership and passes the status of any tenant's batch to @p done. Fails with
  /// `NotFound`, `NotOwner` or `NotReady`.
  void statusForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);
  /// Cancels any tenant's batch; idempotent. @p done is not called if ownership is lost in the
  /// meantime; the outcome is then unknown.
  void cancelForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);

 private:
  void answerQuery(const NodeId& from, const BatchQuery& query);
  /// Returns the committed batch of the query's tenant; or null, with the error set in @p reply.
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
