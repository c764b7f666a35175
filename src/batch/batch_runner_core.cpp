#include "batch/batch_runner_core.h"

#include "batch/batch_records.h"

#include <algorithm>

namespace shedshed {

BatchRunnerCore::BatchRunnerCore(CoreContext& context, OwnerLocator& locator, SlotClient& slots,
                                 EngineRunner& engines, ConfigurationSource& configuration,
                                 BatchRunnerOptions options)
    : context_(context), locator_(locator), settings_(configuration), options_(options),
      runs_(context, locator), fetcher_(context, runs_, engines, options_),
      slots_(context, runs_, slots, settings_, options_),
      executor_(context, locator, runs_, fetcher_, slots_, engines, options_),
      heartbeats_(context, locator, runs_, executor_, options_) {}

void BatchRunnerCore::start() {
  runs_.setIncarnation(context_.random()() | 1U);  // Never 0, which means "unknown".
  context_.startTimer(kTickTimer, options_.tickInterval);
}

void BatchRunnerCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<AssignRun>(message, [&](const AssignRun& assign) { onAssign(from, assign); }) ||
      dispatchMessage<RunHeartbeatReply>(
          message, [&](const RunHeartbeatReply& reply) { heartbeats_.onReply(from, reply); }) ||
      dispatchMessage<ItemsPage>(message, [&](const ItemsPage& page) { onItemsPage(page); }) ||
      dispatchMessage<StartReply>(
          message, [&](const StartReply& reply) { executor_.onStartReply(reply); }) ||
      dispatchMessage<FinishReply>(
          message, [&](const FinishReply& reply) { executor_.onFinishReply(reply); });
}

void BatchRunnerCore::timerExpired(TimerId timer) {
  if (timer == kTickTimer) {
    tick();
    context_.startTimer(kTickTimer, options_.tickInterval);
  } else {
    retryRejected();
  }
}

void BatchRunnerCore::drain() {
  runs_.drain();
  for (auto& [key, run] : runs_.runs()) {
    run.waiting.clear();
  }
}

bool BatchRunnerCore::idle() const {
  return std::all_of(runs_.runs().begin(), runs_.runs().end(),
                     [](const auto& entry) { return entry.second.items.empty(); });
}

bool BatchRunnerCore::allRunsReturned() const {
  return std::all_of(runs_.runs().begin(), runs_.runs().end(),
                     [](const auto& entry) { return entry.second.ended; });
}

void BatchRunnerCore::onAssign(const NodeId& from, const AssignRun& assign) {
  const RunKey key{assign.batchId, assign.runEpoch};
  if (runs_.hasRunOrNewer(key)) {
    return;
  }
  for (auto& [known, run] : runs_.runs()) {
    if (known.first == assign.batchId && !run.ended) {
      run.ended = true;
      executor_.stopStarting(known, run);
    }
  }
  BatchRun& run = runs_.add(key);
  run.assignment = assign;
  run.assignedAt = context_.now();
  run.due = context_.now() + std::chrono::milliseconds(assign.dueInMilliseconds);
  run.partition = partitionOfBatch(assign.batchId);
  locator_.redirected(run.partition, from);
  heartbeats_.send();
}

void BatchRunnerCore::onItemsPage(const ItemsPage& page) {
  if (fetcher_.onItemsPage(page)) {
    executor_.startWaitingItems({page.batchId, page.runEpoch});
  }
}

void BatchRunnerCore::returnIfDrained(const RunKey& key, const BatchRun& run) {
  if (!runs_.draining() || run.ended || !run.items.empty()) {
    return;
  }
  const NodeId owner = runs_.ownerOf(run);
  if (!owner.empty()) {
    context_.send(owner, ReturnRun{runs_.idOf(key)});
  }
}

void BatchRunnerCore::tick() {
  heartbeats_.sendIfDue();
  for (const RunKey& key : runs_.keys()) {
    BatchRun* run = runs_.find(key);
    if (run == nullptr) {
      continue;
    }
    executor_.resend(key, *run);
    returnIfDrained(key, *run);
    run->waiting.returnDueItems(context_.now());
    executor_.startWaitingItems(key);
    runs_.removeIfDone(key);
  }
  reportStalls();
}

void BatchRunnerCore::reportStalls() {
  std::uint32_t stalledItems = 0;
  for (auto& [key, run] : runs_.runs()) {
    const StallChanges changes = run.stalls.check(run.waiting.countByModel(), context_.now());
    for (const ItemStall& stall : changes.begun) {
      context_.logEvent(TraceEvent("ItemsStalled", Severity::Warning)
                            .field("batch", key.first)
                            .field("run_epoch", key.second)
                            .field("tenant", run.assignment.tenant)
                            .field("model", stall.model)
                            .field("waiting", stall.waiting)
                            .field("age_ms", stall.age)
                            .field("obstacle", stall.obstacle));
    }
    for (const std::string& model : changes.ended) {
      context_.logEvent(TraceEvent("ItemsResumed").field("batch", key.first).field("model", model));
    }
    stalledItems += run.stalls.stalledItems();
  }
  context_.counters().set("batch_items_stalled", stalledItems);
}

void BatchRunnerCore::retryRejected() {
  for (auto& [key, run] : runs_.runs()) {
    run.waiting.returnDueItems(context_.now());
  }
  for (const RunKey& key : runs_.keys()) {
    executor_.startWaitingItems(key);
  }
}

}  // namespace shedshed
