#include "batch/item_fetcher.h"

namespace shedshed {
namespace {

/// A page that has not arrived is requested again after this time.
constexpr Duration kFetchTimeout = std::chrono::seconds(1);

/// Pages of waiting items that a run keeps at most.
constexpr std::size_t kMaxQueuedPages = 4;

}  // namespace

void ItemFetcher::fetch(const RunKey& key, BatchRun& run) {
  const bool inFlight = run.fetchSent && context_.now() - *run.fetchSent < kFetchTimeout;
  const bool betweenPasses = run.fetchFrom == 0 && context_.now() < run.nextPass;
  // Items whose model's pool is full stay in the queue; a few pages are searched for others.
  const bool full = run.waiting.queued() >= kMaxQueuedPages * options_.pageSize();
  if (inFlight || betweenPasses || full) {
    return;
  }
  const NodeId owner = runs_.ownerOf(run);
  if (owner.empty()) {
    return;
  }
  run.fetchSent = context_.now();
  context_.send(owner, FetchItems{runs_.idOf(key), run.fetchFrom, options_.pageSize()});
}

bool ItemFetcher::onItemsPage(const ItemsPage& page) {
  BatchRun* run = runs_.find({page.batchId, page.runEpoch});
  if (run == nullptr || !run->fetchSent || page.from != run->fetchFrom) {
    return false;
  }
  run->fetchSent.reset();
  run->fetchFrom = page.next;
  for (const UnfinishedItem& item : page.items) {
    const bool known = run->items.count(item.position) != 0 || run->waiting.contains(item.position);
    if (!known) {
      run->waiting.add({item.position, engines_.modelOf(item.body), item.body, {}});
    }
  }
  if (page.next == 0) {
    // The pass is over; what became pending again is found by the next one, after a pause.
    run->nextPass = context_.now() + options_.retryDelay;
  }
  return true;
}

}  // namespace shedshed
