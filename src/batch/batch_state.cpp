#include "batch/batch_state.h"

#include <algorithm>

namespace shedshed {

BatchState::BatchState(std::string batchId, BatchMeta meta)
    : id_(std::move(batchId)), meta_(std::move(meta)) {
  states_.assign(meta_.itemCount, static_cast<std::uint8_t>(ItemState::Pending));
  counts_.id = id_;
  counts_.tenant = meta_.tenant;
  counts_.itemCount = meta_.itemCount;
  counts_.pending = meta_.itemCount;
  for (std::uint64_t position = 0; position < meta_.itemCount; ++position) {
    queuedTokens_ += tokensOf(position);
  }
}

std::uint64_t BatchState::tokensOf(std::uint64_t position) const {
  return position < meta_.tokens.size() ? meta_.tokens[position] : 0;
}

ItemState BatchState::state(std::uint64_t position) const {
  const auto state = static_cast<ItemState>(states_[position]);
  if (state != ItemState::Pending || !cancelled_) {
    return state;
  }
  return mayHaveRun(position) ? ItemState::Unknown : ItemState::Cancelled;
}

std::uint64_t& BatchState::count(ItemState state) {
  switch (state) {
  case ItemState::Started:
    return counts_.started;
  case ItemState::Done:
    return counts_.done;
  case ItemState::Failed:
    return counts_.failed;
  case ItemState::Cancelled:
    return counts_.cancelledItems;
  case ItemState::Unknown:
    return counts_.unknown;
  case ItemState::Pending:
    break;
  }
  return counts_.pending;
}

void BatchState::setStarted(std::uint64_t position, const StartedItem& started) {
  setState(position, ItemState::Started);
  started_[position] = started;
}

void BatchState::setPending(std::uint64_t position) {
  setState(position, ItemState::Pending);
}

void BatchState::setState(std::uint64_t position, ItemState state) {
  const auto before = static_cast<ItemState>(states_[position]);
  if (!isFinal(before) && isFinal(state)) {
    queuedTokens_ -= tokensOf(position);
  }
  --count(before);
  ++count(state);
  states_[position] = static_cast<std::uint8_t>(state);
  started_.erase(position);
  if (isFinal(state)) {
    mayHaveRun_.erase(position);
  }
}

void BatchState::apply(std::uint64_t position, const std::optional<ItemRecord>& record) {
  if (record && record->mayHaveRun) {
    setMayHaveRun(position);
  }
  if (!record) {
    setPending(position);
  } else if (record->state == ItemState::Started) {
    setStarted(position, {record->runEpoch, record->incarnation, record->attempt});
  } else {
    setState(position, record->state);
  }
  if (record && record->rank != 0) {
    setRank(record->rank, position);
  }
}

std::uint64_t BatchState::pendingThatMayHaveRun() const {
  return static_cast<std::uint64_t>(
      std::count_if(mayHaveRun_.begin(), mayHaveRun_.end(), [this](std::uint64_t position) {
        return static_cast<ItemState>(states_[position]) == ItemState::Pending;
      }));
}

void BatchState::setFinished(const BatchStatus& status) {
  counts_ = status;
  cancelled_ = status.cancelled;
  finished_ = true;
  states_.clear();
  states_.shrink_to_fit();
  started_.clear();
  mayHaveRun_.clear();
}

bool BatchState::allFinal() const {
  return counts_.started == 0 && (counts_.pending == 0 || cancelled_);
}

BatchStatus BatchState::status() const {
  BatchStatus status = counts_;
  status.cancelled = cancelled_;
  if (cancelled_) {
    const std::uint64_t unknown = pendingThatMayHaveRun();
    status.unknown += unknown;
    status.cancelledItems += status.pending - unknown;
    status.pending = 0;
  }
  return status;
}

void BatchState::advanceListed() {
  while (ranks_.count(listed_ + 1) != 0) {
    ++listed_;
  }
}

std::vector<std::uint64_t> BatchState::dropRanksAfterGap() {
  advanceListed();
  std::vector<std::uint64_t> dropped;
  for (auto entry = ranks_.upper_bound(listed_); entry != ranks_.end();) {
    dropped.push_back(entry->second);
    entry = ranks_.erase(entry);
  }
  nextRank_ = listed_ + 1;
  return dropped;
}

std::uint64_t BatchState::chunkOf(std::uint64_t position) const {
  const auto& starts = meta_.chunkPositions;
  const auto after = std::upper_bound(starts.begin(), starts.end(), position);
  return static_cast<std::uint64_t>(after - starts.begin()) - 1;
}

std::uint64_t BatchState::chunkEnd(std::uint64_t chunk) const {
  const auto& starts = meta_.chunkPositions;
  return chunk + 1 < starts.size() ? starts[chunk + 1] : meta_.itemCount;
}

}  // namespace shedshed
