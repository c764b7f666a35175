/// @file
/// Messages between the owners of batches and the queued-token quota.
///
/// All messages are idempotent: a duplicate, or a retry after a lost reply, has no further effect.
#pragma once

#include "kernel/message.h"
#include "kernel/node_id.h"
#include "partition/partition_store.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace shedshed {

/// Tokens are counted per account: one tenant on one route.
struct TokenAccount {
  std::string tenant;  ///< Empty if the settings define no tenants.
  std::string route;

  bool operator==(const TokenAccount& other) const {
    return tenant == other.tenant && route == other.route;
  }
  bool operator<(const TokenAccount& other) const {
    return std::tie(tenant, route) < std::tie(other.tenant, other.route);
  }
  MSGPACK_DEFINE(tenant, route);
};

/// Queued tokens of one batch: the sum over its items without a final state.
struct QueuedBatch {
  std::string batchId;
  TokenAccount account;
  std::uint64_t tokens = 0;
  MSGPACK_DEFINE(batchId, account, tokens);
};

/// All batches of one partition that have queued tokens or an open reservation, according to the
/// owner at `epoch`.
struct PartitionTokens {
  PartitionId partition;
  std::uint64_t epoch = 0;
  std::vector<QueuedBatch> batches;
  MSGPACK_DEFINE(partition, epoch, batches);
};

/// Owner of a batch → quota: requests a reservation before the batch is accepted.
struct ReserveQueuedTokens {
  static constexpr ServiceId kService = ServiceId::WaitingTokens;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t number = 0;  ///< Sequence number over all messages of one process to the quota.
  PartitionId partition;     ///< Of the batch.
  std::uint64_t epoch = 0;   ///< Epoch at which the sender owns the partition.
  QueuedBatch batch;
  MSGPACK_DEFINE(number, partition, epoch, batch);
};

enum class ReserveOutcome : std::uint8_t {
  Granted = 1,
  Full = 2,      ///< The tokens would exceed the limit.
  NotReady = 3,  ///< The receiver does not own the quota or is rebuilding its counts; retry.
};

/// Quota → owner of a batch. Also sent, with an empty batch id, in reply to a report that arrived
/// at a node that does not own the quota.
struct ReserveQueuedTokensReply {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 20;
  std::uint64_t number = 0;  ///< Of the request.
  PartitionId partition;
  std::string batchId;
  ReserveOutcome outcome = ReserveOutcome::NotReady;
  NodeId quotaOwner;  ///< With `NotReady`: the presumed owner of the quota.
  MSGPACK_DEFINE(number, partition, batchId, outcome, quotaOwner);
};

/// Owner of batches → quota: the queued tokens in the partitions that the sender owns.
struct QueuedTokensReport {
  static constexpr ServiceId kService = ServiceId::WaitingTokens;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t number = 0;
  /// Epoch of the `QueuedTokensRequest` that this report answers; 0 in periodic reports. The sender
  /// confirmed its ownership after the request arrived.
  std::uint64_t quotaEpoch = 0;
  std::vector<PartitionTokens> partitions;
  MSGPACK_DEFINE(number, quotaEpoch, partitions);
};

/// New owner of the quota → all stores: requests a report on the partitions that they own.
struct QueuedTokensRequest {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 21;
  std::uint64_t quotaEpoch = 0;
  std::vector<PartitionId> partitions;  ///< Partitions whose reports are missing.
  MSGPACK_DEFINE(quotaEpoch, partitions);
};

}  // namespace shedshed

MSGPACK_ADD_ENUM(shedshed::ReserveOutcome);
