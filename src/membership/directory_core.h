/// @file
/// The directory: the members of the fleet, their liveness, and the gossip that disseminates both.
///
/// Dissemination and anti-entropy: see `GossipExchange`. Failure detection follows SWIM: see
/// `PeerMonitor` for the pings and `FailureDetector` for the evaluation of the suspicions.
///
/// Computed traffic at 390 nodes, payload bytes per node: pings 2 x 3 x ~12 B/s and digests
/// 2 x ~12 B/s: ~100 B/s; a difference costs 64 digests of 8 B and the entries of the buckets that
/// differ, ~6 x 32 B each; a change of ~150 B is received and forwarded four times: ~1.2 KB.
#pragma once

#include "kernel/core.h"
#include "membership/directory.h"
#include "membership/directory_options.h"
#include "membership/gossip_exchange.h"
#include "membership/gossip_peers.h"
#include "membership/gossip_record_store.h"
#include "membership/gossip_topics.h"
#include "membership/local_node.h"
#include "membership/node_table_publisher.h"
#include "membership/peer_monitor.h"
#include "membership/topic_subscriptions.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// The directory service of one node: connects the local record, the gossip, the failure detector
/// and the published table. It persists nothing: a restarted node rejoins through its seeds and
/// takes an incarnation above the last one that others know (see `LocalNode`).
class DirectoryCore : public Core,
                      public Directory,
                      public GossipTopics,
                      private GossipExchange::Delegate {
 public:
  /// @p self describes this node; its incarnation and state are set by the core. @p seeds are the
  /// nodes through which it joins. @p context must outlive the core.
  DirectoryCore(CoreContext& context, NodeInfo self, std::vector<NodeId> seeds,
                DirectoryOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  std::shared_ptr<const NodeTable> table() const override { return publisher_.table(); }
  void addListener(std::function<void(const NodeTable&)> listener) override;
  void announceDraining(bool draining) override;
  bool hasUnresponsivePeers() const override { return monitor_.hasUnresponsiveNode(*table()); }

  void publish(const std::string& topic, const std::string& bytes) override;
  void subscribe(const std::string& topic, Listener listener) override;

 private:
  std::set<NodeId> withheldOrigins() const override { return publisher_.withheldNodes(); }
  const std::vector<NodeId>& gossipPeers() override { return peers_.live(table()); }
  void onOwnVersionSeen(const GossipVersion& seen) override;

  void onPing(const NodeId& from, const Ping& ping);
  void onPong(const NodeId& from, const Pong& pong);

  void onRecordChanged(const NodeId& origin, const GossipVersion& version, const std::string& topic,
                       const std::string& bytes);
  void onInterval();
  void pingMonitoredNodes();
  /// Pings some of the nodes that this node has confirmed dead, so that they can refute it.
  void notifyDeadNodes();
  void publishSuspicions();
  void startAntiEntropy();
  void evictExpiredNodes();

  /// Takes a higher incarnation if @p deadIncarnation is the current one or a later one.
  void refuteDeath(std::uint64_t deadIncarnation);
  void raiseIncarnationAbove(std::uint64_t incarnation);

  /// The incarnation of @p node that is confirmed dead here; 0, as on the wire, if it is not.
  std::uint64_t deadIncarnationOf(const NodeId& node) const;
  std::vector<NodeId> deadNodes() const { return otherNodes(*table(), local_.id(), true); }
  std::string encodedLocalNode() const;

  CoreContext& context_;
  const DirectoryOptions options_;
  LocalNode local_;
  GossipPeers peers_;
  GossipRecordStore store_;
  GossipExchange exchange_;
  PeerMonitor monitor_;
  NodeTablePublisher publisher_;
  TopicSubscriptions subscriptions_;
  std::uint64_t intervals_ = 0;  ///< Number of ping intervals since the start.
};

}  // namespace shedshed
