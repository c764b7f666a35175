/// @file
/// In-memory state of one batch at its owner.
#pragma once

#include "batch/batch_records.h"
#include "kernel/time.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace shedshed {

/// The attempt that made an item `Started`; durable.
struct StartedItem {
  std::uint64_t runEpoch = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t attempt = 0;
};

/// Durable states of the items of one batch, one byte per item, with running counts so that no
/// event scans all items. Writes in flight are tracked separately and are never visible in replies.
class BatchState {
 public:
  BatchState(std::string batchId, BatchMeta meta);

  const std::string& id() const { return id_; }
  const BatchMeta& meta() const { return meta_; }

  /// Returns the durable state. A pending item of a cancelled batch is `Cancelled`, or `Unknown` if
  /// an earlier attempt may have run.
  ItemState state(std::uint64_t position) const;
  void setStarted(std::uint64_t position, const StartedItem& started);
  void setPending(std::uint64_t position);
  /// Records that an attempt may have reached an engine; kept until the item has a final state.
  void setMayHaveRun(std::uint64_t position) { mayHaveRun_.insert(position); }
  bool mayHaveRun(std::uint64_t position) const { return mayHaveRun_.count(position) != 0; }
  void setState(std::uint64_t position, ItemState state);
  /// Applies the durable row of an item; no row means that the item is pending and never ran.
  void apply(std::uint64_t position, const std::optional<ItemRecord>& record);
  void setCancelled() { cancelled_ = true; }
  bool cancelled() const { return cancelled_; }

  /// Marks the batch as finished. Its per-item states are no longer kept in memory.
  void setFinished(const BatchStatus& status);
  bool finished() const { return finished_; }
  /// True when every item has a final state.
  bool allFinal() const;

  BatchStatus status() const;
  const std::map<std::uint64_t, StartedItem>& started() const { return started_; }

  /// True if results are listed in completion order, which is the case if the items are named.
  bool listsByCompletion() const { return !meta_.names.empty(); }
  /// Allocates the rank of the next result. Ranks are written in increasing order.
  std::uint64_t nextRank() { return nextRank_++; }
  /// Records that the result of the item at @p position is durable with @p rank.
  void setRank(std::uint64_t rank, std::uint64_t position) { ranks_[rank] = position; }
  /// Number of results that may be read: those whose rank has no gap before it.
  std::uint64_t listed() const { return listed_; }
  /// Updates `listed` after ranks have been set.
  void advanceListed();
  /// Returns the position of the item with the result at @p index, which must be below `listed`.
  std::uint64_t positionAt(std::uint64_t index) const { return ranks_.at(index + 1); }
  /// After a takeover: removes the ranks after a gap and returns the positions of their items.
  /// These results cannot have been read: a result becomes readable only when a majority has it,
  /// and writes complete in order.
  std::vector<std::uint64_t> dropRanksAfterGap();

  /// Returns the index of the chunk that holds @p position.
  std::uint64_t chunkOf(std::uint64_t position) const;
  /// Returns the position after the last item of @p chunk.
  std::uint64_t chunkEnd(std::uint64_t chunk) const;

  /// Tokens of the items without a final state; 0 once the batch is finished.
  std::uint64_t queuedTokens() const { return finished_ ? 0 : queuedTokens_; }

  Time acceptedAt{};                ///< On this owner's clock; the load time after a takeover.
  bool committed = false;           ///< The commit record is on a majority of replicas.
  bool cancelRequested = false;     ///< A cancel was received: no further item starts.
  bool finalWriteInFlight = false;  ///< The final row is being written.
  /// Items whose results lost their rank in a takeover and need a new one.
  std::vector<std::uint64_t> unranked;
  RunRecord run;
  bool runDurable = false;              ///< `run` is on a majority and may be sent to the runner.
  bool runAcknowledged = false;         ///< A heartbeat has listed the run.
  std::uint64_t runnerIncarnation = 0;  ///< 0 if not known yet.
  Time lastHeartbeat{};                 ///< Last heartbeat of the runner, or start of the run.
  Time finishedAt{};                    ///< On this owner's clock.
  std::vector<std::function<void()>> commitWaiters;
  std::vector<std::function<void()>> cancelWaiters;
  /// Positions of items with a write in flight, with the events deferred until it completes.
  std::map<std::uint64_t, std::vector<std::function<void()>>> writesInFlight;
  /// Highest reverted attempt per item in the current run. A delayed duplicate of its start is
  /// rejected.
  std::map<std::uint64_t, std::uint64_t> revertedAttempts;

 private:
  std::uint64_t& count(ItemState state);
  std::uint64_t pendingThatMayHaveRun() const;
  std::uint64_t tokensOf(std::uint64_t position) const;

  std::string id_;
  BatchMeta meta_;
  std::vector<std::uint8_t> states_;
  std::uint64_t queuedTokens_ = 0;
  BatchStatus counts_;
  bool cancelled_ = false;
  bool finished_ = false;
  std::map<std::uint64_t, std::uint64_t> ranks_;  ///< Positions by rank.
  std::uint64_t nextRank_ = 1;
  std::uint64_t listed_ = 0;
  std::map<std::uint64_t, StartedItem> started_;
  std::set<std::uint64_t> mayHaveRun_;  ///< Only items without a final state.
};

}  // namespace shedshed
