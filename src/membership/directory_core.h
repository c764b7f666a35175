/// @file
/// The directory: who is in the fleet, who lives, and the gossip that carries it.
///
/// Dissemination: see `GossipExchange`. Each interval a node compares the hash of its version
/// vector with one random live node.
///
/// Computed traffic at 390 nodes, payload bytes per node: pings 2 x 3 x ~12 B/s and hashes
/// 2 x ~12 B/s: ~100 B/s; a difference costs 64 hashes of 8 B and the entries of the buckets that
/// differ, ~6 x 32 B each; a change of ~150 B is received and passed on four times: ~1.2 KB.
#pragma once

#include "kernel/core.h"
#include "kernel/snapshot.h"
#include "membership/directory.h"
#include "membership/directory_options.h"
#include "membership/gossip_exchange.h"
#include "membership/gossip_store.h"
#include "membership/gossip_topics.h"
#include "membership/liveness.h"
#include "membership/peer_monitor.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// The directory service of one node.
///
/// Incarnations rise without a clock or a disk: the upper bits count, the lower ones are random
/// for each run. A node that meets a record of itself which it did not write (from an earlier run)
/// or a doubt about its present incarnation takes a count above it and sends its records anew.
class DirectoryCore : public Core, public Directory, public GossipTopics {
 public:
  /// @p self describes this node; its incarnation and state are set by the core. @p seeds are the
  /// nodes asked first. @p context must outlive the core.
  DirectoryCore(CoreContext& context, NodeInfo self, std::vector<NodeId> seeds,
                DirectoryOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  std::shared_ptr<const NodeTable> table() const override { return table_.read(); }
  void addListener(std::function<void(const NodeTable&)> listener) override;
  void announceDraining(bool draining) override;
  bool missesPeers() const override { return monitor_.missesAny(*table()); }

  void publish(const std::string& topic, const std::string& bytes) override;
  void subscribe(const std::string& topic, Listener listener) override;

 private:
  void onPing(const NodeId& from, const Ping& ping);
  void onPong(const NodeId& from, const Pong& pong);
  void onDoubt(std::uint64_t doubtedIncarnation);

  void recordChanged(const NodeId& origin, const GossipVersion& version, const std::string& topic,
                     const std::string& bytes);
  void setNode(const NodeId& origin, const std::string& bytes);
  void tick();
  void pingWatched();
  /// Tells some of the nodes that are held dead here that they are, so that they can refute it.
  void doubtTheDead();
  void publishSuspicions();
  void compareWithSomeone();
  void forgetOldDead();
  void raiseAbove(std::uint64_t incarnation);
  void checkOwnRecord(const GossipVersion& seen);
  void refreshTable();

  std::set<NodeId> hiddenOrigins() const;
  std::uint64_t doubtAbout(const NodeId& node) const;
  std::vector<NodeId> peers(bool dead) const;
  /// The live nodes that this one compares itself with and passes changes on to: all of a small
  /// fleet, `directTargets` of a large one, so that it has few links.
  const std::vector<NodeId>& gossipPeers();
  std::string ownNodeBytes() const;

  CoreContext& context_;
  const DirectoryOptions options_;
  std::vector<NodeId> seeds_;
  NodeInfo self_;
  const std::uint64_t runTag_;  ///< Random lower bits of this run's incarnations.
  GossipStore store_;
  GossipExchange exchange_;
  PeerMonitor monitor_;
  Liveness liveness_;
  std::map<NodeId, NodeInfo> nodes_;  ///< What each node says of itself.
  std::vector<Suspicion> publishedSuspicions_;
  bool dirty_ = false;  ///< Something that the table is made of has changed.
  Snapshot<NodeTable> table_;
  std::vector<std::function<void(const NodeTable&)>> listeners_;
  std::map<std::string, std::vector<Listener>> subscribers_;
  std::uint64_t ticks_ = 0;
  std::shared_ptr<const NodeTable> gossipPeersOf_;  ///< The table that `gossipPeers_` follows from.
  std::vector<NodeId> gossipPeers_;
};

}  // namespace shedshed
