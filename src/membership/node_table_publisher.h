/// @file
/// Derives the node table from the records of all nodes and publishes it on this node.
#pragma once

#include "kernel/core.h"
#include "kernel/snapshot.h"
#include "membership/directory.h"
#include "membership/directory_options.h"
#include "membership/failure_detector.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Owns the records of all nodes and the failure detector, and publishes the node table derived
/// from both. Core thread only, except `table`.
class NodeTablePublisher {
 public:
  /// @p context must outlive the publisher.
  NodeTablePublisher(CoreContext& context, const DirectoryOptions& options);

  /// The published table; never null. May be called by any thread.
  std::shared_ptr<const NodeTable> table() const { return table_.read(); }

  /// Calls @p listener after each change of the published table.
  void addListener(std::function<void(const NodeTable&)> listener);

  void setOwnRecord(const NodeInfo& info);

  /// Stores the encoded `NodeInfo` that @p origin published; ignores one that cannot be decoded or
  /// names another node.
  void setRecord(const NodeId& origin, const std::string& bytes);

  /// Stores the encoded `SuspicionList` of @p monitor. Bytes that cannot be decoded count as an
  /// empty list.
  void setSuspicions(const NodeId& monitor, const std::string& bytes);

  /// Publishes a new table if records or suspicions have changed since the last call.
  void refresh();

  /// Removes the nodes that have been confirmed dead for `deadNodeRetention`, and returns them.
  std::vector<NodeId> removeExpired();

  /// The nodes that were confirmed dead so long ago that they are no longer offered to other nodes.
  /// This starts before their eviction, so that a node that has evicted one does not receive it
  /// again.
  std::set<NodeId> withheldNodes() const;

 private:
  CoreContext& context_;
  const DirectoryOptions options_;
  std::map<NodeId, NodeInfo> records_;  ///< As published by each node.
  FailureDetector detector_;
  bool changed_ = false;  ///< Records or suspicions differ from those of the published table.
  Snapshot<NodeTable> table_;
  std::vector<std::function<void(const NodeTable&)>> listeners_;
};

}  // namespace shedshed
