#include "engines/engine_health_table.h"

#include <algorithm>
#include <utility>

namespace shedshed {
namespace {

bool sameEngines(const EngineTable& left, const EngineTable& right) {
  const auto same = [](const EngineInfo& a, const EngineInfo& b) {
    return a.id == b.id && a.address == b.address && a.model == b.model &&
           a.maxRunning == b.maxRunning && a.running == b.running && a.state == b.state;
  };
  return std::equal(left.engines.begin(), left.engines.end(), right.engines.begin(),
                    right.engines.end(), same);
}

}  // namespace

EngineHealthTable::EngineHealthTable(CoreContext& context, TimerId rebuildTimer,
                                     Duration minRebuildInterval)
    : context_(context), rebuildTimer_(rebuildTimer), minRebuildInterval_(minRebuildInterval),
      table_(std::make_shared<const EngineTable>()) {}

void EngineHealthTable::addListener(std::function<void(const EngineTable&)> listener) {
  listeners_.push_back(std::move(listener));
}

void EngineHealthTable::setListing(EngineListing listing) {
  listing_ = std::move(listing);
  scheduleRebuild();
}

void EngineHealthTable::setReport(const NodeId& checker, EngineHealthReport report,
                                  const NodeTable& nodes) {
  reports_.set(checker, std::move(report));
  updateDeadCheckers(nodes);
  scheduleRebuild();
}

void EngineHealthTable::setOwnReport(EngineHealthReport report) {
  reports_.setOwn(std::move(report));
  scheduleRebuild();
}

void EngineHealthTable::updateDeadCheckers(const NodeTable& nodes) {
  for (const NodeInfo& node : nodes.nodes) {
    if (reports_.setDead(node.id, node.state == NodeState::Dead, context_.now())) {
      scheduleRebuild();
    }
  }
}

void EngineHealthTable::expireDeadCheckers(Duration expiry) {
  if (reports_.expire(context_.now(), expiry)) {
    scheduleRebuild();
  }
}

void EngineHealthTable::scheduleRebuild() {
  if (rebuildScheduled_) {
    return;
  }
  rebuildScheduled_ = true;
  const Duration sinceLast = context_.now() - lastRebuild_;
  if (sinceLast < minRebuildInterval_) {
    context_.startTimer(rebuildTimer_, minRebuildInterval_ - sinceLast);
    return;
  }
  const std::weak_ptr<int> lifetime = lifetime_;
  context_.defer([this, lifetime] {
    if (lifetime.lock() != nullptr) {
      rebuild();
    }
  });
}

void EngineHealthTable::rebuild() {
  rebuildScheduled_ = false;
  lastRebuild_ = context_.now();
  auto next = std::make_shared<EngineTable>(reports_.merge(listing_));
  if (sameEngines(*next, *table_.read())) {
    return;
  }
  table_.publish(next);
  for (const auto& listener : listeners_) {
    listener(*next);
  }
}

}  // namespace shedshed
