#include "batch/run_heartbeats.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Maximum number of heartbeats whose send time is kept.
constexpr std::size_t kMaxTrackedHeartbeats = 256;

}  // namespace

void RunHeartbeats::send() {
  std::map<NodeId, RunHeartbeat> heartbeatsByOwner;
  const Time now = context_.now();
  lastSent_ = now;
  for (auto& [key, run] : runs_.runs()) {
    if (run.ended) {
      continue;
    }
    if (run.heartbeatInFlight && now - run.heartbeatSent >= options_.heartbeatInterval) {
      locator_.failed(run.partition, runs_.ownerOf(run));
      ++run.locatorAttempt;
    }
    const NodeId owner = runs_.ownerOf(run);
    if (owner.empty()) {
      continue;
    }
    run.heartbeatInFlight = true;
    run.heartbeatSent = now;
    heartbeatsByOwner[owner].runs.push_back(reportOf(key, run));
  }
  for (auto& [owner, heartbeat] : heartbeatsByOwner) {
    heartbeat.number = nextNumber_++;
    sentAt_[heartbeat.number] = now;
    context_.send(owner, heartbeat);
  }
  while (sentAt_.size() > kMaxTrackedHeartbeats) {
    sentAt_.erase(sentAt_.begin());
  }
}

void RunHeartbeats::sendIfDue() {
  if (context_.now() - lastSent_ >= options_.heartbeatInterval) {
    send();
  }
}

RunReport RunHeartbeats::reportOf(const RunKey& key, const BatchRun& run) const {
  RunReport report{runs_.idOf(key), executor_.nextAttempt(), {}};
  for (const auto& [position, item] : run.items) {
    report.attemptsInFlight.push_back({position, item.attempt});
  }
  return report;
}

void RunHeartbeats::onReply(const NodeId& from, const RunHeartbeatReply& reply) {
  const auto sent = sentAt_.find(reply.number);
  if (sent == sentAt_.end()) {
    return;
  }
  const Time sentAt = sent->second;
  for (const RunHeartbeatResult& result : reply.runs) {
    applyResult(from, sentAt, result);
  }
}

void RunHeartbeats::applyResult(const NodeId& from, Time sent, const RunHeartbeatResult& result) {
  const RunKey key{result.batchId, result.runEpoch};
  BatchRun* run = runs_.find(key);
  if (run == nullptr || run->ended) {
    return;
  }
  switch (static_cast<RunStatus>(result.status)) {
  case RunStatus::Active:
    run->heartbeatInFlight = false;
    run->leaseEnd = std::max(run->leaseEnd, sent + options_.leaseDuration);
    executor_.startWaitingItems(key);
    break;
  case RunStatus::Stopped:
    run->heartbeatInFlight = false;
    run->stopped = true;
    executor_.stopStarting(key, *run);
    break;
  case RunStatus::Ended:
    run->ended = true;
    executor_.stopStarting(key, *run);
    runs_.removeIfDone(key);
    break;
  case RunStatus::NotOwner:
    if (!result.owner.empty() && result.owner != from) {
      locator_.redirected(run->partition, result.owner);
      run->locatorAttempt = 0;
      run->heartbeatInFlight = false;
    }
    break;
  }
}

}  // namespace shedshed
