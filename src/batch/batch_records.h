/// @file
/// Rows of a batch in the table of its partition.
///
/// Each key begins with the kind of row, followed by the batch id, so that a takeover can read the
/// few `meta` rows without scanning the rows of all items.
#pragma once

#include "batch/batch_client.h"
#include "partition/partition_store.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// The commit record. A batch exists if and only if this row does. It is written atomically with
/// the last chunk, after all other chunks are durable, and never changes.
struct BatchMeta {
  std::string tenant;
  bool idempotent = false;
  std::uint64_t itemCount = 0;
  std::string digest;                         ///< `itemsDigest` of the whole submission.
  std::vector<std::uint64_t> chunkPositions;  ///< Position of the first item of each chunk.
  std::uint64_t bodyBytes = 0;
  std::vector<std::string> names;     ///< Of all items in order; empty if unnamed.
  std::string route;                  ///< Route that accepted the batch, or empty.
  std::vector<std::uint64_t> tokens;  ///< Token counts of all items in order, or empty.
  MSGPACK_DEFINE(tenant, idempotent, itemCount, digest, chunkPositions, bodyBytes, names, route,
                 tokens);
};

/// Bodies of consecutive items.
struct BodyChunk {
  std::vector<std::string> items;
  MSGPACK_DEFINE(items);
};

/// Marks an uncommitted submission or a batch that is being erased, whose rows must not be read.
struct PendingDeletionRecord {
  std::uint64_t chunks = 0;  ///< Body rows below this index may exist.
  std::uint64_t items = 0;   ///< Item rows below this position may exist.
  MSGPACK_DEFINE(chunks, items);
};

/// The current run. The epoch only increases and fences the runners of earlier runs.
struct RunRecord {
  std::uint64_t epoch = 0;
  std::string runner;  ///< Node id; empty before the first run.
  MSGPACK_DEFINE(epoch, runner);
};

/// An item that was started at least once. Pending and cancelled items that never ran have no row:
/// in a cancelled batch the absence of a row means `Cancelled`. A row in state `Pending` belongs to
/// an idempotent item that may have run and will run again; in a cancelled batch its result is
/// `Unknown`.
struct ItemRecord {
  ItemState state = ItemState::Started;
  std::uint64_t runEpoch = 0;
  std::uint64_t incarnation = 0;  ///< Of the runner process that started the item.
  std::uint64_t attempt = 0;      ///< Start number within the runner process.
  std::string body;
  std::string errorType;
  bool mayHaveRun = false;  ///< An earlier attempt of this item may have reached an engine.
  /// Rank of the result in completion order, from 1; 0 if the item has no result or the items of
  /// the batch are unnamed.
  std::uint64_t rank = 0;
  MSGPACK_DEFINE(state, runEpoch, incarnation, attempt, body, errorType, mayHaveRun, rank);
};

/// Key prefixes of the kinds of row.
inline constexpr const char* kMetaPrefix = "batch/meta/";
inline constexpr const char* kRunPrefix = "batch/run/";
inline constexpr const char* kCancelPrefix = "batch/cancel/";
inline constexpr const char* kFinalPrefix = "batch/final/";
inline constexpr const char* kUploadPrefix = "batch/upload/";
inline constexpr const char* kExpiredPrefix = "batch/expired/";

std::string metaKey(const std::string& batchId);
std::string runKey(const std::string& batchId);
std::string cancelKey(const std::string& batchId);
/// The row of a finished batch's `BatchStatus`.
std::string finalKey(const std::string& batchId);
std::string uploadKey(const std::string& batchId);
std::string expiredKey(const std::string& batchId);
std::string bodyKey(const std::string& batchId, std::uint64_t chunk);
std::string itemPrefix(const std::string& batchId);
std::string itemKey(const std::string& batchId, std::uint64_t position);

/// Returns the partition that holds the rows of @p batchId.
PartitionId partitionOfBatch(const std::string& batchId);

/// Returns the batch id at the end of the key of a per-batch row.
std::string batchIdOfKey(std::string_view key);

/// Returns the position at the end of the key of an item row.
std::uint64_t positionOfItemKey(std::string_view key);

/// Derives the batch id from a client key, so that a resent submission maps to the same batch.
std::string batchIdOfClientKey(const std::string& tenant, const std::string& clientKey);

/// Appends the hash of each item to @p hashes. `itemsDigest` of the result identifies the content.
void appendItemHashes(std::string& hashes, const std::vector<std::string>& items);
std::string itemsDigest(const std::string& hashes);

/// True for terminal states, which never change.
bool isFinal(ItemState state);

}  // namespace shedshed
