/// @file
/// Keeps the `GossipRecordStore` of this node consistent with those of other nodes.
#pragma once

#include "kernel/core.h"
#include "membership/directory_options.h"
#include "membership/gossip_forwarder.h"
#include "membership/gossip_record_store.h"
#include "membership/membership_messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace shedshed {

/// Disseminates the changes of this node, forwards those of others, and pulls missing records.
///
/// Dissemination: a change is pushed to `pushFanout` nodes. In a fleet with more peers each node
/// that it is new to forwards it to `forwardFanout` random ones, so that no node needs connections
/// to all others.
///
/// Anti-entropy: two nodes compare the digest of their version vectors; if it differs, in a large
/// fleet the digests of its buckets; then the vectors of the buckets that differ; then each sends
/// the records that the other lacks. The cost depends on the differences, not on the size of the
/// fleet. Lost and duplicate messages are harmless: records are applied by version, and the next
/// comparison finds what is still missing.
///
/// Not thread-safe.
class GossipExchange {
 public:
  /// Callbacks to the owner of the exchange.
  class Delegate {
   public:
    virtual ~Delegate() = default;

    /// The origins whose records are not offered to other nodes.
    virtual std::set<NodeId> withheldOrigins() const = 0;

    /// The live nodes that changes are forwarded to. Valid until the next call.
    virtual const std::vector<NodeId>& gossipPeers() = 0;

    /// Called with the version of each record of this node that another one has.
    virtual void onOwnVersionSeen(const GossipVersion& seen) = 0;
  };

  /// @p forwardTimer is a timer of the owning core, which calls `forwardPending` when it expires.
  /// All references must outlive the exchange.
  GossipExchange(CoreContext& context, GossipRecordStore& store, const DirectoryOptions& options,
                 Delegate& delegate, TimerId forwardTimer);

  /// Handles the messages of the exchange.
  /// @return false if @p message is none of them.
  bool receive(const NodeId& from, const Message& message);

  /// Starts a comparison with each of @p peers.
  void requestComparison(const std::vector<NodeId>& peers);

  /// Pushes this node's records that are newer than @p sinceSequence, all of them for 0, to each of
  /// @p targets, or to `pushFanout` of them that forward the records.
  void pushOwnRecords(std::uint32_t sinceSequence, std::vector<NodeId> targets);

  /// Forwards the changes that arrived since the last call; called when the forward timer expires.
  void forwardPending();

  /// Removes an origin. Records of the same run are accepted again only if they are newer.
  void evict(const NodeId& origin);

 private:
  void onDigestRequest(const NodeId& from, const DigestRequest& request);
  void onDigestReply(const NodeId& from, const DigestReply& theirs);
  void onVersionVector(const NodeId& from, const VersionVectorReply& reply);
  void onDeltaBatch(const NodeId& from, const DeltaBatch& batch);
  void onDeltaRequest(const NodeId& from, const DeltaRequest& request);
  /// @return false if records between the stored ones and those of @p delta are missing
  bool applyDelta(const NodeId& from, const GossipDelta& delta, bool forward);
  /// Pushes this node's records to nodes that were learned from a third one.
  void introduceTo(const std::vector<NodeId>& joiningNodes);
  void sendDeltas(const NodeId& to, std::vector<GossipDelta> deltas);
  bool isUpdate(const VersionVectorEntry& entry) const;
  bool isLargeFleet() const { return store_.originCount() > options_.pushFanout; }
  std::uint64_t digest() const;

  CoreContext& context_;
  GossipRecordStore& store_;
  const DirectoryOptions options_;
  Delegate& delegate_;
  const NodeId self_;
  GossipForwarder forwarder_;
  /// Version of each evicted origin at its eviction.
  std::map<NodeId, GossipVersion> evictedVersions_;
  std::vector<NodeId> joiningNodes_;  ///< New in the current message, learned from a third node.
};

}  // namespace shedshed
