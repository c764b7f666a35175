#include "batch/run_heartbeats.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Heartbeats whose time of sending is remembered.
constexpr std::size_t kMaxOpenHeartbeats = 256;

}  // namespace

void RunHeartbeats::send() {
  std::map<NodeId, RunHeartbeat> perOwner;
  const Time now = context_.now();
  lastSent_ = now;
  for (auto& [key, run] : runs_.runs()) {
    if (run.ended) {
      continue;
    }
    if (run.heartbeatInFlight && now - run.heartbeatSent >= options_.heartbeat) {
      locator_.failed(run.partition, runs_.ownerOf(run));
      ++run.locatorAttempt;
    }
    const NodeId owner = runs_.ownerOf(run);
    if (owner.empty()) {
      continue;
    }
    run.heartbeatInFlight = true;
    run.heartbeatSent = now;
    perOwner[owner].runs.push_back(reportOf(key, run));
  }
  for (auto& [owner, heartbeat] : perOwner) {
    heartbeat.number = nextNumber_++;
    sent_[heartbeat.number] = now;
    context_.send(owner, heartbeat);
  }
  while (sent_.size() > kMaxOpenHeartbeats) {
    sent_.erase(sent_.begin());
  }
}

void RunHeartbeats::sendIfDue() {
  if (context_.now() - lastSent_ >= options_.heartbeat) {
    send();
  }
}

RunReport RunHeartbeats::reportOf(const RunKey& key, const BatchRun& run) const {
  RunReport report{runs_.idOf(key), items_.nextAttempt(), {}};
  for (const auto& [position, item] : run.items) {
    report.attemptsInFlight.push_back({position, item.attempt});
  }
  return report;
}

void RunHeartbeats::onReply(const NodeId& from, const RunHeartbeatReply& reply) {
  const auto sent = sent_.find(reply.number);
  if (sent == sent_.end()) {
    return;
  }
  const Time sentAt = sent->second;
  for (const RunHeartbeatResult& answer : reply.runs) {
    applyResult(from, sentAt, answer);
  }
}

void RunHeartbeats::applyResult(const NodeId& from, Time sent, const RunHeartbeatResult& answer) {
  const RunKey key{answer.batchId, answer.runEpoch};
  BatchRun* run = runs_.find(key);
  if (run == nullptr || run->ended) {
    return;
  }
  switch (static_cast<RunStatus>(answer.status)) {
  case RunStatus::Active:
    run->heartbeatInFlight = false;
    run->leaseEnd = std::max(run->leaseEnd, sent + options_.lease);
    items_.startWaitingItems(key);
    break;
  case RunStatus::Stopped:
    run->heartbeatInFlight = false;
    run->stopped = true;
    items_.stopStarting(key, *run);
    break;
  case RunStatus::Ended:
    run->ended = true;
    items_.stopStarting(key, *run);
    runs_.removeIfDone(key);
    break;
  case RunStatus::NotOwner:
    if (!answer.owner.empty() && answer.owner != from) {
      locator_.redirected(run->partition, answer.owner);
      run->locatorAttempt = 0;
      run->heartbeatInFlight = false;
    }
    break;
  }
}

}  // namespace shedshed
