#include "batch/batch_owner_core.h"

namespace shedshed {

BatchOwnerCore::BatchOwnerCore(CoreContext& context, PartitionStore& store,
                               ConfigurationSource& configuration, const Directory& directory,
                               BatchOwnerOptions options)
    : context_(context), store_(store), settings_(configuration), options_(options),
      table_(context, store), writer_(context, store), responder_(context, store),
      items_(context, store, table_, writer_, options_.maxErasedRowsPerWrite),
      runs_(context, store, settings_, directory, options_, table_, items_),
      lifecycle_(context, store, options_.safeguards, table_, items_, runs_),
      retention_(context, store, table_, writer_, options_.retention,
                 options_.maxErasedRowsPerWrite),
      reservations_(context, store, directory, configuration, settings_, table_),
      uploads_(context, store, settings_, options_, table_, retention_, reservations_, runs_,
               responder_),
      queries_(store, options_.safeguards, table_, writer_, items_, responder_,
               BatchReader(store, options_.maxPageItems, options_.maxPageBytes)) {
  reservations_.setListener(uploads_);
}

void BatchOwnerCore::start() {
  store_.setListener(TableKind::Batches, *this);
  context_.startTimer(kTickTimer, options_.tick);
  reservations_.report();
}

void BatchOwnerCore::receive(const NodeId& from, const Message& message) {
  receiveFromRunner(from, message) ||
      dispatchMessage<SubmitChunk>(
          message, [&](SubmitChunk chunk) { uploads_.onSubmit(from, std::move(chunk)); }) ||
      dispatchMessage<BatchQuery>(
          message, [&](BatchQuery query) { queries_.onQuery(from, std::move(query)); }) ||
      dispatchMessage<ReserveQueuedTokensReply>(
          message,
          [&](const ReserveQueuedTokensReply& reply) { reservations_.onReply(from, reply); }) ||
      dispatchMessage<QueuedTokensRequest>(message, [&](const QueuedTokensRequest& request) {
        reservations_.onRequest(from, request);
      });
}

bool BatchOwnerCore::receiveFromRunner(const NodeId& from, const Message& message) {
  return dispatchMessage<RunHeartbeat>(
             message, [&](const RunHeartbeat& heartbeat) { runs_.onHeartbeat(from, heartbeat); }) ||
         dispatchMessage<FetchItems>(
             message, [&](const FetchItems& fetch) { runs_.onFetch(from, fetch); }) ||
         dispatchMessage<ReturnRun>(
             message, [&](const ReturnRun& returned) { runs_.onReturnRun(from, returned); }) ||
         dispatchMessage<StartItem>(
             message, [&](const StartItem& start) { lifecycle_.onStart(from, start); }) ||
         dispatchMessage<RevertStart>(
             message, [&](const RevertStart& revert) { lifecycle_.onRevertStart(from, revert); }) ||
         dispatchMessage<FinishItem>(
             message, [&](FinishItem finish) { lifecycle_.onFinish(from, std::move(finish)); });
}

void BatchOwnerCore::timerExpired(TimerId timer) {
  switch (timer) {
  case kTickTimer:
    tick();
    context_.startTimer(kTickTimer, options_.tick);
    break;
  case QueuedTokenReservations::kRetryTimer:
    reservations_.retry();
    break;
  case QueuedTokenReservations::kReportTimer:
    reservations_.report();
    break;
  default:
    break;
  }
}

void BatchOwnerCore::ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                                     RecoveryKind) {
  writer_.begin(partition, epoch);
  uploads_.begin(partition);
  reservations_.beginOwnership(partition);
  retention_.load(partition);
  table_.load(partition, epoch);
}

void BatchOwnerCore::ownershipLost(const PartitionId& partition) {
  writer_.end(partition);
  uploads_.drop(partition);
  reservations_.endOwnership(partition);
  retention_.drop(partition);
  table_.drop(partition);
}

void BatchOwnerCore::tick() {
  std::vector<PartitionId> partitions;
  for (const auto& entry : table_.partitions()) {
    partitions.push_back(entry.first);
  }
  for (const PartitionId& partition : partitions) {
    const auto owned = table_.partitions().find(partition);
    if (owned == table_.partitions().end()) {
      continue;
    }
    writer_.retryFailed(partition);
    uploads_.expire(partition);
    retention_.expire(partition);
    for (auto& [batchId, batch] : owned->second.batches) {
      runs_.supervise(batch);
    }
  }
}

void BatchOwnerCore::statusForOperator(const std::string& batchId,
                                       std::function<void(Result<BatchStatus>)> done) {
  queries_.statusForOperator(batchId, std::move(done));
}

void BatchOwnerCore::cancelForOperator(const std::string& batchId,
                                       std::function<void(Result<BatchStatus>)> done) {
  queries_.cancelForOperator(batchId, std::move(done));
}

}  // namespace shedshed
