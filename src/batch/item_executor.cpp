#include "batch/item_executor.h"

#include "batch/batch_records.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Range of HTTP status codes that indicate success.
constexpr int kSuccessFirst = 200;
constexpr int kSuccessLast = 299;

/// True for errors that every further attempt would return.
bool isPermanent(ErrorCode code) {
  return code == ErrorCode::InvalidArgument || code == ErrorCode::TooLarge;
}

std::string describe(const Error& error) {
  return std::string(errorTypeName(error.code)) + ": " + error.detail;
}

}  // namespace

void ItemExecutor::startWaitingItems(const RunKey& key) {
  while (true) {
    BatchRun* run = runs_.find(key);
    if (run == nullptr || !runs_.mayStart(*run) || !hasCapacity(*run)) {
      return;
    }
    updateTargets(*run);
    const Time now = context_.now();
    std::optional<WaitingItem> next = run->waiting.takeFirst([run, now](const WaitingItem& item) {
      return !item.mayRun(now) || run->admissions[item.target.model].mayRequest(now);
    });
    if (!next) {
      fetcher_.fetch(key, *run);
      return;
    }
    beginItem(key, *run, std::move(*next));
  }
}

void ItemExecutor::updateTargets(BatchRun& run) {
  run.waiting.updateTargets(engines_.targetsVersion(), [this, &run](const std::string& body) {
    return engines_.targetOf(body, run.assignedAt);
  });
}

bool ItemExecutor::hasCapacity(const BatchRun& run) const {
  const auto active = std::count_if(run.items.begin(), run.items.end(), [](const auto& entry) {
    return entry.second.phase != AttemptPhase::Reporting;
  });
  // Unacknowledged results count as well, so that they do not accumulate while the owner is lost.
  return active < options_.maxItemsInFlightPerBatch && itemsInFlight_ < options_.maxItemsInFlight &&
         run.items.size() + run.waiting.requeued() < options_.pageSize();
}

void ItemExecutor::beginItem(const RunKey& key, BatchRun& run, WaitingItem next) {
  const bool mayRun = next.mayRun(context_.now());
  ItemAttempt& item = run.items[next.position];
  item.attempt = nextAttempt_++;
  item.body = std::move(next.body);
  item.target = std::move(next.target);
  item.targetsVersion = next.targetsVersion;
  ++itemsInFlight_;
  if (!mayRun) {
    requestStart(key, run, next.position);
    return;
  }
  slots_.acquire(key, run, next.position,
                 [this, key, position = next.position,
                  attempt = item.attempt](const Result<SlotGrant>& grant) {
                   onSlotReply(key, position, attempt, grant);
                 });
}

ItemAttempt* ItemExecutor::findAttempt(BatchRun* run, std::uint64_t position,
                                       std::uint64_t attempt) {
  if (run == nullptr) {
    return nullptr;
  }
  const auto found = run->items.find(position);
  const bool same = found != run->items.end() && found->second.attempt == attempt;
  return same ? &found->second : nullptr;
}

void ItemExecutor::onSlotReply(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
                               const Result<SlotGrant>& grant) {
  BatchRun* run = runs_.find(key);
  ItemAttempt* item = findAttempt(run, position, attempt);
  if (item == nullptr) {
    slots_.releaseUnclaimed(grant);
    return;
  }
  if (grant) {
    slots_.onGranted(*run, *item, grant.value());
    if (runs_.mayStart(*run)) {
      requestStart(key, *run, position);
      startWaitingItems(key);
      return;
    }
    slots_.release(*run, *item);
  } else {
    run->stalls.onObstacle(item->target.model, describe(grant.error()));
    const Duration delay = slots_.onRejected(*run, item->target.model);
    run->waiting.requeue({position, std::move(item->target), item->targetsVersion,
                          std::move(item->body), context_.now() + delay});
  }
  run->items.erase(position);
  --itemsInFlight_;
  if (run->stopped || run->ended || runs_.draining()) {
    run->waiting.clear();
  }
  runs_.removeIfDone(key);
}

void ItemExecutor::requestStart(const RunKey& key, BatchRun& run, std::uint64_t position) {
  ItemAttempt& item = run.items[position];
  item.phase = AttemptPhase::Starting;
  item.startRequestedAt = context_.now();
  item.lastSent = item.startRequestedAt;
  const NodeId owner = runs_.ownerOf(run);
  if (!owner.empty()) {
    context_.send(owner, StartItem{runs_.idOf(key), position, item.attempt});
  }
}

void ItemExecutor::onStartReply(const StartReply& reply) {
  const RunKey key{reply.batchId, reply.runEpoch};
  const bool accepted = reply.outcome == static_cast<std::uint8_t>(StartOutcome::Accepted);
  BatchRun* run = runs_.find(key);
  ItemAttempt* item = findAttempt(run, reply.position, reply.attempt);
  if (item == nullptr) {
    if (accepted) {
      revertUnknownStart(key, reply);
    }
    return;
  }
  if (item->phase != AttemptPhase::Starting) {
    return;
  }
  if (!accepted) {
    slots_.release(*run, *item);
    run->items.erase(reply.position);
    --itemsInFlight_;
    startWaitingItems(key);
    runs_.removeIfDone(key);
    return;
  }
  const bool fresh = context_.now() - item->startRequestedAt <= options_.maxStartAge;
  if (!fresh || !runs_.mayStart(*run)) {
    revertStart(key, *run, reply.position, false);
    return;
  }
  callEngine(key, *run, reply.position);
}

/// Reverts a start that became durable from a delayed duplicate, for an attempt that has ended.
void ItemExecutor::revertUnknownStart(const RunKey& key, const StartReply& reply) {
  const NodeId owner = locator_.candidate(partitionOfBatch(reply.batchId), 0);
  if (!owner.empty()) {
    context_.send(owner, RevertStart{runs_.idOf(key), reply.position, reply.attempt});
  }
}

void ItemExecutor::callEngine(const RunKey& key, BatchRun& run, std::uint64_t position) {
  ItemAttempt& item = run.items[position];
  item.phase = AttemptPhase::Running;
  if (!item.grant) {
    failWithoutEngine(key, run, position);
    return;
  }
  run.histories[position].callStarted();
  EngineCall call;
  call.requestId = key.first + "-" + std::to_string(position) + "-" + std::to_string(key.second) +
                   "-" + std::to_string(item.attempt);
  call.model = item.target.model;
  call.body = std::move(item.body);
  call.tenant = run.assignment.tenant;
  call.suggestedEngine = item.suggestedEngine;
  call.isWanted = [this, key] {
    const BatchRun* current = runs_.find(key);
    return current != nullptr && runs_.mayStart(*current);
  };
  call.acceptedBefore = run.assignedAt;
  call.failedAttempts = run.histories[position].failedAttempts();
  const std::uint64_t attempt = item.attempt;
  call.onAttempt = [this, key, position](const EngineAttempt& made) {
    if (BatchRun* current = runs_.find(key)) {
      current->histories[position].add(made);
    }
  };
  engines_.run(std::move(call), [this, key, position, attempt](Result<EngineAnswer> answer) {
    onAnswer(key, position, attempt, std::move(answer));
  });
}

void ItemExecutor::failWithoutEngine(const RunKey& key, BatchRun& run, std::uint64_t position) {
  const bool hasTarget = !run.items[position].target.model.empty();
  if (hasTarget) {
    context_.counters().add("batch_items_given_up_total");
  }
  finishItem(key, run, position, ItemState::Failed, {},
             hasTarget ? ErrorCode::DeadlineExceeded : ErrorCode::InvalidArgument);
}

void ItemExecutor::onAnswer(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
                            Result<EngineAnswer> answer) {
  BatchRun* run = runs_.find(key);
  const ItemAttempt* item = findAttempt(run, position, attempt);
  if (item == nullptr || item->phase != AttemptPhase::Running) {
    return;
  }
  if (!answer) {
    onEngineError(key, *run, position, answer.error());
  } else if (answer.value().status >= kSuccessFirst && answer.value().status <= kSuccessLast) {
    finishItem(key, *run, position, ItemState::Done, std::move(answer.value().body),
               ErrorCode::Internal);
  } else {
    finishItem(key, *run, position, ItemState::Failed, {}, ErrorCode::EngineFailed);
  }
  startWaitingItems(key);
}

void ItemExecutor::onEngineError(const RunKey& key, BatchRun& run, std::uint64_t position,
                                 const Error& error) {
  if (error.ran == Ran::No && isPermanent(error.code)) {
    finishItem(key, run, position, ItemState::Failed, {}, error.code);
    return;
  }
  run.stalls.onObstacle(run.items[position].target.model, describe(error));
  if (error.ran == Ran::No) {
    run.admissions[run.items[position].target.model].pause(context_.now() + options_.retryDelay);
    run.histories[position].callNotRun();
    revertStart(key, run, position, false);
    return;
  }
  if (run.assignment.idempotent &&
      run.histories[position].calls() < options_.maxEngineCallsPerItem) {
    revertStart(key, run, position, true);
    return;
  }
  finishItem(key, run, position, ItemState::Unknown, {}, ErrorCode::OutcomeUnknown);
}

void ItemExecutor::finishItem(const RunKey& key, BatchRun& run, std::uint64_t position,
                              ItemState state, std::string body, ErrorCode code) {
  ItemAttempt& item = run.items[position];
  FinishItem finish;
  finish.run = runs_.idOf(key);
  finish.position = position;
  finish.attempt = item.attempt;
  finish.state = static_cast<std::uint8_t>(state);
  finish.body = std::move(body);
  if (state != ItemState::Done) {
    finish.errorType = std::string(errorTypeName(code));
    logFailedItem(finish, run.histories[position]);
  }
  run.histories.erase(position);
  run.stalls.onProgress(item.target.model);
  report(run, item, encodeMessage(finish));
}

void ItemExecutor::logFailedItem(const FinishItem& finish, const ItemHistory& history) {
  context_.counters().add("batch_items_failed_total");
  context_.logEvent(TraceEvent("ItemFailed")
                        .field("batch", finish.run.batchId)
                        .field("position", finish.position)
                        .field("request_id", history.requestId())
                        .field("run_epoch", finish.run.runEpoch)
                        .field("attempt", finish.attempt)
                        .field("error", finish.errorType)
                        .field("engine_calls", history.calls())
                        .field("answers", history.text()));
}

void ItemExecutor::revertStart(const RunKey& key, BatchRun& run, std::uint64_t position,
                               bool mayHaveRun) {
  ItemAttempt& item = run.items[position];
  report(run, item,
         encodeMessage(RevertStart{runs_.idOf(key), position, item.attempt, mayHaveRun}));
}

void ItemExecutor::report(BatchRun& run, ItemAttempt& item, Message message) {
  slots_.release(run, item);
  item.phase = AttemptPhase::Reporting;
  item.body.clear();
  item.report = std::move(message);
  item.lastSent = context_.now();
  --itemsInFlight_;
  const NodeId owner = runs_.ownerOf(run);
  if (!owner.empty()) {
    context_.send(owner, *item.report);
  }
}

void ItemExecutor::resendItem(const RunKey& key, BatchRun& run, std::uint64_t position,
                              ItemAttempt& item) {
  if (item.phase == AttemptPhase::Starting &&
      context_.now() - item.startRequestedAt > options_.maxStartAge) {
    // Do not hold slots while the owner does not reply.
    revertStart(key, run, position, false);
    return;
  }
  const bool open = item.phase == AttemptPhase::Starting || item.phase == AttemptPhase::Reporting;
  if (!open || context_.now() - item.lastSent < options_.resendInterval) {
    return;
  }
  item.lastSent = context_.now();
  if (run.ended) {
    // Ended runs send no heartbeats, which would otherwise find the new owner.
    ++run.locatorAttempt;
  }
  const NodeId owner = runs_.ownerOf(run);
  if (owner.empty()) {
    return;
  }
  if (item.phase == AttemptPhase::Starting) {
    context_.send(owner, StartItem{runs_.idOf(key), position, item.attempt});
  } else {
    context_.send(owner, *item.report);
  }
}

void ItemExecutor::onFinishReply(const FinishReply& reply) {
  const RunKey key{reply.batchId, reply.runEpoch};
  BatchRun* run = runs_.find(key);
  const ItemAttempt* item = findAttempt(run, reply.position, reply.attempt);
  if (item == nullptr || item->phase != AttemptPhase::Reporting) {
    return;
  }
  run->items.erase(reply.position);
  startWaitingItems(key);
  runs_.removeIfDone(key);
}

void ItemExecutor::stopStarting(const RunKey& key, BatchRun& run) {
  run.waiting.clear();
  for (auto& [position, item] : run.items) {
    // An unacknowledged start may be durable: notify the owner that this attempt will not run.
    if (item.phase == AttemptPhase::Starting) {
      revertStart(key, run, position, false);
    }
  }
}

void ItemExecutor::resend(const RunKey& key, BatchRun& run) {
  for (auto& [position, item] : run.items) {
    resendItem(key, run, position, item);
  }
}

}  // namespace shedshed
