#include "batch/batch_runner_core.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Heartbeats whose time of sending is remembered.
constexpr std::size_t kMaxOpenHeartbeats = 256;

/// A page of items that did not come is asked for again after this time.
constexpr Duration kFetchTimeout = std::chrono::seconds(1);

/// Pages of waiting items that a run keeps at most.
constexpr std::size_t kMaxQueuedPages = 4;

}  // namespace

BatchRunnerCore::BatchRunnerCore(CoreContext& context, OwnerLocator& locator, SlotClient& slots,
                                 EngineRunner& engines, ConfigurationSource& configuration,
                                 BatchRunnerOptions options)
    : context_(context), locator_(locator), slots_(slots), engines_(engines),
      settings_(configuration), options_(options) {}

void BatchRunnerCore::start() {
  incarnation_ = context_.random()() | 1U;  // Never 0, which means "not known".
  context_.startTimer(kTickTimer, options_.tick);
}

void BatchRunnerCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<AssignRun>(message, [&](const AssignRun& assign) { onAssign(from, assign); }) ||
      dispatchMessage<RunHeartbeatReply>(
          message, [&](const RunHeartbeatReply& reply) { onHeartbeatReply(from, reply); }) ||
      dispatchMessage<ItemsPage>(message, [&](const ItemsPage& page) { onItems(page); }) ||
      dispatchMessage<StartReply>(message, [&](const StartReply& reply) { onStartReply(reply); }) ||
      dispatchMessage<FinishReply>(message,
                                   [&](const FinishReply& reply) { onFinishReply(reply); });
}

void BatchRunnerCore::timerExpired(TimerId timer) {
  if (timer == kTickTimer) {
    tick();
    context_.startTimer(kTickTimer, options_.tick);
  } else {
    retryRefused();
  }
}

void BatchRunnerCore::drain() {
  draining_ = true;
  for (auto& entry : runs_) {
    entry.second.queue.clear();
    entry.second.requeued.clear();
  }
}

bool BatchRunnerCore::idle() const {
  return std::all_of(runs_.begin(), runs_.end(),
                     [](const auto& entry) { return entry.second.items.empty(); });
}

std::uint32_t BatchRunnerCore::pageSize() const {
  return 2 * options_.itemsPerBatch;
}

bool BatchRunnerCore::handedBack() const {
  return std::all_of(runs_.begin(), runs_.end(),
                     [](const auto& entry) { return entry.second.ended; });
}

BatchRunnerCore::Run* BatchRunnerCore::find(const RunKey& key) {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

RunName BatchRunnerCore::nameOf(const RunKey& key) const {
  return RunName{key.first, key.second, incarnation_};
}

NodeId BatchRunnerCore::ownerOf(const Run& run) const {
  return locator_.candidate(run.partition, run.locatorAttempt);
}

bool BatchRunnerCore::mayStart(const Run& run) const {
  return !draining_ && !run.stopped && !run.ended && context_.now() < run.leaseEnd;
}

void BatchRunnerCore::onAssign(const NodeId& from, const AssignRun& assign) {
  const RunKey key{assign.batchId, assign.runEpoch};
  const auto newer = runs_.upper_bound(key);
  const bool superseded = newer != runs_.end() && newer->first.first == assign.batchId;
  if (superseded || runs_.count(key) != 0) {
    return;
  }
  for (auto& entry : runs_) {
    if (entry.first.first == assign.batchId && !entry.second.ended) {
      entry.second.ended = true;
      stopStarting(entry.first, entry.second);
    }
  }
  Run& run = runs_[key];
  run.assignment = assign;
  run.due = context_.now() + std::chrono::milliseconds(assign.dueInMilliseconds);
  run.partition = partitionOf(TableKind::Batches, assign.batchId);
  locator_.redirected(run.partition, from);
  // The assignment may be old: the lease begins with the first acknowledged heartbeat.
  sendHeartbeats();
}

void BatchRunnerCore::sendHeartbeats() {
  std::map<NodeId, RunHeartbeat> perOwner;
  const Time now = context_.now();
  lastHeartbeat_ = now;
  for (auto& [key, run] : runs_) {
    if (run.ended) {
      continue;
    }
    if (run.heartbeatOpen && now - run.heartbeatSent >= options_.heartbeat) {
      locator_.failed(run.partition, ownerOf(run));
      ++run.locatorAttempt;
    }
    const NodeId owner = ownerOf(run);
    if (owner.empty()) {
      continue;
    }
    run.heartbeatOpen = true;
    run.heartbeatSent = now;
    RunReport report{nameOf(key), nextAttempt_, {}};
    for (const auto& [position, item] : run.items) {
      report.attemptsInFlight.push_back({position, item.attempt});
    }
    perOwner[owner].runs.push_back(std::move(report));
  }
  for (auto& [owner, heartbeat] : perOwner) {
    heartbeat.number = nextHeartbeat_++;
    heartbeatsSent_[heartbeat.number] = now;
    context_.send(owner, heartbeat);
  }
  while (heartbeatsSent_.size() > kMaxOpenHeartbeats) {
    heartbeatsSent_.erase(heartbeatsSent_.begin());
  }
}

void BatchRunnerCore::onHeartbeatReply(const NodeId& from, const RunHeartbeatReply& reply) {
  const auto sent = heartbeatsSent_.find(reply.number);
  if (sent == heartbeatsSent_.end()) {
    return;
  }
  const Time sentAt = sent->second;
  for (const RunAnswer& answer : reply.runs) {
    applyAnswer(from, sentAt, answer);
  }
}

void BatchRunnerCore::applyAnswer(const NodeId& from, Time sent, const RunAnswer& answer) {
  const RunKey key{answer.batchId, answer.runEpoch};
  Run* run = find(key);
  if (run == nullptr || run->ended) {
    return;
  }
  switch (static_cast<RunVerdict>(answer.verdict)) {
  case RunVerdict::Active:
    run->heartbeatOpen = false;
    // Counted from before the request was sent, on this node's own clock.
    run->leaseEnd = std::max(run->leaseEnd, sent + options_.lease);
    startWaitingItems(key);
    break;
  case RunVerdict::Stopped:
    run->heartbeatOpen = false;
    run->stopped = true;
    stopStarting(key, *run);
    break;
  case RunVerdict::Ended:
    run->ended = true;
    stopStarting(key, *run);
    forgetIfDone(key);
    break;
  case RunVerdict::NotOwner:
    if (!answer.owner.empty() && answer.owner != from) {
      locator_.redirected(run->partition, answer.owner);
      run->locatorAttempt = 0;
      run->heartbeatOpen = false;
    }
    break;
  }
}

void BatchRunnerCore::stopStarting(const RunKey& key, Run& run) {
  run.queue.clear();
  run.requeued.clear();
  for (auto& [position, item] : run.items) {
    // A start whose answer is still out may or may not be durable: the owner must hear that this
    // attempt will not run.
    if (item.phase == Phase::Starting) {
      revertStart(key, run, position, false);
    }
  }
}

void BatchRunnerCore::onItems(const ItemsPage& page) {
  const RunKey key{page.batchId, page.runEpoch};
  Run* run = find(key);
  if (run == nullptr || !run->fetchSent || page.from != run->fetchFrom) {
    return;
  }
  run->fetchSent.reset();
  run->fetchFrom = page.next;
  for (const UnfinishedItem& item : page.items) {
    if (!isKnown(*run, item.position)) {
      run->queue.push_back({item.position, engines_.modelOf(item.body), item.body, {}});
    }
  }
  if (page.next == 0) {
    // One pass is over; what went back to pending is found by the next one, after a pause.
    run->nextPass = context_.now() + options_.retryPause;
  }
  startWaitingItems(key);
}

void BatchRunnerCore::fetch(const RunKey& key, Run& run) {
  const bool waiting = run.fetchSent && context_.now() - *run.fetchSent < kFetchTimeout;
  const bool passIsOver = run.fetchFrom == 0 && context_.now() < run.nextPass;
  // Items whose model's pool is full stay in the queue; a few pages are looked through for others.
  const bool full = run.queue.size() >= kMaxQueuedPages * pageSize();
  if (waiting || passIsOver || full) {
    return;
  }
  const NodeId owner = ownerOf(run);
  if (owner.empty()) {
    return;
  }
  run.fetchSent = context_.now();
  context_.send(owner, FetchItems{nameOf(key), run.fetchFrom, pageSize()});
}

void BatchRunnerCore::returnIfDrained(const RunKey& key, Run& run) {
  if (!draining_ || run.ended || !run.items.empty()) {
    return;
  }
  // Repeated with each tick until a heartbeat's answer ends the run.
  const NodeId owner = ownerOf(run);
  if (!owner.empty()) {
    context_.send(owner, ReturnRun{nameOf(key)});
  }
}

void BatchRunnerCore::forgetIfDone(const RunKey& key) {
  const Run* run = find(key);
  if (run != nullptr && run->ended && run->items.empty()) {
    runs_.erase(key);
  }
}

void BatchRunnerCore::tick() {
  if (context_.now() - lastHeartbeat_ >= options_.heartbeat) {
    sendHeartbeats();
  }
  std::vector<RunKey> keys;
  for (const auto& entry : runs_) {
    keys.push_back(entry.first);
  }
  for (const RunKey& key : keys) {
    Run* run = find(key);
    if (run == nullptr) {
      continue;
    }
    for (auto& [position, item] : run->items) {
      resendItem(key, *run, position, item);
    }
    returnIfDrained(key, *run);
    recallRequeued(*run);
    startWaitingItems(key);
    forgetIfDone(key);
  }
}

}  // namespace shedshed
