/// @file
/// Keeps the `GossipStore` of this node in step with those of other nodes.
#pragma once

#include "kernel/core.h"
#include "membership/directory_options.h"
#include "membership/gossip_store.h"
#include "membership/membership_messages.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace shedshed {

/// Spreads this node's changes, passes others' changes on, and pulls what is missing.
///
/// Spreading. A change goes to `directTargets` nodes. In a fleet with more peers each node that
/// finds it new passes it on to `forwardTargets` random ones, so that no node has links to all.
/// Comparing. Two nodes compare the hash of their version vectors; if it differs, in a large fleet
/// the hashes of its buckets; then the vectors of the buckets that differ; then each sends the
/// records that the other lacks. The cost follows what differs, not the size of the fleet.
class GossipExchange {
 public:
  /// @p hidden returns the origins that are not to be offered to others; @p livePeers the nodes
  /// that changes are passed on to; @p ownRecordSeen is called with the version of each record of
  /// this node that another one holds. All references must outlive the exchange.
  GossipExchange(CoreContext& context, GossipStore& store, const DirectoryOptions& options,
                 std::function<std::set<NodeId>()> hidden,
                 std::function<std::vector<NodeId>()> livePeers,
                 std::function<void(const GossipVersion&)> ownRecordSeen);

  /// Handles the messages of the exchange.
  /// @return false if @p message is none of them.
  bool receive(const NodeId& from, const Message& message);

  /// Starts a comparison with each of @p peers.
  void compareWith(const std::vector<NodeId>& peers);

  /// Sends this node's records that are newer than @p sinceSequence, all of them for 0, to each of
  /// @p targets, or to `directTargets` of them that pass the records on.
  void spreadOwn(std::uint32_t sinceSequence, std::vector<NodeId> targets);

  /// Passes on the changes that arrived since the last time. Called by the owner when the timer
  /// that it started with @p timer has run out.
  void forwardPending();

  /// Sets the timer of the owner's core that ends a pause between two forwards.
  void setForwardTimer(TimerId timer) { forwardTimer_ = timer; }

  /// Drops an origin and refuses to learn the same run of it again.
  void forget(const NodeId& origin);

 private:
  void onCompare(const NodeId& from, const CompareRequest& request);
  void onBucketHashes(const NodeId& from, const BucketHashes& theirs);
  void onVector(const NodeId& from, const VectorReply& reply);
  void onDeltas(const NodeId& from, const DeltaBatch& batch);
  void onDeltaRequest(const NodeId& from, const DeltaRequest& request);
  /// @return false if records between the ones held and those of @p delta are missing
  bool applyDelta(const NodeId& from, const GossipDelta& delta, bool spreads);
  void passOn(const GossipDelta& delta);
  void introduceTo(const std::vector<NodeId>& newcomers);
  void sendDeltas(const NodeId& to, std::vector<GossipDelta> deltas);
  bool isNews(const VectorEntry& entry) const;
  bool isLargeFleet() const { return store_.originCount() > options_.directTargets; }
  std::uint64_t vectorHash() const;

  CoreContext& context_;
  GossipStore& store_;
  const DirectoryOptions options_;
  const NodeId self_;
  std::function<std::set<NodeId>()> hidden_;
  std::function<std::vector<NodeId>()> livePeers_;
  std::function<void(const GossipVersion&)> ownRecordSeen_;
  std::map<NodeId, GossipVersion> forgotten_;
  std::vector<NodeId> newcomers_;     ///< Learned from others in the present message.
  std::vector<GossipDelta> pending_;  ///< To be passed on.
  TimerId forwardTimer_ = 0;
  bool forwardTimerRuns_ = false;
};

}  // namespace shedshed
