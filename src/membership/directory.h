/// @file
/// The node directory as other services see it.
#pragma once

#include "kernel/node_id.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace shedshed {

/// Role of a node. The numeric values are part of the wire format.
enum class NodeRole : std::uint8_t {
  Data = 1,      ///< `shedshed-data`: client HTTP, routing, batch runners.
  Register = 2,  ///< `shedshed-control` on a small disk: acceptor of the registers only.
  Store = 3,     ///< `shedshed-control` on a store machine: acceptor and partitions.
};

/// State of a node as this node sees it. The numeric values are part of the wire format.
enum class NodeState : std::uint8_t {
  Alive = 1,
  Suspect = 2,   ///< One monitor suspects it; still counts as live.
  Draining = 3,  ///< Alive, accepts no new work.
  Dead = 4,      ///< Confirmed by more than one monitor, or departed.
};

/// One node of the fleet.
struct NodeInfo {
  NodeId id;
  NodeRole role = NodeRole::Data;
  NodeState state = NodeState::Alive;
  std::string zone;
  std::uint64_t incarnation = 0;  ///< Rises at each restart and each refutation.
  std::string storeId;            ///< Random id of the data folder; empty without a disk.
  std::string operatorsAddress;   ///< "a.b.c.d:port" of the operators' HTTP; may be empty.
  std::string clientAddress;      ///< "a.b.c.d:port" of the client HTTP; data nodes only.
  std::string name;               ///< Name of the machine for operators; may be empty.

  MSGPACK_DEFINE(id, role, state, zone, incarnation, storeId, operatorsAddress, clientAddress,
                 name);
};

/// An immutable list of all known nodes, sorted by id.
struct NodeTable {
  std::vector<NodeInfo> nodes;

  /// Returns the ids of nodes with @p role whose state is not `Dead`, sorted.
  std::vector<NodeId> live(NodeRole role) const;

  /// Returns the ids of all nodes with @p role, sorted. Dead nodes are included: they may only be
  /// stalled or isolated.
  std::vector<NodeId> known(NodeRole role) const;

  /// Returns the node or nullptr.
  const NodeInfo* find(const NodeId& id) const;
};

/// Read access to the directory. `table` may be called by any thread; the rest only on the core
/// thread.
class Directory {
 public:
  virtual ~Directory() = default;

  /// The current table; never null.
  virtual std::shared_ptr<const NodeTable> table() const = 0;

  /// Calls @p listener on the core thread after each change of the table.
  virtual void addListener(std::function<void(const NodeTable&)> listener) = 0;

  /// True while a monitored node that is not confirmed dead has left a ping unacknowledged for more
  /// than one interval. Either that node has failed or this one is isolated, so what this node has
  /// received from others may be stale.
  virtual bool hasUnresponsivePeers() const { return false; }

  /// Announces that this node drains (true) or accepts work again.
  virtual void announceDraining(bool draining) = 0;
};

}  // namespace shedshed

MSGPACK_ADD_ENUM(shedshed::NodeRole);
MSGPACK_ADD_ENUM(shedshed::NodeState);
