/// @file
/// The callers' side of durable batches.
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
  Started = 2,  ///< Durable before the first byte goes to an engine.
  Done = 3,
  Failed = 4,     ///< The engine answered with an error, or the item is invalid.
  Cancelled = 5,  ///< Was never started.
  Unknown = 6,    ///< Started by a runner that was lost; may not be repeated.
};

/// Most items of a batch whose items have names: the commit record carries the names.
inline constexpr std::size_t kMaxNamedItems = 1000;

/// A batch as handed in.
struct BatchSubmission {
  std::string tenant;
  std::string clientKey;           ///< The caller's own key; a resend returns the same batch.
  bool idempotentItems = false;    ///< Items may be run again after a lost runner.
  std::vector<std::string> items;  ///< Bodies, in order.
  /// Names of the items, in the same order; empty if they have none. At most `kMaxNamedItems`.
  std::vector<std::string> names;
  std::string route;  ///< Name of the route that took the batch; empty if none did.
  /// Tokens of each item, in the same order, that count against the route's bound; may be empty.
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
  bool resent = false;  ///< In the answer to a submission: it had been accepted before.
  MSGPACK_DEFINE(id, tenant, itemCount, pending, started, done, failed, cancelledItems, unknown,
                 cancelled, resent);
};

/// One item's final result, at its fixed position.
struct ItemResult {
  std::uint64_t position = 0;
  ItemState state = ItemState::Pending;
  std::string body;       ///< The engine's answer, for `Done`.
  std::string errorType;  ///< Stable error type, for `Failed` and `Unknown`.
  std::string name;       ///< Empty if the batch's items have no names.
  MSGPACK_DEFINE(position, state, body, errorType, name);
};

/// Results from a position on, without gaps: the list ends before the first unfinished item.
struct ResultPage {
  std::vector<ItemResult> results;
  std::uint64_t next = 0;       ///< Position to ask for next.
  bool complete = false;        ///< All items have a final result and this page reached the end.
  std::uint64_t itemCount = 0;  ///< Of the batch.
  MSGPACK_DEFINE(results, next, complete, itemCount);
};

/// An unfinished item's body.
struct UnfinishedItem {
  std::uint64_t position = 0;
  ItemState state = ItemState::Pending;
  std::string body;
  MSGPACK_DEFINE(position, state, body);
};

/// Hands in, reads and cancels batches, from any data node. Core thread only. Every callback is
/// called once. A caller sees only its own tenant's batches: others are `NotFound`.
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
