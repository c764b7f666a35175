/// @file
/// Messages between the owners of batches and the quota of queued tokens.
///
/// All are idempotent: a request that arrives twice, or again after its reply was lost, has the
/// effect of one.
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

/// Whose tokens are counted together: those of one tenant on one route.
struct TokenAccount {
  std::string tenant;  ///< Empty if the settings name no tenants.
  std::string route;

  bool operator==(const TokenAccount& other) const {
    return tenant == other.tenant && route == other.route;
  }
  bool operator<(const TokenAccount& other) const {
    return std::tie(tenant, route) < std::tie(other.tenant, other.route);
  }
  MSGPACK_DEFINE(tenant, route);
};

/// The queued tokens of one batch: those of its items without a final state.
struct QueuedBatch {
  std::string batchId;
  TokenAccount account;
  std::uint64_t tokens = 0;
  MSGPACK_DEFINE(batchId, account, tokens);
};

/// All batches with queued tokens in one partition, as its owner at `epoch` knows them, and those
/// with an open reservation.
struct PartitionTokens {
  PartitionId partition;
  std::uint64_t epoch = 0;
  std::vector<QueuedBatch> batches;
  MSGPACK_DEFINE(partition, epoch, batches);
};

/// Owner of a batch → quota: may this batch be accepted?
struct ReserveQueuedTokens {
  static constexpr ServiceId kService = ServiceId::WaitingTokens;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t number = 0;  ///< Numbers all messages of one process to the quota.
  PartitionId partition;     ///< Of the batch.
  std::uint64_t epoch = 0;   ///< At which the sender owns that partition.
  QueuedBatch batch;
  MSGPACK_DEFINE(number, partition, epoch, batch);
};

enum class ReserveOutcome : std::uint8_t {
  Granted = 1,
  Full = 2,      ///< The tokens do not fit under the limit.
  NotReady = 3,  ///< The receiver does not own the quota, or is rebuilding its counts: retry.
};

/// Quota → owner of a batch; also the reply to a report that reached a node that does not own the
/// quota, with an empty batch id.
struct ReserveQueuedTokensReply {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 20;
  std::uint64_t number = 0;  ///< Of the request.
  PartitionId partition;
  std::string batchId;
  ReserveOutcome outcome = ReserveOutcome::NotReady;
  NodeId quotaOwner;  ///< With `NotReady`: the believed owner of the quota.
  MSGPACK_DEFINE(number, partition, batchId, outcome, quotaOwner);
};

/// Owner of batches → quota: what is queued in the partitions that the sender owns.
struct QueuedTokensReport {
  static constexpr ServiceId kService = ServiceId::WaitingTokens;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t number = 0;
  /// Epoch of the `QueuedTokensRequest` that this answers, with the ownership proved after it
  /// arrived; 0 in other reports.
  std::uint64_t quotaEpoch = 0;
  std::vector<PartitionTokens> partitions;
  MSGPACK_DEFINE(number, quotaEpoch, partitions);
};

/// A new owner of the quota → all stores: what is queued in the partitions that you own?
struct QueuedTokensRequest {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 21;
  std::uint64_t quotaEpoch = 0;
  std::vector<PartitionId> partitions;  ///< Those without a report yet.
  MSGPACK_DEFINE(quotaEpoch, partitions);
};

}  // namespace shedshed

MSGPACK_ADD_ENUM(shedshed::ReserveOutcome);
