/// @file
/// Execution of single items: slots, start, engine call, report.
#pragma once

#include "batch/batch_runner_options.h"
#include "batch/item_fetcher.h"
#include "batch/item_slots.h"
#include "batch/run_table.h"
#include "engines/engine_runner.h"

namespace shedshed {

/// Executes the phases of each item: acquires slots, requests that the owner make `Started`
/// durable, calls the engine immediately, releases the slots, and reports the result until the
/// owner acknowledges it.
///
/// Each attempt has a number that this process never reuses, so that replies to other attempts are
/// recognized. An accepted start that is too old, or whose run may no longer start items, is
/// reverted and not run. If this process crashes, the owner resolves the started items under the
/// next run epoch. Core thread only.
class ItemExecutor {
 public:
  /// Holds references to the arguments, which must outlive this object.
  ItemExecutor(CoreContext& context, const OwnerLocator& locator, RunTable& runs,
               ItemFetcher& fetcher, ItemSlots& slots, EngineRunner& engines,
               const BatchRunnerOptions& options)
      : context_(context), locator_(locator), runs_(runs), fetcher_(fetcher), slots_(slots),
        engines_(engines), options_(options) {}

  /// Starts waiting items while the run may start items and there is capacity; fetches more if none
  /// can start.
  void startWaitingItems(const RunKey& key);
  /// Stops the run from starting items: drops waiting items and reverts unacknowledged starts.
  void stopStarting(const RunKey& key, BatchRun& run);
  /// Resends the unacknowledged messages of a run and reverts starts that are too old.
  void resend(const RunKey& key, BatchRun& run);

  void onStartReply(const StartReply& reply);
  void onFinishReply(const FinishReply& reply);

  /// The number of the next attempt. Attempts with lower numbers that are not in flight have ended.
  std::uint64_t nextAttempt() const { return nextAttempt_; }

 private:
  /// Applies a change of the settings to the waiting items: each must request slots of the service
  /// on which it is going to run.
  void updateTargets(BatchRun& run);
  bool hasCapacity(const BatchRun& run) const;
  /// Returns the attempt, or null if it is not in flight.
  static ItemAttempt* findAttempt(BatchRun* run, std::uint64_t position, std::uint64_t attempt);
  void beginItem(const RunKey& key, BatchRun& run, WaitingItem next);
  void onSlotReply(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
                   const Result<SlotGrant>& grant);
  void requestStart(const RunKey& key, BatchRun& run, std::uint64_t position);
  void revertUnknownStart(const RunKey& key, const StartReply& reply);
  void callEngine(const RunKey& key, BatchRun& run, std::uint64_t position);
  /// Ends an item that no engine can run, or that is given up: it holds no slots.
  void failWithoutEngine(const RunKey& key, BatchRun& run, std::uint64_t position);
  void onAnswer(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
                Result<EngineAnswer> answer);
  void onEngineError(const RunKey& key, BatchRun& run, std::uint64_t position, const Error& error);
  void finishItem(const RunKey& key, BatchRun& run, std::uint64_t position, ItemState state,
                  std::string body, ErrorCode code);
  /// Logs why an item has ended without an answer: its engine calls in this run, attempt by
  /// attempt.
  void logFailedItem(const FinishItem& finish, const ItemHistory& history);
  /// Reports that the item may run again. @p mayHaveRun is true if the attempt may have reached an
  /// engine.
  void revertStart(const RunKey& key, BatchRun& run, std::uint64_t position, bool mayHaveRun);
  /// Releases the slots and sends @p message until it is acknowledged.
  void report(BatchRun& run, ItemAttempt& item, Message message);
  void resendItem(const RunKey& key, BatchRun& run, std::uint64_t position, ItemAttempt& item);

  CoreContext& context_;
  const OwnerLocator& locator_;
  RunTable& runs_;
  ItemFetcher& fetcher_;
  ItemSlots& slots_;
  EngineRunner& engines_;
  const BatchRunnerOptions& options_;
  std::uint64_t nextAttempt_ = 1;
  std::uint32_t itemsInFlight_ = 0;  ///< Items of all runs before the reporting phase.
};

}  // namespace shedshed
