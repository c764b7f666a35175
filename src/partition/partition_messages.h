/// @file
/// Messages between the replicas of partitions. All replies carry the sender's store id, so that a
/// node that returns with a new disk at a known address is not mistaken for the earlier member.
#pragma once

#include "kernel/message.h"
#include "partition/partition_types.h"

namespace shedshed {

/// One partition in a `PromiseRequest`.
struct PromiseItem {
  PartitionId partition;
  std::uint64_t epoch = 0;
  MSGPACK_DEFINE(partition, epoch);
};

/// Requests promises to reject all epochs below those of the items.
struct PromiseRequest {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 1;
  std::vector<PromiseItem> items;
  MSGPACK_DEFINE(items);
};

/// A replica's answer to a `PromiseItem`, sent after the promise was synced.
struct PromiseAnswer {
  PartitionId partition;
  std::uint64_t epoch = 0;          ///< The epoch asked for.
  std::uint64_t promisedEpoch = 0;  ///< Equal to `epoch` if granted, higher if rejected.
  bool granted = false;
  bool intact = false;               ///< Holds everything that it ever acknowledged.
  std::uint64_t installedEpoch = 0;  ///< Epoch whose complete merged table it holds; 0 if none.
  std::uint64_t checksum = 0;
  std::uint64_t rows = 0;
  std::uint64_t replicaSetEpoch = 0;  ///< Epoch at which `replicas` was agreed.
  StoreMembers replicas;              ///< The replicas of the partition at `replicaSetEpoch`.
  MSGPACK_DEFINE(partition, epoch, promisedEpoch, granted, intact, installedEpoch, checksum, rows,
                 replicaSetEpoch, replicas);
};

/// Answers a `PromiseRequest`; sent once all its promises are synced.
struct PromiseReply {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 2;
  std::string storeId;
  std::vector<PromiseAnswer> answers;
  MSGPACK_DEFINE(storeId, answers);
};

/// Requests the rows after a key from a replica that has promised `epoch`.
struct FetchRequest {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 3;
  PartitionId partition;
  std::uint64_t epoch = 0;
  bool fromStart = true;
  std::string afterKey;
  MSGPACK_DEFINE(partition, epoch, fromStart, afterKey);
};

/// All rows of a table in the key range (`afterKey`, `throughKey`], ascending; without a lower
/// bound if `fromStart`, without an upper one if `last`.
struct TablePage {
  bool fromStart = true;
  std::string afterKey;
  bool last = false;
  std::string throughKey;
  std::vector<VersionedRow> rows;
  MSGPACK_DEFINE(fromStart, afterKey, last, throughKey, rows);
};

/// Answers a `FetchRequest`. A replica that has not promised the epoch to the requesting node does
/// not answer.
struct FetchReply {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 4;
  std::string storeId;
  PartitionId partition;
  std::uint64_t epoch = 0;
  TablePage page;
  MSGPACK_DEFINE(storeId, partition, epoch, page);
};

/// One page of the owner's table for a replica that differs. The last page makes the replica hold
/// `epoch` up to `sequence`.
struct InstallRequest {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 5;
  PartitionId partition;
  std::uint64_t epoch = 0;
  std::uint64_t transfer = 0;  ///< Number of the transfer, increasing within one owner.
  std::uint64_t sequence = 0;  ///< The owner's sequence when the transfer began.
  bool keepRows = false;       ///< The rows are expected to be equal already; `page` is empty.
  std::uint64_t checksum = 0;  ///< Required checksum of the replica's rows for `keepRows`.
  StoreMembers replicas;
  TablePage page;
  MSGPACK_DEFINE(partition, epoch, transfer, sequence, keepRows, checksum, replicas, page);
};

/// Answers an `InstallRequest`, once the page is synced.
struct InstallReply {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 6;
  std::string storeId;
  PartitionId partition;
  std::uint64_t epoch = 0;
  std::uint64_t promisedEpoch = 0;
  std::uint64_t transfer = 0;
  bool differs = false;    ///< The rows may not be kept; a full transfer is needed.
  bool last = false;       ///< The transfer is complete.
  std::string throughKey;  ///< Key through which the table has been applied; empty before a page.
  MSGPACK_DEFINE(storeId, partition, epoch, promisedEpoch, transfer, differs, last, throughKey);
};

/// Consecutive writes of one partition, beginning at `firstSequence`.
struct ReplicateRequest {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 7;
  PartitionId partition;
  std::uint64_t epoch = 0;
  std::uint64_t firstSequence = 0;
  std::vector<std::vector<VersionedRow>> writes;
  MSGPACK_DEFINE(partition, epoch, firstSequence, writes);
};

/// What a replica holds of one partition. Answers writes and heartbeats.
struct ReplicaPosition {
  PartitionId partition;
  std::uint64_t promisedEpoch = 0;
  std::uint64_t installedEpoch = 0;
  std::uint64_t sequence = 0;  ///< Synced up to here, for `Batches`.
  std::uint64_t checksum = 0;  ///< Of the rows at `checksumSequence`.
  std::uint64_t checksumSequence = 0;
  MSGPACK_DEFINE(partition, promisedEpoch, installedEpoch, sequence, checksum, checksumSequence);
};

/// Answers a `ReplicateRequest`, for `Batches` once its writes are synced.
struct ReplicateReply {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 8;
  std::string storeId;
  std::uint64_t epoch = 0;  ///< Epoch of the request.
  bool gap = false;         ///< The replica lacks writes before the request's first one.
  ReplicaPosition position;
  MSGPACK_DEFINE(storeId, epoch, gap, position);
};

/// One owned partition in a `HeartbeatRequest`.
struct HeartbeatItem {
  PartitionId partition;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;  ///< Last write begun.
  std::uint64_t stable = 0;    ///< Every replica holds this write: tombstones up to it may be
                               ///< removed. 0 if unknown.
  MSGPACK_DEFINE(partition, epoch, sequence, stable);
};

/// All partitions that the sender owns.
struct HeartbeatRequest {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 9;
  std::uint64_t round = 0;  ///< Increases with each heartbeat of one process.
  std::vector<HeartbeatItem> items;
  MSGPACK_DEFINE(round, items);
};

/// Answers a `HeartbeatRequest` with the position in each of its partitions.
struct HeartbeatReply {
  static constexpr ServiceId kService = ServiceId::Partition;
  static constexpr std::uint16_t kKind = 10;
  std::string storeId;
  std::uint64_t round = 0;
  std::vector<ReplicaPosition> positions;
  bool isLowOnDiskSpace = false;  ///< The sender is low on disk space.
  MSGPACK_DEFINE(storeId, round, positions, isLowOnDiskSpace);
};

}  // namespace shedshed
