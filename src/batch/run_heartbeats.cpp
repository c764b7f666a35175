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
    if (run.heartbeatOpen && now - run.heartbeatSent >= options_.heartbeat) {
      locator_.failed(run.partition, runs_.ownerOf(run));
      ++run.locatorAttempt;
    }
    const NodeId owner = runs_.ownerOf(run);
    if (owner.empty()) {
      continue;
    }
    run.heartbeatOpen = true;
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
  RunReport report{runs_.nameOf(key), items_.nextAttempt(), {}};
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
  for (const RunAnswer& answer : reply.runs) {
    applyVerdict(from, sentAt, answer);
  }
}

void RunHeartbeats::applyVerdict(const NodeId& from, Time sent, const RunAnswer& answer) {
  const RunKey key{answer.batchId, answer.runEpoch};
  BatchRun* run = runs_.find(key);
  if (run == nullptr || run->ended) {
    return;
  }
  switch (static_cast<RunVerdict>(answer.verdict)) {
  case RunVerdict::Active:
    run->heartbeatOpen = false;
    run->leaseEnd = std::max(run->leaseEnd, sent + options_.lease);
    items_.startWaitingItems(key);
    break;
  case RunVerdict::Stopped:
    run->heartbeatOpen = false;
    run->stopped = true;
    items_.stopStarting(key, *run);
    break;
  case RunVerdict::Ended:
    run->ended = true;
    items_.stopStarting(key, *run);
    runs_.forgetIfDone(key);
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

}  // namespace shedshed
