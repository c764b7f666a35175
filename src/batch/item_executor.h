/// @file
/// Runs single items: slots, start, engine, report.
#pragma once

#include "batch/batch_runner_options.h"
#include "batch/item_fetcher.h"
#include "batch/item_slots.h"
#include "batch/run_table.h"
#include "engines/engine_runner.h"

namespace shedshed {

/// Takes items of a run through their phases: acquire slots, have the owner make `Started`
/// durable, call the engine at once, release the slots, report until the owner acknowledges.
///
/// Each attempt has a number that this process never reuses: a reply with another number belongs
/// to another attempt. An accepted start that is too old, or whose run may not start any more, is
/// reverted and not run. If this process crashes, the owner resolves what it had started under the
/// next run epoch. Core thread only.
class ItemExecutor {
 public:
  /// Keeps references; they must outlive it.
  ItemExecutor(CoreContext& context, const OwnerLocator& locator, RunTable& runs,
               ItemFetcher& fetcher, ItemSlots& slots, EngineRunner& engines,
               const BatchRunnerOptions& options)
      : context_(context), locator_(locator), runs_(runs), fetcher_(fetcher), slots_(slots),
        engines_(engines), options_(options) {}

  /// Starts waiting items of a run while it may start and has capacity; fetches more if none waits.
  void startWaitingItems(const RunKey& key);
  /// The run starts nothing any more: drops what waits, and reverts starts without a reply.
  void stopStarting(const RunKey& key, BatchRun& run);
  /// Repeats the unacknowledged messages of a run, and reverts starts that are too old.
  void resend(const RunKey& key, BatchRun& run);

  void onStartReply(const StartReply& reply);
  void onFinishReply(const FinishReply& reply);

  /// The number that the next attempt will have. Attempts below it that are not in flight are over.
  std::uint64_t nextAttempt() const { return nextAttempt_; }

 private:
  bool hasCapacity(const BatchRun& run) const;
  /// Returns the attempt if it is in flight, else null.
  static ItemAttempt* findAttempt(BatchRun* run, std::uint64_t position, std::uint64_t attempt);
  void beginItem(const RunKey& key, BatchRun& run, WaitingItem next);
  void onSlotReply(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
                   const Result<SlotGrant>& grant);
  void requestStart(const RunKey& key, BatchRun& run, std::uint64_t position);
  void revertUnknownStart(const RunKey& key, const StartReply& reply);
  void callEngine(const RunKey& key, BatchRun& run, std::uint64_t position);
  void onAnswer(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
                Result<EngineAnswer> answer);
  void onEngineError(const RunKey& key, BatchRun& run, std::uint64_t position, const Error& error);
  void finishItem(const RunKey& key, BatchRun& run, std::uint64_t position, ItemState state,
                  std::string body, ErrorCode code);
  /// Reports that the item may run again. @p mayHaveRun: the attempt may have reached an engine.
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
  std::uint32_t itemsInFlight_ = 0;  ///< Items that acquire, start or run, of all runs.
};

}  // namespace shedshed
