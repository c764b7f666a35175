/// @file
/// Slots of the items of a run.
#pragma once

#include "batch/batch_run.h"
#include "batch/batch_runner_options.h"
#include "batch/batch_settings.h"
#include "batch/run_table.h"
#include "kernel/core.h"
#include "slots/slot_client.h"

#include <functional>

namespace shedshed {

/// Requests slots of the tenant's and the model's pool for one item, and gives them back.
/// `ItemAdmission` of the item's model is notified of each request and its outcome. Core thread
/// only.
class ItemSlots {
 public:
  /// Expires when a rejected item of a run with a share may request again.
  static constexpr TimerId kRetryTimer = 2;

  /// Keeps references; they must outlive it.
  ItemSlots(CoreContext& context, RunTable& runs, SlotClient& slots, const BatchSettings& settings,
            const BatchRunnerOptions& options)
      : context_(context), runs_(runs), slots_(slots), settings_(settings), options_(options) {}

  /// Requests slots for the item at @p position. After @p done, call `granted` or `rejected` if
  /// the attempt is still in flight, else `releaseUnclaimed`.
  void acquire(const RunKey& key, BatchRun& run, std::uint64_t position,
               std::function<void(const Result<SlotGrant>&)> done);

  void onGranted(BatchRun& run, ItemAttempt& item, const SlotGrant& grant);
  /// @return the delay after which the item may request again, varied by up to half of it, so that
  /// the items of a burst do not return together
  Duration onRejected(BatchRun& run, const std::string& model);
  /// Releases a grant that no item waits for.
  void releaseUnclaimed(const Result<SlotGrant>& grant);
  /// Releases the slots of an item, if it has any.
  void release(BatchRun& run, ItemAttempt& item);

  /// Items of a run that wait for slots or have them.
  static std::uint32_t requestedSlots(const BatchRun& run);

 private:
  void onShare(const RunKey& key, const std::string& model, const ShareAssignment& share);

  CoreContext& context_;
  RunTable& runs_;
  SlotClient& slots_;
  const BatchSettings& settings_;
  const BatchRunnerOptions& options_;
};

}  // namespace shedshed
