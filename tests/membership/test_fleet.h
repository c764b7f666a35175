/// @file
/// A fleet of directory cores on a test harness with a manual clock, with kills, stalls and network
/// partitions.
#pragma once

#include "core_harness.h"
#include "membership/directory_core.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace shedshed::test {

class TestFleet {
 public:
  explicit TestFleet(DirectoryOptions options = {}) : options_(options) {
    harness.filter = [this](const Harness::Envelope& envelope) { return passes(envelope); };
  }

  /// Starts or restarts node @p index; nodes 0, 1 and 2 are the seeds.
  DirectoryCore& start(int index, NodeRole role = NodeRole::Data) {
    NodeInfo info;
    info.id = id(index);
    info.role = role;
    info.zone = "z" + std::to_string(index % 3);
    HarnessContext& context = harness.context(info.id.address, ServiceId::Directory);
    contexts_[info.id] = &context;
    std::vector<NodeId> seeds = {id(0), id(1), id(2)};
    cores[info.id] = std::make_unique<DirectoryCore>(context, info, seeds, options_);
    harness.attach(context, *cores[info.id]);
    cores[info.id]->start();
    return *cores[info.id];
  }

  /// Starts @p data data nodes and then @p stores store nodes, and lets them discover each other.
  void form(int data, int stores) {
    for (int i = 0; i < data + stores; ++i) {
      start(i, i < data ? NodeRole::Data : NodeRole::Store);
    }
    advance(5);
  }

  void kill(int index) {
    cores.erase(id(index));
    contexts_[id(index)] = &harness.context(id(index).address, ServiceId::Directory);
  }

  /// Stops a node's timers and queues its messages until `resume`.
  void stall(int index) {
    stalledTimers_[id(index)] = std::move(contexts_[id(index)]->timers);
    contexts_[id(index)]->timers.clear();
  }
  void resume(int index) {
    contexts_[id(index)]->timers = stalledTimers_[id(index)];
    stalledTimers_.erase(id(index));
    for (Harness::Envelope& envelope : undelivered_[id(index)]) {
      harness.queue.push_back(std::move(envelope));
    }
    undelivered_.erase(id(index));
  }

  void advance(int seconds) { harness.advance(std::chrono::seconds(seconds)); }

  NodeState stateAt(int viewer, int index) {
    const auto table = cores.at(id(viewer))->table();
    const NodeInfo* info = table->find(id(index));
    BOOST_REQUIRE(info != nullptr);
    return info->state;
  }
  std::uint64_t incarnationAt(int viewer, int index) {
    return cores.at(id(viewer))->table()->find(id(index))->incarnation;
  }

  /// Number of running nodes, other than @p index itself, that see it in @p state.
  int countNodesSeeing(int index, NodeState state) {
    int count = 0;
    for (const auto& core : cores) {
      const auto table = core.second->table();
      const NodeInfo* info = table->find(id(index));
      count += core.first != id(index) && info != nullptr && info->state == state ? 1 : 0;
    }
    return count;
  }

  /// Number of ordered pairs of running nodes of which the first sees the second as alive.
  int countAlivePairs() {
    int count = 0;
    for (const auto& core : cores) {
      const auto table = core.second->table();
      for (const NodeInfo& info : table->nodes) {
        const bool running = cores.count(info.id) != 0 && info.id != core.first;
        count += running && info.state == NodeState::Alive ? 1 : 0;
      }
    }
    return count;
  }

  static NodeId id(int index) { return NodeId{"10.0.0." + std::to_string(100 + index) + ":7000"}; }

  Harness harness;
  std::map<NodeId, std::unique_ptr<DirectoryCore>> cores;
  std::set<NodeId> otherPartition;                   ///< Partitioned from all nodes not in the set.
  std::set<std::pair<NodeId, NodeId>> blockedLinks;  ///< Sender and receiver.

 private:
  bool passes(const Harness::Envelope& envelope) {
    if (otherPartition.count(envelope.from) != otherPartition.count(envelope.to) ||
        blockedLinks.count({envelope.from, envelope.to}) != 0) {
      return false;
    }
    if (stalledTimers_.count(envelope.to) != 0) {
      undelivered_[envelope.to].push_back(envelope);
      return false;
    }
    return true;
  }

  DirectoryOptions options_;
  std::map<NodeId, HarnessContext*> contexts_;
  std::map<NodeId, std::map<TimerId, Time>> stalledTimers_;
  std::map<NodeId, std::vector<Harness::Envelope>> undelivered_;
};

}  // namespace shedshed::test
