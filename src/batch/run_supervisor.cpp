#include "batch/run_supervisor.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {
namespace {

/// An assignment is repeated if no heartbeat has named the run for this long.
constexpr Duration kAnnounceAfterSilence = std::chrono::seconds(2);

/// Bound of the item states scanned for one page.
constexpr std::uint64_t kMaxScannedStates = 8192;

}  // namespace

void RunSupervisor::supervise(BatchState& batch) {
  if (!batch.committed || batch.finished()) {
    return;
  }
  if (!batch.unranked.empty()) {
    items_.reassignRanks(batch);
  }
  items_.finishIfDone(batch);
  const bool assigning = batch.run.epoch != 0 && !batch.runDurable;
  if (batch.finalWriting || assigning) {
    return;
  }
  resolveStaleItems(batch);
  if (batch.run.epoch == 0) {
    endRun(batch, {});
    return;
  }
  const NodeInfo* runner = directory_.table()->find(NodeId{batch.run.runner});
  const bool dead = runner != nullptr && runner->state == NodeState::Dead;
  const Duration silence = context_.now() - batch.lastHeartbeat;
  if (dead || silence >= options_.runTimeout) {
    endRun(batch, batch.run.runner);
    return;
  }
  if (!batch.runAcknowledged || silence >= kAnnounceAfterSilence) {
    announceRun(batch);
  }
}

NodeId RunSupervisor::chooseRunner(const std::string& batchId, const std::string& avoid) const {
  const std::shared_ptr<const NodeTable> table = directory_.table();
  std::vector<NodeId> candidates;
  for (const NodeInfo& node : table->nodes) {
    const bool live = node.state == NodeState::Alive || node.state == NodeState::Suspect;
    if (node.role == NodeRole::Data && live) {
      candidates.push_back(node.id);
    }
  }
  const std::vector<NodeId> order = rendezvousOrder(batchId, std::move(candidates));
  for (const NodeId& node : order) {
    if (node.address != avoid) {
      return node;
    }
  }
  return order.empty() ? NodeId{} : order.front();
}

void RunSupervisor::endRun(BatchState& batch, const std::string& avoidRunner) {
  const bool assigning = batch.run.epoch != 0 && !batch.runDurable;
  if (assigning || batch.finished() || batch.finalWriting) {
    return;
  }
  const NodeId next = chooseRunner(batch.id(), avoidRunner);
  if (!next.empty()) {
    assignRun(batch, next);
  }
}

void RunSupervisor::assignRun(BatchState& batch, const NodeId& runner) {
  batch.run.epoch += 1;
  batch.run.runner = runner.address;
  batch.runDurable = false;
  batch.runAcknowledged = false;
  batch.runnerProcess = 0;
  batch.revertedAttempts.clear();
  context_.counters().add("batch_runs_assigned_total");
  // What the lost run had started is resolved in the write that fences it.
  items_.writeItems(batch, {{runKey(batch.id()), encodeRecord(batch.run)}},
                    resolutionsBefore(batch, batch.run.epoch), [this](BatchState& assigned) {
                      assigned.runDurable = true;
                      assigned.lastHeartbeat = context_.now();
                      announceRun(assigned);
                    });
}

void RunSupervisor::announceRun(const BatchState& batch) {
  AssignRun assign;
  assign.batchId = batch.id();
  assign.runEpoch = batch.run.epoch;
  assign.tenant = batch.meta().tenant;
  assign.idempotent = batch.meta().idempotent;
  assign.itemCount = batch.meta().itemCount;
  const Duration objective = settings_.completionObjective(batch.meta().route);
  assign.hasDueTime = objective > Duration{0};
  assign.dueInMilliseconds = toMilliseconds(objective - (context_.now() - batch.acceptedAt));
  context_.send(NodeId{batch.run.runner}, assign);
}

ItemRecords RunSupervisor::resolutionsBefore(const BatchState& batch, std::uint64_t epoch) const {
  ItemRecords resolutions;
  const bool repeat = batch.meta().idempotent || !options_.safeguards.unknownAfterLostRun;
  for (const auto& [position, started] : batch.started()) {
    if (started.runEpoch >= epoch || batch.writing.count(position) != 0) {
      continue;
    }
    if (repeat) {
      resolutions[position] = ItemWriter::pendingRecord(true);
      continue;
    }
    ItemRecord record;
    record.state = ItemState::Unknown;
    record.runEpoch = started.runEpoch;
    record.errorType = std::string(errorTypeName(ErrorCode::OutcomeUnknown));
    resolutions[position] = std::move(record);
  }
  return resolutions;
}

void RunSupervisor::resolveStaleItems(BatchState& batch) {
  ItemRecords resolutions = resolutionsBefore(batch, batch.run.epoch);
  if (!resolutions.empty() && options_.safeguards.runEpochFence) {
    items_.writeItems(batch, {}, std::move(resolutions), [](BatchState&) {});
  }
}

bool RunSupervisor::isCurrent(BatchState& batch, const NodeId& from, const RunName& run) {
  if (!options_.safeguards.runEpochFence) {
    return true;
  }
  if (run.runEpoch != batch.run.epoch || !batch.runDurable || from.address != batch.run.runner) {
    return false;
  }
  if (batch.runnerProcess == 0) {
    batch.runnerProcess = run.incarnation;
  }
  if (batch.runnerProcess != run.incarnation) {
    endRun(batch, {});
    return false;
  }
  return true;
}

RunAnswer RunSupervisor::answerRun(const NodeId& from, const RunName& run) {
  RunAnswer answer{run.batchId, run.runEpoch, static_cast<std::uint8_t>(RunVerdict::Ended), {}};
  if (table_.owned(run.batchId) == nullptr) {
    answer.verdict = static_cast<std::uint8_t>(RunVerdict::NotOwner);
    answer.owner = store_.ownerHint(partitionOfBatch(run.batchId));
    return answer;
  }
  BatchState* batch = table_.find(run.batchId);
  if (batch == nullptr || batch->finished() || !isCurrent(*batch, from, run)) {
    return answer;
  }
  batch->runAcknowledged = true;
  batch->lastHeartbeat = context_.now();
  const bool stopped = batch->cancelRequested && options_.safeguards.cancelStopsStarts;
  answer.verdict = static_cast<std::uint8_t>(stopped ? RunVerdict::Stopped : RunVerdict::Active);
  return answer;
}

void RunSupervisor::onHeartbeat(const NodeId& from, const RunHeartbeat& heartbeat) {
  RunHeartbeatReply redirects;
  redirects.number = heartbeat.number;
  for (const RunReport& report : heartbeat.runs) {
    RunAnswer answer = answerRun(from, report.run);
    if (answer.verdict == static_cast<std::uint8_t>(RunVerdict::NotOwner)) {
      redirects.runs.push_back(std::move(answer));
      continue;
    }
    if (answer.verdict != static_cast<std::uint8_t>(RunVerdict::Ended)) {
      revertDroppedAttempts(report);
    }
    // A fenced owner that has not learnt of its loss must neither end a run that its successor
    // counts on nor keep the runner with itself. Proofs of all partitions share one message to
    // each replica.
    store_.confirmOwnership(partitionOfBatch(report.run.batchId),
                            [this, from, number = heartbeat.number, answer](const Status& status) {
                              if (status) {
                                context_.send(from, RunHeartbeatReply{number, {answer}});
                              }
                            });
  }
  if (!redirects.runs.empty()) {
    context_.send(from, redirects);
  }
}

void RunSupervisor::revertDroppedAttempts(const RunReport& report) {
  BatchState* batch = table_.find(report.run.batchId);
  if (batch == nullptr || batch->finished()) {
    return;
  }
  std::map<std::uint64_t, std::uint64_t> inFlight;
  for (const AttemptInFlight& attempt : report.attemptsInFlight) {
    inFlight[attempt.position] = attempt.attempt;
  }
  std::map<std::uint64_t, std::uint64_t> dropped;
  for (const auto& [position, started] : batch->started()) {
    const auto found = inFlight.find(position);
    const bool isInFlight = found != inFlight.end() && found->second == started.attempt;
    const bool ours =
        started.runEpoch == report.run.runEpoch && started.incarnation == report.run.incarnation;
    if (ours && !isInFlight && started.attempt < report.nextAttempt &&
        batch->writing.count(position) == 0) {
      dropped[position] = started.attempt;
    }
  }
  // A late duplicate of a start became durable after the runner had dropped that attempt. It never
  // ran: a runner keeps every attempt that it ran until the owner has its result.
  for (const auto& [position, attempt] : dropped) {
    items_.revertAttempt(*batch, position, attempt, false, [] {});
  }
}

void RunSupervisor::onReturnRun(const NodeId& from, const ReturnRun& returned) {
  BatchState* batch = table_.find(returned.run.batchId);
  if (batch != nullptr && batch->committed && !batch->finished() &&
      isCurrent(*batch, from, returned.run)) {
    endRun(*batch, from.address);
  }
}

void RunSupervisor::onFetch(const NodeId& from, const FetchItems& fetch) {
  BatchState* batch = table_.find(fetch.run.batchId);
  if (batch == nullptr || batch->finished() || batch->cancelRequested ||
      !isCurrent(*batch, from, fetch.run)) {
    return;
  }
  if (const std::optional<ItemsPage> page = pendingItems(*batch, fetch)) {
    context_.send(from, *page);
  }
}

std::optional<ItemsPage> RunSupervisor::pendingItems(const BatchState& batch,
                                                     const FetchItems& fetch) {
  ItemsPage page;
  page.batchId = fetch.run.batchId;
  page.runEpoch = fetch.run.runEpoch;
  page.from = fetch.from;
  const std::uint64_t count = batch.meta().itemCount;
  std::uint64_t position = fetch.from;
  const std::uint64_t scanEnd = std::min(count, position + kMaxScannedStates);
  while (position < scanEnd && batch.state(position) != ItemState::Pending) {
    ++position;
  }
  if (position < scanEnd) {
    // One page stays inside one chunk, so that one row is decoded for it.
    const std::uint64_t index = batch.chunkOf(position);
    const auto row = store_.get(partitionOfBatch(batch.id()), bodyKey(batch.id(), index));
    Result<BodyChunk> chunk = decodeRecord<BodyChunk>(row.value_or(std::string()));
    if (!chunk) {
      context_.counters().add("batch_rows_corrupt_total");
      return std::nullopt;
    }
    const std::uint64_t first = batch.meta().chunkPositions[index];
    const std::uint64_t end = batch.chunkEnd(index);
    for (; position < end && page.items.size() < fetch.maxItems; ++position) {
      if (batch.state(position) == ItemState::Pending && batch.writing.count(position) == 0) {
        page.items.push_back(
            {position, ItemState::Pending, std::move(chunk.value().items.at(position - first))});
      }
    }
  }
  page.next = position < count ? position : 0;
  return page;
}

}  // namespace shedshed
