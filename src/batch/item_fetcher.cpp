#include "batch/item_fetcher.h"

namespace shedshed {
namespace {

/// A missing page is requested again after this time.
constexpr Duration kFetchTimeout = std::chrono::seconds(1);

/// Maximum number of pages in the queue of a run.
constexpr std::size_t kMaxQueuedPages = 4;

}  // namespace

void ItemFetcher::fetch(const RunKey& key, BatchRun& run) {
  const bool inFlight = run.fetchSent && context_.now() - *run.fetchSent < kFetchTimeout;
  const bool betweenPasses = run.fetchFrom == 0 && context_.now() < run.nextPass;
  // Items stay in the queue while the pool of their model is full. Fetching a few pages more finds
  // items of other models.
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
  const std::uint64_t targetsVersion = engines_.targetsVersion();
  for (const UnfinishedItem& item : page.items) {
    const bool known = run->items.count(item.position) != 0 || run->waiting.contains(item.position);
    if (known) {
      continue;
    }
    Result<ItemTarget> target = engines_.targetOf(item.body, run->assignedAt);
    // An item that can't be decided yet stays pending; the next pass fetches it again.
    if (target) {
      run->waiting.add({item.position, std::move(target.value()), targetsVersion, item.body, {}});
    }
  }
  if (page.next == 0) {
    // The pass is over. The next one, after a delay, finds items that became pending again.
    run->nextPass = context_.now() + options_.retryDelay;
  }
  return true;
}

}  // namespace shedshed
