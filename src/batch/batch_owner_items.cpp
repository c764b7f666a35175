/// Items: started before they run, finished once.
#include "batch/batch_owner_core.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Events that wait for one write; more are dropped, their senders repeat them.
constexpr std::size_t kMaxWaiters = 8;

bool sameAttempt(const StartedItem& item, const RunName& run, std::uint64_t attempt) {
  return item.runEpoch == run.runEpoch && item.incarnation == run.incarnation &&
         item.attempt == attempt;
}

}  // namespace

bool BatchOwnerCore::waitsForWrite(BatchState& batch, std::uint64_t position,
                                   std::function<void()> event) {
  const auto found = batch.writing.find(position);
  if (found == batch.writing.end()) {
    return false;
  }
  if (found->second.size() < kMaxWaiters) {
    found->second.push_back(std::move(event));
  }
  return true;
}

void BatchOwnerCore::applyItem(BatchState& batch, std::uint64_t position,
                               const std::optional<ItemRecord>& record) {
  if (record && record->mayHaveRun) {
    batch.setMayHaveRun(position);
  }
  if (!record) {
    batch.setPending(position);
  } else if (record->state == ItemState::Started) {
    batch.setStarted(position, {record->runEpoch, record->incarnation, record->attempt});
  } else {
    batch.setFinal(position, record->state);
  }
  if (record && record->rank != 0) {
    batch.setRank(record->rank, position);
  }
}

void BatchOwnerCore::rankResult(BatchState& batch, std::optional<ItemRecord>& record) {
  if (record && isFinal(record->state) && batch.listsByCompletion()) {
    record->rank = batch.nextRank();
  }
}

void BatchOwnerCore::reassignRanks(BatchState& batch) {
  const PartitionId partition = partitionOf(TableKind::Batches, batch.id());
  std::vector<std::uint64_t> positions = std::move(batch.unranked);
  batch.unranked.clear();
  for (const std::uint64_t position : positions) {
    const auto row = store_.get(partition, itemKey(batch.id(), position));
    Result<ItemRecord> record = decodeRecord<ItemRecord>(row.value_or(std::string()));
    if (record && batch.writing.count(position) == 0) {
      writeItem(batch, position, std::move(record.value()), [] {});
    }
  }
}

std::vector<std::function<void()>> BatchOwnerCore::takeWaiters(BatchState& batch,
                                                               std::uint64_t position) {
  std::vector<std::function<void()>> waiters;
  const auto found = batch.writing.find(position);
  if (found != batch.writing.end()) {
    waiters = std::move(found->second);
    batch.writing.erase(found);
  }
  return waiters;
}

void BatchOwnerCore::writeItem(BatchState& batch, std::uint64_t position,
                               std::optional<ItemRecord> record, std::function<void()> done) {
  batch.writing[position];
  rankResult(batch, record);
  TableEntry entry{itemKey(batch.id(), position), std::nullopt};
  if (record) {
    entry.value = encodeRecord(*record);
    // The bodies are in the row now; the state needs only the head of the record.
    record->body.clear();
  }
  writeUntilDurable(
      batch.id(), {std::move(entry)},
      [this, batchId = batch.id(), position, record = std::move(record), done = std::move(done)] {
        BatchState* written = find(batchId);
        if (written == nullptr) {
          return;
        }
        applyItem(*written, position, record);
        written->advanceListed();
        // The write is over before anyone is told: `done` may begin the next one.
        std::vector<std::function<void()>> waiters = takeWaiters(*written, position);
        done();
        for (const auto& waiter : waiters) {
          waiter();
        }
        finishIfDone(*written);
      });
}

void BatchOwnerCore::sendStartReply(const NodeId& to, const StartItem& start, ItemVerdict verdict) {
  StartReply reply;
  reply.batchId = start.run.batchId;
  reply.runEpoch = start.run.runEpoch;
  reply.position = start.position;
  reply.attempt = start.attempt;
  reply.verdict = static_cast<std::uint8_t>(verdict);
  context_.send(to, reply);
}

void BatchOwnerCore::sendFinishReply(const NodeId& to, const RunName& run, std::uint64_t position,
                                     std::uint64_t attempt) {
  context_.send(to, FinishReply{run.batchId, run.runEpoch, position, attempt});
}

void BatchOwnerCore::onStart(const NodeId& from, const StartItem& start) {
  BatchState* batch = find(start.run.batchId);
  if (batch == nullptr || !batch->committed || start.position >= batch->meta().itemCount) {
    return;
  }
  if (batch->finished()) {
    sendStartReply(from, start, ItemVerdict::Refused);
    return;
  }
  if (waitsForWrite(*batch, start.position, [this, from, start] { onStart(from, start); })) {
    return;
  }
  const bool current = runIsCurrent(*batch, from, start.run);
  const auto started = batch->started().find(start.position);
  const bool known =
      started != batch->started().end() && sameAttempt(started->second, start.run, start.attempt);
  const bool stopped = batch->cancelRequested && options_.safeguards.cancelStopsStarts;
  if (known) {
    // A first acknowledgement may have been lost or not. Repeating it is safe while the run is
    // current; after a cancel the runner takes the attempt back or reports its result.
    if (current && !stopped) {
      sendStartReply(from, start, ItemVerdict::Accepted);
    }
    return;
  }
  const auto revertedAttempts = batch->revertedAttempts.find(start.position);
  const bool late = revertedAttempts != batch->revertedAttempts.end() &&
                    start.attempt <= revertedAttempts->second;
  const ItemState state = batch->state(start.position);
  const bool startable = state == ItemState::Pending ||
                         (state == ItemState::Cancelled && !options_.safeguards.cancelStopsStarts);
  if (!current || stopped || late || !startable) {
    context_.counters().add("batch_starts_refused_total");
    whenOwnershipIsProved(start.run.batchId, [this, from, start] {
      sendStartReply(from, start, ItemVerdict::Refused);
    });
    return;
  }
  ItemRecord record;
  record.runEpoch = start.run.runEpoch;
  record.incarnation = start.run.incarnation;
  record.attempt = start.attempt;
  record.mayHaveRun = batch->mayHaveRun(start.position);
  if (!options_.safeguards.startedBeforeRun) {
    sendStartReply(from, start, ItemVerdict::Accepted);
  }
  writeItem(*batch, start.position, std::move(record),
            [this, from, start] { startWritten(from, start); });
}

void BatchOwnerCore::startWritten(const NodeId& from, const StartItem& start) {
  BatchState* batch = find(start.run.batchId);
  if (!options_.safeguards.startedBeforeRun) {
    return;
  }
  const bool stopped = batch->cancelRequested && options_.safeguards.cancelStopsStarts;
  if (runIsCurrent(*batch, from, start.run) && !stopped) {
    sendStartReply(from, start, ItemVerdict::Accepted);
    return;
  }
  // Nobody was told that it started, so nobody runs it: it may go back whatever the batch allows.
  revertAttempt(*batch, start.position, start.attempt, false,
                [this, from, start] { sendStartReply(from, start, ItemVerdict::Refused); });
}

void BatchOwnerCore::revertAttempt(BatchState& batch, std::uint64_t position, std::uint64_t attempt,
                                   bool mayHaveRun, std::function<void()> done) {
  std::uint64_t& highest = batch.revertedAttempts[position];
  highest = std::max(highest, attempt);
  writeItem(batch, position, pendingRecord(mayHaveRun || batch.mayHaveRun(position)),
            std::move(done));
}

std::optional<ItemRecord> BatchOwnerCore::pendingRecord(bool mayHaveRun) {
  if (!mayHaveRun) {
    return std::nullopt;
  }
  ItemRecord record;
  record.state = ItemState::Pending;
  record.mayHaveRun = true;
  return record;
}

void BatchOwnerCore::onRevertStart(const NodeId& from, const RevertStart& revert) {
  BatchState* batch = find(revert.run.batchId);
  if (batch == nullptr || !batch->committed || revert.position >= batch->meta().itemCount) {
    return;
  }
  const auto answer = [this, from, revert] {
    sendFinishReply(from, revert.run, revert.position, revert.attempt);
  };
  if (batch->finished()) {
    answer();
    return;
  }
  if (waitsForWrite(*batch, revert.position,
                    [this, from, revert] { onRevertStart(from, revert); })) {
    return;
  }
  const auto started = batch->started().find(revert.position);
  if (started != batch->started().end() &&
      sameAttempt(started->second, revert.run, revert.attempt)) {
    revertAttempt(*batch, revert.position, revert.attempt, revert.mayHaveRun, answer);
    return;
  }
  if (runIsCurrent(*batch, from, revert.run)) {
    std::uint64_t& highest = batch->revertedAttempts[revert.position];
    highest = std::max(highest, revert.attempt);
  }
  whenOwnershipIsProved(revert.run.batchId, answer);
}

void BatchOwnerCore::onFinish(const NodeId& from, FinishItem finish) {
  BatchState* batch = find(finish.run.batchId);
  if (batch == nullptr) {
    if (ownedOf(finish.run.batchId) == nullptr) {
      return;
    }
    // The batch has left after its retention, if this node is the owner still.
    store_.confirmOwnership(partitionOf(TableKind::Batches, finish.run.batchId),
                            [this, from, finish](const Status& status) {
                              if (status && find(finish.run.batchId) == nullptr) {
                                sendFinishReply(from, finish.run, finish.position, finish.attempt);
                              }
                            });
    return;
  }
  const auto state = static_cast<ItemState>(finish.state);
  const bool valid =
      state == ItemState::Done || state == ItemState::Failed || state == ItemState::Unknown;
  if (!batch->committed || finish.position >= batch->meta().itemCount || !valid) {
    return;
  }
  const auto answer = [this, from, run = finish.run, position = finish.position,
                       attempt = finish.attempt] { sendFinishReply(from, run, position, attempt); };
  if (batch->finished()) {
    answer();
    return;
  }
  if (batch->writing.count(finish.position) != 0) {
    waitsForWrite(*batch, finish.position, [this, from, finish] { onFinish(from, finish); });
    return;
  }
  // An item that is still `Started` by this very attempt takes its result also from a run that was
  // fenced meanwhile: nothing else can be true of it.
  const auto started = batch->started().find(finish.position);
  const bool open =
      started != batch->started().end() && sameAttempt(started->second, finish.run, finish.attempt);
  if (!open && options_.safeguards.firstResultWins) {
    context_.counters().add("batch_results_ignored_total");
    whenOwnershipIsProved(batch->id(), answer);
    return;
  }
  ItemRecord record;
  record.state = state;
  record.runEpoch = finish.run.runEpoch;
  record.incarnation = finish.run.incarnation;
  record.attempt = finish.attempt;
  record.body = std::move(finish.body);
  record.errorType = std::move(finish.errorType);
  const std::uint64_t position = finish.position;
  writeItem(*batch, position, std::move(record), answer);
}

void BatchOwnerCore::finishIfDone(BatchState& batch) {
  const bool ready = batch.committed && batch.allFinal() && batch.writing.empty();
  if (!ready || batch.finished() || batch.finalWriting) {
    return;
  }
  batch.finalWriting = true;
  const BatchStatus status = batch.status();
  std::vector<TableEntry> entries{{finalKey(batch.id()), encodeRecord(status)}};
  // Nobody reads the body of an item that has a result.
  const std::uint64_t chunks =
      std::min<std::uint64_t>(batch.meta().chunkPositions.size(), options_.erasePerWrite);
  for (std::uint64_t chunk = 0; chunk < chunks; ++chunk) {
    entries.push_back({bodyKey(batch.id(), chunk), std::nullopt});
  }
  writeUntilDurable(batch.id(), std::move(entries), [this, batchId = batch.id(), status] {
    BatchState* finished = find(batchId);
    if (finished == nullptr) {
      return;
    }
    finished->setFinished(status);
    finished->finishedAt = context_.now();
    context_.counters().add("batches_finished_total");
  });
}

}  // namespace shedshed
