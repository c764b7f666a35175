/// @file
/// Interface of the epoch-fenced replicated partitions, used by the slot and batch services.
#pragma once

#include "kernel/error.h"
#include "kernel/node_id.h"

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// The two kinds of table. The numeric values travel on the wire.
enum class TableKind : std::uint8_t {
  Slots = 1,    ///< In memory on every replica.
  Batches = 2,  ///< Synced to the disk of every replica before it acknowledges.
};

/// Number of partitions of each kind. Fixed for the life of a fleet.
inline constexpr std::uint32_t kPartitionCount = 64;

/// One partition of one kind of table.
struct PartitionId {
  TableKind kind = TableKind::Slots;
  std::uint32_t index = 0;

  bool operator==(const PartitionId& other) const {
    return kind == other.kind && index == other.index;
  }
  bool operator<(const PartitionId& other) const {
    return kind != other.kind ? kind < other.kind : index < other.index;
  }
  MSGPACK_DEFINE(kind, index);
};

/// Returns the partition that holds @p key (a pool's hash or a batch id).
PartitionId partitionOf(TableKind kind, std::string_view key);

/// Returns the stores in the owner order of @p partition: the first live one is to own it.
std::vector<NodeId> ownerOrder(const PartitionId& partition, std::vector<NodeId> stores);

/// One row of a partition's table. An empty optional erases the key.
struct TableEntry {
  std::string key;
  std::optional<std::string> value;
};

/// Completeness of the rows that a new owner has recovered.
enum class RecoveryKind : std::uint8_t {
  Complete,    ///< A majority was intact: every acknowledged row was recovered.
  MemoryLost,  ///< None was: rows may be missing; slot holders re-assert before new grants.
};

/// Row that marks a `Slots` table whose memory was lost and has not been re-asserted yet. A
/// takeover that ends with `MemoryLost` installs it together with the merged table, so that a
/// successor whose replicas all kept that incomplete table sees it, although its own takeover is
/// `Complete`. The slot owner erases it when its holders have re-asserted.
inline constexpr const char* kRecoveringRow = "recovering";

/// Is notified of changes of ownership. Core thread.
class PartitionListener {
 public:
  virtual ~PartitionListener() = default;
  /// This node now owns @p partition at @p epoch; the merged table can be read and written.
  virtual void ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                               RecoveryKind recovery) = 0;
  /// This node no longer owns @p partition; outstanding writes fail with `NotOwner`.
  virtual void ownershipLost(const PartitionId& partition) = 0;
};

/// The local replica of all partitions. Core thread only. Lives on store nodes.
class PartitionStore {
 public:
  virtual ~PartitionStore() = default;

  virtual void setListener(TableKind kind, PartitionListener& listener) = 0;

  /// True while this node believes that it owns @p partition and has finished its takeover.
  virtual bool owns(const PartitionId& partition) const = 0;

  /// The epoch at which this node owns @p partition; 0 if it does not.
  virtual std::uint64_t epoch(const PartitionId& partition) const = 0;

  /// The node that this node believes to be the owner; empty if unknown. A hint for redirects.
  virtual NodeId ownerHint(const PartitionId& partition) const = 0;

  /// False if this store or a replica of @p partition is low on disk space. No new data should be
  /// accepted then, so that updates and results of the present data can still be written.
  virtual bool canAcceptNewData(const PartitionId& /*partition*/) const { return true; }

  /// Replicates @p entries as one atomic write. They are visible to `get` at once; @p done is
  /// called when a majority has them (and has synced them, for `Batches`). Fails with `NotOwner`
  /// if this node is fenced first: the write may or may not survive. Writes of one partition
  /// complete in order.
  virtual void write(const PartitionId& partition, std::vector<TableEntry> entries,
                     std::function<void(Status)> done) = 0;

  /// Confirms with a majority that this node still owns @p partition. An answer that is given from
  /// memory alone, and that a successor could contradict, must wait for this.
  virtual void confirmOwnership(const PartitionId& partition, std::function<void(Status)> done) = 0;

  /// Reads the owner's table.
  virtual std::optional<std::string> get(const PartitionId& partition,
                                         std::string_view key) const = 0;

  /// Calls @p visit for each key of the owner's table with @p prefix, ascending, until it returns
  /// false.
  virtual void forEach(
      const PartitionId& partition, std::string_view prefix,
      const std::function<bool(std::string_view key, const std::string& value)>& visit) const = 0;
};

}  // namespace shedshed

MSGPACK_ADD_ENUM(shedshed::TableKind);
