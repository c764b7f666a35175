/// @file
/// Rows of a batch in its partition's table.
///
/// The kind of row comes before the batch id in each key, so that a takeover reads the few `meta`
/// rows without visiting the rows of all items.
#pragma once

#include "batch/batch_client.h"
#include "partition/partition_store.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// The commit record. A batch exists if and only if this row does; it is written together with the
/// last chunk, after all the others are durable, and never changes.
struct BatchMeta {
  std::string tenant;
  bool idempotent = false;
  std::uint64_t itemCount = 0;
  std::string digest;                         ///< `itemsDigest` of the whole submission.
  std::vector<std::uint64_t> chunkPositions;  ///< Position of the first item of each chunk.
  std::uint64_t bodyBytes = 0;
  std::vector<std::string> names;     ///< Of all items in order, or empty.
  std::string route;                  ///< Route that took the batch, or empty.
  std::vector<std::uint64_t> tokens;  ///< Of all items in order, or empty.
  MSGPACK_DEFINE(tenant, idempotent, itemCount, digest, chunkPositions, bodyBytes, names, route,
                 tokens);
};

/// Bodies of consecutive items.
struct BodyChunk {
  std::vector<std::string> items;
  MSGPACK_DEFINE(items);
};

/// Marks an uncommitted submission or a batch being erased: rows that nobody may read.
struct PendingDeletionRecord {
  std::uint64_t chunks = 0;  ///< Body rows below this index may exist.
  std::uint64_t items = 0;   ///< Item rows below this position may exist.
  MSGPACK_DEFINE(chunks, items);
};

/// The run in force. The epoch only rises; it fences the runners before it.
struct RunRecord {
  std::uint64_t epoch = 0;
  std::string runner;  ///< Node id; empty before the first run.
  MSGPACK_DEFINE(epoch, runner);
};

/// An item that was started at least once. A pending item that never ran has no row, and neither
/// has a cancelled one: in a cancelled batch the absence of a row means `Cancelled`. A row in the
/// state `Pending` is that of an idempotent item that may have run and waits to run again; in a
/// cancelled batch its result is `Unknown`.
struct ItemRecord {
  ItemState state = ItemState::Started;
  std::uint64_t runEpoch = 0;
  std::uint64_t incarnation = 0;  ///< Of the runner process that started it.
  std::uint64_t attempt = 0;      ///< Numbers the starts of one runner process.
  std::string body;
  std::string errorType;
  bool mayHaveRun = false;  ///< An earlier attempt of this item may have reached an engine.
  /// Place of the result in the order of completion, from 1; 0 if the item has no result or the
  /// batch's items have no names.
  std::uint64_t rank = 0;
  MSGPACK_DEFINE(state, runEpoch, incarnation, attempt, body, errorType, mayHaveRun, rank);
};

/// Prefixes of the kinds of row.
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

/// Returns the batch id that ends the key of a row of the batch itself.
std::string batchIdOfKey(std::string_view key);

/// Returns the position that ends an item's key.
std::uint64_t positionOfItemKey(std::string_view key);

/// Returns the batch id that a client key stands for: every resend finds the same batch.
std::string batchIdOfClientKey(const std::string& tenant, const std::string& clientKey);

/// Extends @p hashes by the hash of each item. `itemsDigest` of the result names the content.
void appendItemHashes(std::string& hashes, const std::vector<std::string>& items);
std::string itemsDigest(const std::string& hashes);

/// True for the states that never change.
bool isFinal(ItemState state);

}  // namespace shedshed
