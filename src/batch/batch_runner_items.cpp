/// Items: slots, start, engine, report.
#include "batch/batch_runner_core.h"

#include <algorithm>
#include <random>

namespace shedshed {
namespace {

/// Lowest and highest HTTP status of success.
constexpr int kSuccessFirst = 200;
constexpr int kSuccessLast = 299;

/// Items by which a window of slots grows in the time after which a refused item comes back.
constexpr int kWindowStepsPerRequeue = 10;

/// Errors that no later try changes.
bool isPermanent(ErrorCode code) {
  return code == ErrorCode::InvalidArgument || code == ErrorCode::TooLarge;
}

}  // namespace

void BatchRunnerCore::startWaitingItems(const RunKey& key) {
  while (true) {
    Run* run = find(key);
    if (run == nullptr || !mayStart(*run) || !hasCapacity(*run)) {
      return;
    }
    std::optional<WaitingItem> next = takeNext(*run);
    if (!next) {
      fetch(key, *run);
      return;
    }
    beginItem(key, *run, std::move(*next));
  }
}

bool BatchRunnerCore::hasCapacity(const Run& run) const {
  const auto active = std::count_if(run.items.begin(), run.items.end(), [](const auto& entry) {
    return entry.second.phase != Phase::Reporting;
  });
  // Unacknowledged results count as well: a lost owner must not let them pile up.
  return active < options_.itemsPerBatch && itemsInFlight_ < options_.itemsInAll &&
         run.items.size() + run.requeued.size() < pageSize();
}

/// The first waiting item whose model admits one more. One without a model needs no slots.
std::optional<BatchRunnerCore::WaitingItem> BatchRunnerCore::takeNext(Run& run) {
  const Time now = context_.now();
  const auto admitted = [&run, now](const WaitingItem& item) {
    return item.model.empty() || run.admissions[item.model].mayRequest(now);
  };
  const auto found = std::find_if(run.queue.begin(), run.queue.end(), admitted);
  if (found == run.queue.end()) {
    return std::nullopt;
  }
  WaitingItem next = std::move(*found);
  run.queue.erase(found);
  return next;
}

bool BatchRunnerCore::isKnown(const Run& run, std::uint64_t position) const {
  const auto same = [position](const WaitingItem& item) { return item.position == position; };
  return run.items.count(position) != 0 || std::any_of(run.queue.begin(), run.queue.end(), same) ||
         std::any_of(run.requeued.begin(), run.requeued.end(), same);
}

/// Items whose delay is over go first.
void BatchRunnerCore::recallRequeued(Run& run) {
  const Time now = context_.now();
  for (auto item = run.requeued.begin(); item != run.requeued.end();) {
    if (now < item->notBefore) {
      ++item;
      continue;
    }
    run.queue.push_front(std::move(*item));
    item = run.requeued.erase(item);
  }
}

void BatchRunnerCore::beginItem(const RunKey& key, Run& run, WaitingItem next) {
  Item& item = run.items[next.position];
  item.attempt = nextAttempt_++;
  item.body = std::move(next.body);
  item.model = std::move(next.model);
  ++itemsInFlight_;
  if (item.model.empty()) {
    // Its one result is a failure; it needs no engine and so no slots.
    requestStart(key, run, next.position);
    return;
  }
  acquireSlots(key, run, next.position);
}

void BatchRunnerCore::acquireSlots(const RunKey& key, Run& run, std::uint64_t position) {
  const Item& item = run.items[position];
  const EffectiveSettings settings = settings_.effective(run.assignment.tenant);
  SlotRequest request;
  request.requestId = key.first + "-" + std::to_string(position);
  request.serviceClass = SlotClass::BatchItem;
  SlotLimit limit;
  limit.failOpen = false;  // Without a proof of idle room, live calls come first.
  limit.timeToLive = settings.itemSlotTtl;
  limit.pool = {"tenant", run.assignment.tenant};
  request.limits.push_back(limit);
  limit.pool = {"batch", item.model};
  request.limits.push_back(limit);
  if (run.assignment.hasDueTime) {
    request.demand = RunDemand{key.first + "/" + std::to_string(key.second),
                               run.due - context_.now(), requestedSlots(run)};
    request.onShare = [this, key, model = item.model](const RunShare& share) {
      onShare(key, model, share);
    };
  }
  ItemAdmission& admission = run.admissions[item.model];
  admission.setGrowthInterval(settings.requeueDelay / kWindowStepsPerRequeue);
  admission.requested();
  slots_.acquire(std::move(request),
                 [this, key, position, attempt = item.attempt](const Result<SlotGrant>& grant) {
                   onSlots(key, position, attempt, grant);
                 });
}

void BatchRunnerCore::onSlots(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
                              const Result<SlotGrant>& grant) {
  Run* run = find(key);
  const auto found = run == nullptr ? decltype(run->items.end()){} : run->items.find(position);
  // An item that acquires keeps its run from being dropped, so both are still there.
  if (run == nullptr || found == run->items.end() || found->second.attempt != attempt) {
    if (grant) {
      slots_.release(grant.value().grantId);
    }
    return;
  }
  Item& item = found->second;
  if (grant) {
    run->admissions[item.model].granted(options_.itemsPerBatch);
    item.grant = grant.value().grantId;
    item.suggestedEngine = grant.value().suggestedEngine();
    if (mayStart(*run)) {
      requestStart(key, *run, position);
      startWaitingItems(key);
      return;
    }
    releaseSlots(*run, item);
  } else {
    requeue(*run, position, item);
  }
  run->items.erase(found);
  --itemsInFlight_;
  if (run->stopped || run->ended || draining_) {
    run->queue.clear();
    run->requeued.clear();
  }
  forgetIfDone(key);
}

/// The refused item comes back after the re-queue delay, varied by up to half of it, so that the
/// items of a burst do not come back together.
void BatchRunnerCore::requeue(Run& run, std::uint64_t position, Item& item) {
  ItemAdmission& admission = run.admissions[item.model];
  const Duration requeueDelay = settings_.effective(run.assignment.tenant).requeueDelay;
  const Duration delay = admission.hasShare() ? admission.retryDelay(requeueDelay) : requeueDelay;
  const Duration jitter(
      std::uniform_int_distribution<Duration::rep>(0, delay.count() / 2)(context_.random()));
  admission.rejected(context_.now(), delay + jitter);
  if (admission.hasShare()) {
    context_.startTimer(kRetryTimer, delay + jitter);
  }
  run.requeued.push_back(
      {position, item.model, std::move(item.body), context_.now() + delay + jitter});
  context_.counters().add("batch_slot_refusals_total");
}

std::uint32_t BatchRunnerCore::requestedSlots(const Run& run) {
  const auto active = std::count_if(run.items.begin(), run.items.end(), [](const auto& entry) {
    return entry.second.phase != Phase::Reporting;
  });
  return static_cast<std::uint32_t>(run.queue.size() + run.requeued.size()) +
         static_cast<std::uint32_t>(active);
}

void BatchRunnerCore::onShare(const RunKey& key, const std::string& model, const RunShare& share) {
  if (Run* run = find(key)) {
    run->admissions[model].setShare(share.slots, share.free, context_.now());
  }
}

void BatchRunnerCore::retryRefused() {
  std::vector<RunKey> keys;
  for (auto& [key, run] : runs_) {
    recallRequeued(run);
    keys.push_back(key);
  }
  for (const RunKey& key : keys) {
    startWaitingItems(key);
  }
}

void BatchRunnerCore::requestStart(const RunKey& key, Run& run, std::uint64_t position) {
  Item& item = run.items[position];
  item.phase = Phase::Starting;
  item.startRequestedAt = context_.now();
  item.lastSent = item.startRequestedAt;
  const NodeId owner = ownerOf(run);
  if (!owner.empty()) {
    context_.send(owner, StartItem{nameOf(key), position, item.attempt});
  }
}

void BatchRunnerCore::onStartReply(const StartReply& reply) {
  const RunKey key{reply.batchId, reply.runEpoch};
  const bool accepted = reply.verdict == static_cast<std::uint8_t>(ItemVerdict::Accepted);
  Run* run = find(key);
  const auto found =
      run == nullptr ? decltype(run->items.end()){} : run->items.find(reply.position);
  const bool known =
      run != nullptr && found != run->items.end() && found->second.attempt == reply.attempt;
  if (!known) {
    // A late copy of a start came true at the owner; nobody here runs that attempt.
    if (accepted) {
      const NodeId owner = locator_.candidate(partitionOf(TableKind::Batches, reply.batchId), 0);
      if (!owner.empty()) {
        context_.send(owner, RevertStart{nameOf(key), reply.position, reply.attempt});
      }
    }
    return;
  }
  if (found->second.phase != Phase::Starting) {
    return;
  }
  if (!accepted) {
    releaseSlots(*run, found->second);
    run->items.erase(found);
    --itemsInFlight_;
    startWaitingItems(key);
    forgetIfDone(key);
    return;
  }
  const bool fresh = context_.now() - found->second.startRequestedAt <= options_.maxStartAge;
  if (!fresh || !mayStart(*run)) {
    revertStart(key, *run, reply.position, false);
    return;
  }
  callEngine(key, *run, reply.position);
}

void BatchRunnerCore::callEngine(const RunKey& key, Run& run, std::uint64_t position) {
  Item& item = run.items[position];
  item.phase = Phase::Running;
  if (item.model.empty()) {
    finishItem(key, run, position, ItemState::Failed, {}, ErrorCode::InvalidArgument);
    return;
  }
  ++run.runsOfItem[position];
  EngineCall call;
  call.requestId = key.first + "-" + std::to_string(position) + "-" + std::to_string(key.second) +
                   "-" + std::to_string(item.attempt);
  call.model = item.model;
  call.body = std::move(item.body);
  call.tenant = run.assignment.tenant;
  call.suggestedEngine = item.suggestedEngine;
  call.isWanted = [this, key] {
    const Run* current = find(key);
    return current != nullptr && mayStart(*current);
  };
  const std::uint64_t attempt = item.attempt;
  engines_.run(std::move(call), [this, key, position, attempt](Result<EngineAnswer> answer) {
    onAnswer(key, position, attempt, std::move(answer));
  });
}

void BatchRunnerCore::onAnswer(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
                               Result<EngineAnswer> answer) {
  Run* run = find(key);
  if (run == nullptr) {
    return;
  }
  const auto found = run->items.find(position);
  if (found == run->items.end() || found->second.attempt != attempt ||
      found->second.phase != Phase::Running) {
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

void BatchRunnerCore::onEngineError(const RunKey& key, Run& run, std::uint64_t position,
                                    const Error& error) {
  if (error.ran == Ran::No && isPermanent(error.code)) {
    finishItem(key, run, position, ItemState::Failed, {}, error.code);
    return;
  }
  if (error.ran == Ran::No) {
    run.admissions[run.items[position].model].pause(context_.now() + options_.retryPause);
    --run.runsOfItem[position];
    revertStart(key, run, position, false);
    return;
  }
  if (run.assignment.idempotent && run.runsOfItem[position] < options_.maxRunsPerItem) {
    revertStart(key, run, position, true);
    return;
  }
  finishItem(key, run, position, ItemState::Unknown, {}, ErrorCode::OutcomeUnknown);
}

void BatchRunnerCore::finishItem(const RunKey& key, Run& run, std::uint64_t position,
                                 ItemState state, std::string body, ErrorCode code) {
  Item& item = run.items[position];
  FinishItem finish;
  finish.run = nameOf(key);
  finish.position = position;
  finish.attempt = item.attempt;
  finish.state = static_cast<std::uint8_t>(state);
  finish.body = std::move(body);
  if (state != ItemState::Done) {
    finish.errorType = std::string(errorTypeName(code));
  }
  run.runsOfItem.erase(position);
  report(run, item, encodeMessage(finish));
}

void BatchRunnerCore::revertStart(const RunKey& key, Run& run, std::uint64_t position,
                                  bool mayHaveRun) {
  Item& item = run.items[position];
  report(run, item, encodeMessage(RevertStart{nameOf(key), position, item.attempt, mayHaveRun}));
}

void BatchRunnerCore::report(Run& run, Item& item, Message message) {
  releaseSlots(run, item);
  item.phase = Phase::Reporting;
  item.body.clear();
  item.report = std::move(message);
  item.lastSent = context_.now();
  --itemsInFlight_;
  const NodeId owner = ownerOf(run);
  if (!owner.empty()) {
    context_.send(owner, *item.report);
  }
}

void BatchRunnerCore::resendItem(const RunKey& key, Run& run, std::uint64_t position, Item& item) {
  if (item.phase == Phase::Starting &&
      context_.now() - item.startRequestedAt > options_.maxStartAge) {
    // Do not hold slots for an owner that is silent.
    revertStart(key, run, position, false);
    return;
  }
  const bool open = item.phase == Phase::Starting || item.phase == Phase::Reporting;
  if (!open || context_.now() - item.lastSent < options_.resend) {
    return;
  }
  item.lastSent = context_.now();
  if (run.ended) {
    // Ended runs send no heartbeats that would find a new owner.
    ++run.locatorAttempt;
  }
  const NodeId owner = ownerOf(run);
  if (owner.empty()) {
    return;
  }
  if (item.phase == Phase::Starting) {
    context_.send(owner, StartItem{nameOf(key), position, item.attempt});
  } else {
    context_.send(owner, *item.report);
  }
}

void BatchRunnerCore::onFinishReply(const FinishReply& reply) {
  const RunKey key{reply.batchId, reply.runEpoch};
  Run* run = find(key);
  if (run == nullptr) {
    return;
  }
  const auto found = run->items.find(reply.position);
  if (found == run->items.end() || found->second.phase != Phase::Reporting ||
      found->second.attempt != reply.attempt) {
    return;
  }
  run->items.erase(found);
  startWaitingItems(key);
  forgetIfDone(key);
}

void BatchRunnerCore::releaseSlots(Run& run, Item& item) {
  if (item.grant) {
    run.admissions[item.model].released();
    slots_.release(*item.grant);
    item.grant.reset();
  }
}

}  // namespace shedshed
