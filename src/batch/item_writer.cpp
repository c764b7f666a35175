#include "batch/item_writer.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Limit on the events deferred by one write. Further events are dropped; their senders retry.
constexpr std::size_t kMaxWaiters = 8;

}  // namespace

bool ItemWriter::deferWhileWriting(BatchState& batch, std::uint64_t position,
                                   std::function<void()> event) {
  const auto found = batch.writesInFlight.find(position);
  if (found == batch.writesInFlight.end()) {
    return false;
  }
  if (found->second.size() < kMaxWaiters) {
    found->second.push_back(std::move(event));
  }
  return true;
}

void ItemWriter::assignRank(BatchState& batch, std::optional<ItemRecord>& record) {
  if (record && isFinal(record->state) && batch.listsByCompletion()) {
    record->rank = batch.nextRank();
  }
}

void ItemWriter::reassignRanks(BatchState& batch) {
  const PartitionId partition = partitionOfBatch(batch.id());
  std::vector<std::uint64_t> positions = std::move(batch.unranked);
  batch.unranked.clear();
  for (const std::uint64_t position : positions) {
    const auto row = store_.get(partition, itemKey(batch.id(), position));
    Result<ItemRecord> record = decodeRecord<ItemRecord>(row.value_or(std::string()));
    if (record && batch.writesInFlight.count(position) == 0) {
      writeItem(batch, position, std::move(record.value()), [] {});
    }
  }
}

std::vector<std::function<void()>> ItemWriter::takeWaiters(BatchState& batch,
                                                           std::uint64_t position) {
  std::vector<std::function<void()>> waiters;
  const auto found = batch.writesInFlight.find(position);
  if (found != batch.writesInFlight.end()) {
    waiters = std::move(found->second);
    batch.writesInFlight.erase(found);
  }
  return waiters;
}

void ItemWriter::writeItem(BatchState& batch, std::uint64_t position,
                           std::optional<ItemRecord> record, std::function<void()> done) {
  batch.writesInFlight[position];
  assignRank(batch, record);
  TableEntry entry{itemKey(batch.id(), position), std::nullopt};
  if (record) {
    entry.value = encodeRecord(*record);
    // The body is in the encoded row; `BatchState` needs only the other fields.
    record->body.clear();
  }
  writer_.write(
      partitionOfBatch(batch.id()), {std::move(entry)},
      [this, batchId = batch.id(), position, record = std::move(record), done = std::move(done)] {
        BatchState* written = table_.find(batchId);
        if (written == nullptr) {
          return;
        }
        written->apply(position, record);
        written->advanceListed();
        // The write is ended before the callbacks run, because `done` may start the next one.
        std::vector<std::function<void()>> waiters = takeWaiters(*written, position);
        done();
        for (const auto& waiter : waiters) {
          waiter();
        }
        finishIfDone(*written);
      });
}

void ItemWriter::writeItems(BatchState& batch, std::vector<TableEntry> entries, ItemRecords records,
                            std::function<void(BatchState&)> done) {
  for (auto& [position, record] : records) {
    assignRank(batch, record);
    TableEntry entry{itemKey(batch.id(), position), std::nullopt};
    if (record) {
      entry.value = encodeRecord(*record);
    }
    entries.push_back(std::move(entry));
    batch.writesInFlight[position];
  }
  writer_.write(partitionOfBatch(batch.id()), std::move(entries),
                [this, batchId = batch.id(), records = std::move(records), done = std::move(done)] {
                  BatchState* written = table_.find(batchId);
                  if (written == nullptr) {
                    return;
                  }
                  for (const auto& [position, record] : records) {
                    written->apply(position, record);
                  }
                  written->advanceListed();
                  std::vector<std::function<void()>> waiters;
                  for (const auto& entry : records) {
                    for (auto& waiter : takeWaiters(*written, entry.first)) {
                      waiters.push_back(std::move(waiter));
                    }
                  }
                  done(*written);
                  for (const auto& waiter : waiters) {
                    waiter();
                  }
                  finishIfDone(*written);
                });
}

void ItemWriter::revertAttempt(BatchState& batch, std::uint64_t position, std::uint64_t attempt,
                               bool mayHaveRun, std::function<void()> done) {
  std::uint64_t& highest = batch.revertedAttempts[position];
  highest = std::max(highest, attempt);
  writeItem(batch, position, pendingRecord(mayHaveRun || batch.mayHaveRun(position)),
            std::move(done));
}

std::optional<ItemRecord> ItemWriter::pendingRecord(bool mayHaveRun) {
  if (!mayHaveRun) {
    return std::nullopt;
  }
  ItemRecord record;
  record.state = ItemState::Pending;
  record.mayHaveRun = true;
  return record;
}

void ItemWriter::finishIfDone(BatchState& batch) {
  const bool ready = batch.committed && batch.allFinal() && batch.writesInFlight.empty();
  if (!ready || batch.finished() || batch.finalWriteInFlight) {
    return;
  }
  batch.finalWriteInFlight = true;
  const BatchStatus status = batch.status();
  std::vector<TableEntry> entries{{finalKey(batch.id()), encodeRecord(status)}};
  // Bodies of finished items are no longer read, so they are erased to free storage.
  const std::uint64_t chunks =
      std::min<std::uint64_t>(batch.meta().chunkPositions.size(), maxErasedRowsPerWrite_);
  for (std::uint64_t chunk = 0; chunk < chunks; ++chunk) {
    entries.push_back({bodyKey(batch.id(), chunk), std::nullopt});
  }
  writer_.write(partitionOfBatch(batch.id()), std::move(entries),
                [this, batchId = batch.id(), status] {
                  BatchState* finished = table_.find(batchId);
                  if (finished == nullptr) {
                    return;
                  }
                  finished->setFinished(status);
                  finished->finishedAt = context_.now();
                  context_.counters().add("batches_finished_total");
                });
}

}  // namespace shedshed
