/// @file
/// One batch in its owner's memory.
#pragma once

#include "batch/batch_records.h"
#include "kernel/time.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace shedshed {

/// A durable `Started` item.
struct StartedItem {
  std::uint64_t runEpoch = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t attempt = 0;
};

/// Durable states of the items of one batch, one byte each, with running counts: no event scans
/// them all. A write in flight is kept apart, and nothing is answered from it.
class BatchState {
 public:
  BatchState(std::string batchId, BatchMeta meta);

  const std::string& id() const { return id_; }
  const BatchMeta& meta() const { return meta_; }

  /// The durable state. In a cancelled batch a pending item is `Cancelled`, or `Unknown` if an
  /// earlier attempt may have run.
  ItemState state(std::uint64_t position) const;
  void setStarted(std::uint64_t position, const StartedItem& started);
  void setPending(std::uint64_t position);
  /// An attempt of the item may have reached an engine. Stays until the item has a final state.
  void setMayHaveRun(std::uint64_t position) { mayHaveRun_.insert(position); }
  bool mayHaveRun(std::uint64_t position) const { return mayHaveRun_.count(position) != 0; }
  void setState(std::uint64_t position, ItemState state);
  /// Applies the durable row of an item; none means that it is pending and never ran.
  void apply(std::uint64_t position, const std::optional<ItemRecord>& record);
  void setCancelled() { cancelled_ = true; }
  bool cancelled() const { return cancelled_; }

  /// Restores a finished batch, whose per-item states are not kept in memory.
  void setFinished(const BatchStatus& status);
  bool finished() const { return finished_; }
  /// True when every item has a final state.
  bool allFinal() const;

  BatchStatus status() const;
  const std::map<std::uint64_t, StartedItem>& started() const { return started_; }

  /// True if results are listed in the order of completion: the items have names.
  bool listsByCompletion() const { return !meta_.names.empty(); }
  /// Returns the rank for the next result. Ranks are written in this order.
  std::uint64_t nextRank() { return nextRank_++; }
  /// The result of the item at @p position is durable under @p rank.
  void setRank(std::uint64_t rank, std::uint64_t position) { ranks_[rank] = position; }
  /// Number of results that may be read: those with a rank and without a gap before it.
  std::uint64_t listed() const { return listed_; }
  /// Counts the results that may be read anew after ranks have been set.
  void advanceListed();
  /// The item of the result at place @p index, which must be below `listed`.
  std::uint64_t positionAt(std::uint64_t index) const { return ranks_.at(index + 1); }
  /// After a takeover: removes the ranks behind a gap, and returns their items. No one can have
  /// read them: a result counts once a majority has it, and writes count in their order.
  std::vector<std::uint64_t> dropRanksBehindGap();

  /// Returns the index of the chunk that holds @p position.
  std::uint64_t chunkOf(std::uint64_t position) const;
  /// Returns the position after the last item of @p chunk.
  std::uint64_t chunkEnd(std::uint64_t chunk) const;

  /// Tokens of the items without a final state; 0 once the batch is finished.
  std::uint64_t queuedTokens() const { return finished_ ? 0 : queuedTokens_; }

  Time acceptedAt{};             ///< On this owner's clock; after a takeover the time of that.
  bool committed = false;        ///< The commit record is on a majority.
  bool cancelRequested = false;  ///< A cancel has arrived; from here on nothing starts.
  bool finalWriteInFlight = false;
  /// Items with a result whose rank has to be written anew after a takeover.
  std::vector<std::uint64_t> unranked;
  RunRecord run;
  bool runDurable = false;              ///< `run` is on a majority and may be announced.
  bool runAcknowledged = false;         ///< A heartbeat named the run.
  std::uint64_t runnerIncarnation = 0;  ///< Incarnation of the run's runner; 0 if not known.
  Time lastHeartbeat{};                 ///< Of the runner, or when the run began.
  Time finishedAt{};                    ///< On this owner's clock.
  std::vector<std::function<void()>> commitWaiters;
  std::vector<std::function<void()>> cancelWaiters;
  /// Items with a write in flight, and the events that wait for it.
  std::map<std::uint64_t, std::vector<std::function<void()>>> writesInFlight;
  /// Highest reverted attempt per item in the current run: a late start must not undo it.
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
  std::set<std::uint64_t> mayHaveRun_;  ///< Of the items without a final state.
};

}  // namespace shedshed
