#include "batch/batch_reader.h"

#include "kernel/message.h"

#include <algorithm>

namespace shedshed {

bool BatchReader::readResult(const BatchState& batch, std::uint64_t position,
                             ItemResult& result) const {
  if (!batch.finished() && !isFinal(batch.state(position))) {
    return false;
  }
  result.position = position;
  if (!batch.meta().names.empty()) {
    result.name = batch.meta().names[position];
  }
  result.state = ItemState::Cancelled;
  const PartitionId partition = partitionOfBatch(batch.id());
  const auto row = store_.get(partition, itemKey(batch.id(), position));
  if (!row) {
    // An item has a final state without a row only if it was cancelled before it started.
    return batch.cancelled();
  }
  Result<ItemRecord> record = decodeRecord<ItemRecord>(*row);
  if (!record) {
    return false;
  }
  if (record.value().state == ItemState::Pending && batch.cancelled()) {
    result.state = ItemState::Unknown;
    result.errorType = std::string(errorTypeName(ErrorCode::OutcomeUnknown));
    return true;
  }
  if (!isFinal(record.value().state)) {
    return false;
  }
  result.state = record.value().state;
  result.body = std::move(record.value().body);
  result.errorType = std::move(record.value().errorType);
  return true;
}

ResultPage BatchReader::resultPage(const BatchState& batch, std::uint64_t from,
                                   std::uint32_t limit) const {
  // In completion order, a slow item does not delay the results of others.
  const bool byCompletion = batch.listsByCompletion();
  const std::uint64_t end = byCompletion ? batch.listed() : batch.meta().itemCount;
  ResultPage page;
  page.itemCount = batch.meta().itemCount;
  page.next = std::min(from, end);
  const std::uint32_t bound = std::min(limit, maxPageItems_);
  std::uint64_t bytes = 0;
  while (page.results.size() < bound && page.next < end && bytes < maxPageBytes_) {
    const std::uint64_t position = byCompletion ? batch.positionAt(page.next) : page.next;
    ItemResult result;
    if (!readResult(batch, position, result)) {
      break;
    }
    result.position = page.next;
    bytes += result.body.size();
    page.results.push_back(std::move(result));
    ++page.next;
  }
  page.complete = page.next == end && (batch.finished() || batch.allFinal());
  return page;
}

std::vector<UnfinishedItem> BatchReader::unfinishedItems(const BatchState& batch,
                                                         std::uint64_t from,
                                                         std::uint32_t limit) const {
  std::vector<UnfinishedItem> items;
  if (batch.finished()) {
    return items;
  }
  const PartitionId partition = partitionOfBatch(batch.id());
  const std::uint32_t bound = std::min(limit, maxPageItems_);
  std::uint64_t bytes = 0;
  std::uint64_t loadedChunk = batch.meta().chunkPositions.size();
  BodyChunk chunk;
  for (std::uint64_t position = from; position < batch.meta().itemCount; ++position) {
    if (items.size() >= bound || bytes >= maxPageBytes_) {
      break;
    }
    const ItemState state = batch.state(position);
    if (isFinal(state)) {
      continue;
    }
    const std::uint64_t index = batch.chunkOf(position);
    if (index != loadedChunk) {
      const auto row = store_.get(partition, bodyKey(batch.id(), index));
      Result<BodyChunk> decoded = decodeRecord<BodyChunk>(row.value_or(std::string()));
      if (!decoded) {
        break;
      }
      chunk = std::move(decoded).value();
      loadedChunk = index;
    }
    const std::uint64_t offset = position - batch.meta().chunkPositions[index];
    items.push_back({position, state, chunk.items.at(offset)});
    bytes += chunk.items.at(offset).size();
  }
  return items;
}

}  // namespace shedshed
