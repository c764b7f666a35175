#include "batch/item_lifecycle.h"

#include <algorithm>

namespace shedshed {
namespace {

bool isSameAttempt(const StartedItem& item, const RunId& run, std::uint64_t attempt) {
  return item.runEpoch == run.runEpoch && item.incarnation == run.incarnation &&
         item.attempt == attempt;
}

ItemRecord recordOf(FinishItem finish) {
  ItemRecord record;
  record.state = static_cast<ItemState>(finish.state);
  record.runEpoch = finish.run.runEpoch;
  record.incarnation = finish.run.incarnation;
  record.attempt = finish.attempt;
  record.body = std::move(finish.body);
  record.errorType = std::move(finish.errorType);
  return record;
}

}  // namespace

void ItemLifecycle::afterOwnershipConfirmed(const std::string& batchId,
                                            std::function<void()> action) {
  store_.confirmOwnership(partitionOfBatch(batchId),
                          [action = std::move(action)](const Status& status) {
                            if (status) {
                              action();
                            }
                          });
}

void ItemLifecycle::sendStartReply(const NodeId& to, const StartItem& start, StartOutcome outcome) {
  StartReply reply;
  reply.batchId = start.run.batchId;
  reply.runEpoch = start.run.runEpoch;
  reply.position = start.position;
  reply.attempt = start.attempt;
  reply.outcome = static_cast<std::uint8_t>(outcome);
  context_.send(to, reply);
}

void ItemLifecycle::sendFinishReply(const NodeId& to, const RunId& run, std::uint64_t position,
                                    std::uint64_t attempt) {
  context_.send(to, FinishReply{run.batchId, run.runEpoch, position, attempt});
}

bool ItemLifecycle::isStopped(const BatchState& batch) const {
  return batch.cancelRequested && safeguards_.cancelStopsStarts;
}

bool ItemLifecycle::mayStart(const BatchState& batch, const StartItem& start) const {
  const auto reverted = batch.revertedAttempts.find(start.position);
  const bool isReverted =
      reverted != batch.revertedAttempts.end() && start.attempt <= reverted->second;
  const ItemState state = batch.state(start.position);
  const bool startable = state == ItemState::Pending ||
                         (state == ItemState::Cancelled && !safeguards_.cancelStopsStarts);
  return !isStopped(batch) && !isReverted && startable;
}

void ItemLifecycle::onStart(const NodeId& from, const StartItem& start) {
  BatchState* batch = table_.find(start.run.batchId);
  if (batch == nullptr || !batch->committed || start.position >= batch->meta().itemCount) {
    return;
  }
  if (batch->finished()) {
    sendStartReply(from, start, StartOutcome::Rejected);
    return;
  }
  if (items_.deferWhileWriting(*batch, start.position,
                               [this, from, start] { onStart(from, start); })) {
    return;
  }
  const bool current = runs_.isCurrent(*batch, from, start.run);
  const auto started = batch->started().find(start.position);
  if (started != batch->started().end() &&
      isSameAttempt(started->second, start.run, start.attempt)) {
    // The first acknowledgement may have been lost. Resending it is safe while the run is current.
    // After a cancellation the runner reverts the attempt or reports its result.
    if (current && !isStopped(*batch)) {
      sendStartReply(from, start, StartOutcome::Accepted);
    }
    return;
  }
  if (!current || !mayStart(*batch, start)) {
    context_.counters().add("batch_starts_refused_total");
    afterOwnershipConfirmed(start.run.batchId, [this, from, start] {
      sendStartReply(from, start, StartOutcome::Rejected);
    });
    return;
  }
  writeStart(from, start, *batch);
}

void ItemLifecycle::writeStart(const NodeId& from, const StartItem& start, BatchState& batch) {
  ItemRecord record;
  record.runEpoch = start.run.runEpoch;
  record.incarnation = start.run.incarnation;
  record.attempt = start.attempt;
  record.mayHaveRun = batch.mayHaveRun(start.position);
  if (!safeguards_.startedBeforeRun) {
    sendStartReply(from, start, StartOutcome::Accepted);
  }
  items_.writeItem(batch, start.position, std::move(record),
                   [this, from, start] { startWritten(from, start); });
}

void ItemLifecycle::startWritten(const NodeId& from, const StartItem& start) {
  BatchState* batch = table_.find(start.run.batchId);
  if (!safeguards_.startedBeforeRun) {
    return;
  }
  if (runs_.isCurrent(*batch, from, start.run) && !isStopped(*batch)) {
    sendStartReply(from, start, StartOutcome::Accepted);
    return;
  }
  // The start was never acknowledged, so the item has not run. Reverting it is safe even if the
  // items are not idempotent.
  items_.revertAttempt(*batch, start.position, start.attempt, false, [this, from, start] {
    sendStartReply(from, start, StartOutcome::Rejected);
  });
}

void ItemLifecycle::onRevertStart(const NodeId& from, const RevertStart& revert) {
  BatchState* batch = table_.find(revert.run.batchId);
  if (batch == nullptr || !batch->committed || revert.position >= batch->meta().itemCount) {
    return;
  }
  const auto acknowledge = [this, from, revert] {
    sendFinishReply(from, revert.run, revert.position, revert.attempt);
  };
  if (batch->finished()) {
    acknowledge();
    return;
  }
  if (items_.deferWhileWriting(*batch, revert.position,
                               [this, from, revert] { onRevertStart(from, revert); })) {
    return;
  }
  const auto started = batch->started().find(revert.position);
  if (started != batch->started().end() &&
      isSameAttempt(started->second, revert.run, revert.attempt)) {
    items_.revertAttempt(*batch, revert.position, revert.attempt, revert.mayHaveRun, acknowledge);
    return;
  }
  if (runs_.isCurrent(*batch, from, revert.run)) {
    std::uint64_t& highest = batch->revertedAttempts[revert.position];
    highest = std::max(highest, revert.attempt);
  }
  afterOwnershipConfirmed(revert.run.batchId, acknowledge);
}

void ItemLifecycle::acknowledgeErased(const NodeId& from, const FinishItem& finish) {
  if (table_.owned(finish.run.batchId) == nullptr) {
    return;
  }
  afterOwnershipConfirmed(finish.run.batchId, [this, from, finish] {
    if (table_.find(finish.run.batchId) == nullptr) {
      sendFinishReply(from, finish.run, finish.position, finish.attempt);
    }
  });
}

void ItemLifecycle::onFinish(const NodeId& from, FinishItem finish) {
  BatchState* batch = table_.find(finish.run.batchId);
  if (batch == nullptr) {
    acknowledgeErased(from, finish);
    return;
  }
  const auto state = static_cast<ItemState>(finish.state);
  const bool valid =
      state == ItemState::Done || state == ItemState::Failed || state == ItemState::Unknown;
  if (!batch->committed || finish.position >= batch->meta().itemCount || !valid) {
    return;
  }
  const auto acknowledge = [this, from, run = finish.run, position = finish.position,
                            attempt = finish.attempt] {
    sendFinishReply(from, run, position, attempt);
  };
  if (batch->finished()) {
    acknowledge();
    return;
  }
  if (batch->writesInFlight.count(finish.position) != 0) {
    items_.deferWhileWriting(*batch, finish.position,
                             [this, from, finish] { onFinish(from, finish); });
    return;
  }
  const auto started = batch->started().find(finish.position);
  const bool isStartedAttempt = started != batch->started().end() &&
                                isSameAttempt(started->second, finish.run, finish.attempt);
  if (!isStartedAttempt && safeguards_.firstResultWins) {
    context_.counters().add("batch_results_ignored_total");
    afterOwnershipConfirmed(batch->id(), acknowledge);
    return;
  }
  const std::uint64_t position = finish.position;
  items_.writeItem(*batch, position, recordOf(std::move(finish)), acknowledge);
}

}  // namespace shedshed
