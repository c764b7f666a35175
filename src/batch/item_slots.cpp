#include "batch/item_slots.h"

#include <algorithm>
#include <random>

namespace shedshed {
namespace {

/// Number of items by which the admission window grows during one requeue delay.
constexpr int kWindowStepsPerRequeue = 10;

}  // namespace

void ItemSlots::acquire(const RunKey& key, BatchRun& run, std::uint64_t position,
                        std::function<void(const Result<SlotGrant>&)> done) {
  const ItemAttempt& item = run.items[position];
  const EffectiveSettings settings = settings_.effective(run.assignment.tenant);
  SlotRequest request;
  request.requestId = key.first + "-" + std::to_string(position);
  request.serviceClass = SlotClass::BatchItem;
  SlotLimit limit;
  limit.failOpen = false;  // Live calls have priority unless idle capacity is confirmed.
  limit.timeToLive = settings.itemSlotTtl;
  limit.pool = {"tenant", run.assignment.tenant};
  request.limits.push_back(limit);
  limit.pool = {"batch", item.target.model};
  request.limits.push_back(limit);
  if (run.assignment.hasDueTime) {
    request.shareRequest =
        ShareRequest{key.first + "/" + std::to_string(key.second), run.due - context_.now(),
                     requestedSlots(run, item.target.model)};
    request.onShareAssigned = [this, key, model = item.target.model](const ShareAssignment& share) {
      onShare(key, model, share);
    };
  }
  ItemAdmission& admission = run.admissions[item.target.model];
  admission.setGrowthInterval(settings.requeueDelay / kWindowStepsPerRequeue);
  admission.requested();
  slots_.acquire(std::move(request), std::move(done));
}

void ItemSlots::onGranted(BatchRun& run, ItemAttempt& item, const SlotGrant& grant) {
  run.admissions[item.target.model].granted(options_.maxItemsInFlightPerBatch);
  item.grant = grant.grantId;
  item.suggestedEngine = grant.suggestedEngine();
}

Duration ItemSlots::onRejected(BatchRun& run, const std::string& model) {
  ItemAdmission& admission = run.admissions[model];
  const Duration requeueDelay = settings_.effective(run.assignment.tenant).requeueDelay;
  const Duration delay = admission.hasShare() ? admission.retryDelay(requeueDelay) : requeueDelay;
  const Duration jitter(
      std::uniform_int_distribution<Duration::rep>(0, delay.count() / 2)(context_.random()));
  admission.rejected(context_.now(), delay + jitter);
  if (admission.hasShare()) {
    context_.startTimer(kRetryTimer, delay + jitter);
  }
  context_.counters().add("batch_slot_refusals_total");
  return delay + jitter;
}

void ItemSlots::releaseUnclaimed(const Result<SlotGrant>& grant) {
  if (grant) {
    slots_.release(grant.value().grantId);
  }
}

void ItemSlots::release(BatchRun& run, ItemAttempt& item) {
  if (item.grant) {
    run.admissions[item.target.model].released();
    slots_.release(*item.grant);
    item.grant.reset();
  }
}

std::uint32_t ItemSlots::requestedSlots(const BatchRun& run, const std::string& model) {
  const auto active = std::count_if(run.items.begin(), run.items.end(), [&](const auto& entry) {
    const ItemAttempt& item = entry.second;
    return item.phase != AttemptPhase::Reporting && item.target.model == model;
  });
  return run.waiting.count(model) + static_cast<std::uint32_t>(active);
}

void ItemSlots::onShare(const RunKey& key, const std::string& model, const ShareAssignment& share) {
  if (BatchRun* run = runs_.find(key)) {
    run->admissions[model].setShare(share.slots, share.free, context_.now());
  }
}

}  // namespace shedshed
