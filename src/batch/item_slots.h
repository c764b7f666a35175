/// @file
/// Acquisition and release of slots for the items of a run.
#pragma once

#include "batch/batch_run.h"
#include "batch/batch_runner_options.h"
#include "batch/batch_settings.h"
#include "batch/run_table.h"
#include "kernel/core.h"
#include "slots/slot_client.h"

#include <functional>

namespace shedshed {

/// Acquires slots of the tenant's and the model's pool for single items, and releases them.
/// Notifies the `ItemAdmission` of the item's model of each request and its outcome. Core thread
/// only.
class ItemSlots {
 public:
  /// Expires when a rejected item of a run with a share may request slots again.
  static constexpr TimerId kRetryTimer = 2;

  /// Holds references to the arguments, which must outlive this object.
  ItemSlots(CoreContext& context, RunTable& runs, SlotClient& slots, const BatchSettings& settings,
            const BatchRunnerOptions& options)
      : context_(context), runs_(runs), slots_(slots), settings_(settings), options_(options) {}

  /// Requests slots for the item at @p position. From @p done, call `onGranted` or `onRejected` if
  /// the attempt is still in flight, else `releaseUnclaimed`.
  void acquire(const RunKey& key, BatchRun& run, std::uint64_t position,
               std::function<void(const Result<SlotGrant>&)> done);

  void onGranted(BatchRun& run, ItemAttempt& item, const SlotGrant& grant);
  /// @return the delay before the item may request slots again. A random jitter of up to half of
  /// the delay is added, so that the items of a burst do not retry simultaneously.
  Duration onRejected(BatchRun& run, const std::string& model);
  /// Releases a grant whose attempt is no longer in flight.
  void releaseUnclaimed(const Result<SlotGrant>& grant);
  /// Releases the slots of an item, if it has any.
  void release(BatchRun& run, ItemAttempt& item);

  /// Number of items of a run that wait for slots of @p model or hold them.
  static std::uint32_t requestedSlots(const BatchRun& run, const std::string& model);

 private:
  void onShare(const RunKey& key, const std::string& model, const ShareAssignment& share);

  CoreContext& context_;
  RunTable& runs_;
  SlotClient& slots_;
  const BatchSettings& settings_;
  const BatchRunnerOptions& options_;
};

}  // namespace shedshed
