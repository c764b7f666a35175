/// @file
/// Client interface of durable batches.
#pragma once

#include "kernel/error.h"

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace shedshed {

/// State of one item. `Done`, `Failed`, `Cancelled` and `Unknown` are final and never change.
enum class ItemState : std::uint8_t {
  Pending = 1,
  Started = 2,  ///< Durable before the first byte is sent to an engine.
  Done = 3,
  Failed = 4,     ///< The engine returned an error, or the item is invalid.
  Cancelled = 5,  ///< Never started.
  Unknown = 6,    ///< Started by a runner that was lost; must not be repeated.
};

/// Maximum number of items in a batch whose items have names. The commit record contains the names.
inline constexpr std::size_t kMaxNamedItems = 1000;

/// A batch to be submitted.
struct BatchSubmission {
  std::string tenant;
  std::string clientKey;           ///< Idempotency key; a resend returns the same batch.
  bool idempotentItems = false;    ///< Items may be rerun after their runner is lost.
  std::vector<std::string> items;  ///< Bodies, by position.
  /// Names of the items, by position; empty if they have none. At most `kMaxNamedItems`.
  std::vector<std::string> names;
  std::string route;  ///< Name of the route that received the batch; empty if none did.
  /// Tokens of each item, by position, that count towards the route's limit; may be empty.
  std::vector<std::uint64_t> tokens;
};

/// Summary of a batch.
struct BatchStatus {
  std::string id;
  std::string tenant;
  std::uint64_t itemCount = 0;
  std::uint64_t pending = 0;
  std::uint64_t started = 0;
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelledItems = 0;
  std::uint64_t unknown = 0;
  bool cancelled = false;
  bool resent = false;  ///< In the reply to a submission: the batch had already been accepted.
  MSGPACK_DEFINE(id, tenant, itemCount, pending, started, done, failed, cancelledItems, unknown,
                 cancelled, resent);
};

/// Final result of one item.
struct ItemResult {
  std::uint64_t position = 0;
  ItemState state = ItemState::Pending;
  std::string body;       ///< The engine's response, for `Done`.
  std::string errorType;  ///< Stable error type, for `Failed` and `Unknown`.
  std::string name;       ///< Empty if the batch's items have no names.
  MSGPACK_DEFINE(position, state, body, errorType, name);
};

/// Consecutive results from a position on. The list ends before the first unfinished item.
struct ResultPage {
  std::vector<ItemResult> results;
  std::uint64_t next = 0;       ///< Position at which the next page starts.
  bool complete = false;        ///< All items have a final result, and this is the last page.
  std::uint64_t itemCount = 0;  ///< Number of items in the batch.
  MSGPACK_DEFINE(results, next, complete, itemCount);
};

/// State and body of an unfinished item.
struct UnfinishedItem {
  std::uint64_t position = 0;
  ItemState state = ItemState::Pending;
  std::string body;
  MSGPACK_DEFINE(position, state, body);
};

/// Submits, reads and cancels batches, from any data node. Core thread only. Every callback is
/// called once. A caller sees only the batches of its own tenant; others are `NotFound`.
class BatchClient {
 public:
  virtual ~BatchClient() = default;

  /// Succeeds when the batch is synced on a majority of the stores.
  virtual void submit(BatchSubmission submission,
                      std::function<void(Result<BatchStatus>)> done) = 0;
  virtual void status(const std::string& tenant, const std::string& batchId,
                      std::function<void(Result<BatchStatus>)> done) = 0;
  virtual void results(const std::string& tenant, const std::string& batchId, std::uint64_t from,
                       std::uint32_t limit, std::function<void(Result<ResultPage>)> done) = 0;
  virtual void unfinished(const std::string& tenant, const std::string& batchId, std::uint64_t from,
                          std::uint32_t limit,
                          std::function<void(Result<std::vector<UnfinishedItem>>)> done) = 0;
  /// Reads the body of the unfinished item named @p name. `NotFound` if there is none.
  virtual void itemBody(const std::string& tenant, const std::string& batchId,
                        const std::string& name, std::function<void(Result<std::string>)> done) = 0;
  virtual void cancel(const std::string& tenant, const std::string& batchId,
                      std::function<void(Result<BatchStatus>)> done) = 0;
};

}  // namespace shedshed

MSGPACK_ADD_ENUM(shedshed::ItemState);
