#include "batch/run_supervisor.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {
namespace {

/// The assignment is resent if no heartbeat has listed the run for this long.
constexpr Duration kReannounceInterval = std::chrono::seconds(2);

/// Limit on the item states scanned for one page.
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
  const bool isAssigning = batch.run.epoch != 0 && !batch.runDurable;
  if (batch.finalWriteInFlight || isAssigning) {
    return;
  }
  resolveStaleItems(batch);
  if (batch.run.epoch == 0) {
    reassignRun(batch, {});
    return;
  }
  const NodeInfo* runner = directory_.table()->find(NodeId{batch.run.runner});
  const bool isDead = runner != nullptr && runner->state == NodeState::Dead;
  const Duration sinceHeartbeat = context_.now() - batch.lastHeartbeat;
  if (isDead || sinceHeartbeat >= options_.runTimeout) {
    reassignRun(batch, batch.run.runner);
    return;
  }
  if (!batch.runAcknowledged || sinceHeartbeat >= kReannounceInterval) {
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

void RunSupervisor::reassignRun(BatchState& batch, const std::string& avoidRunner) {
  const bool isAssigning = batch.run.epoch != 0 && !batch.runDurable;
  if (isAssigning || batch.finished() || batch.finalWriteInFlight) {
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
  batch.runnerIncarnation = 0;
  batch.revertedAttempts.clear();
  context_.counters().add("batch_runs_assigned_total");
  // The write that fences the lost run also resolves the items it had started.
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
  const bool mayRerun = batch.meta().idempotent || !options_.safeguards.unknownAfterLostRun;
  for (const auto& [position, started] : batch.started()) {
    if (started.runEpoch >= epoch || batch.writesInFlight.count(position) != 0) {
      continue;
    }
    if (mayRerun) {
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

bool RunSupervisor::isCurrent(BatchState& batch, const NodeId& from, const RunId& run) {
  if (!options_.safeguards.runEpochFence) {
    return true;
  }
  if (run.runEpoch != batch.run.epoch || !batch.runDurable || from.address != batch.run.runner) {
    return false;
  }
  if (batch.runnerIncarnation == 0) {
    batch.runnerIncarnation = run.incarnation;
  }
  if (batch.runnerIncarnation != run.incarnation) {
    reassignRun(batch, {});
    return false;
  }
  return true;
}

RunHeartbeatResult RunSupervisor::answerRun(const NodeId& from, const RunId& run) {
  RunHeartbeatResult answer{
      run.batchId, run.runEpoch, static_cast<std::uint8_t>(RunStatus::Ended), {}};
  if (table_.owned(run.batchId) == nullptr) {
    answer.status = static_cast<std::uint8_t>(RunStatus::NotOwner);
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
  answer.status = static_cast<std::uint8_t>(stopped ? RunStatus::Stopped : RunStatus::Active);
  return answer;
}

void RunSupervisor::onHeartbeat(const NodeId& from, const RunHeartbeat& heartbeat) {
  RunHeartbeatReply redirects;
  redirects.number = heartbeat.number;
  for (const RunReport& report : heartbeat.runs) {
    RunHeartbeatResult answer = answerRun(from, report.run);
    if (answer.status == static_cast<std::uint8_t>(RunStatus::NotOwner)) {
      redirects.runs.push_back(std::move(answer));
      continue;
    }
    if (answer.status != static_cast<std::uint8_t>(RunStatus::Ended)) {
      revertDroppedAttempts(report);
    }
    // A fenced owner that is not aware of it must neither end a run that its successor relies on
    // nor extend the lease. Confirmations of all partitions share one message to each replica.
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
    const bool isSameRun =
        started.runEpoch == report.run.runEpoch && started.incarnation == report.run.incarnation;
    if (isSameRun && !isInFlight && started.attempt < report.nextAttempt &&
        batch->writesInFlight.count(position) == 0) {
      dropped[position] = started.attempt;
    }
  }
  // A delayed duplicate of a start became durable after the runner had dropped the attempt. The
  // attempt never ran, because a runner keeps each attempt that ran until its result is
  // acknowledged.
  for (const auto& [position, attempt] : dropped) {
    items_.revertAttempt(*batch, position, attempt, false, [] {});
  }
}

void RunSupervisor::onReturnRun(const NodeId& from, const ReturnRun& returned) {
  BatchState* batch = table_.find(returned.run.batchId);
  if (batch != nullptr && batch->committed && !batch->finished() &&
      isCurrent(*batch, from, returned.run)) {
    reassignRun(*batch, from.address);
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
    // A page does not cross chunks, so that only one row has to be decoded.
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
      if (batch.state(position) == ItemState::Pending &&
          batch.writesInFlight.count(position) == 0) {
        page.items.push_back(
            {position, ItemState::Pending, std::move(chunk.value().items.at(position - first))});
      }
    }
  }
  page.next = position < count ? position : 0;
  return page;
}

}  // namespace shedshed
