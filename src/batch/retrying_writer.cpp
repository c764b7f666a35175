#include "batch/retrying_writer.h"

#include <utility>

namespace shedshed {

void RetryingWriter::begin(const PartitionId& partition, std::uint64_t epoch) {
  partitions_[partition] = Ownership{epoch, {}};
}

void RetryingWriter::write(const PartitionId& partition, std::vector<TableEntry> entries,
                           std::function<void()> done) {
  const auto owned = partitions_.find(partition);
  if (owned == partitions_.end()) {
    return;
  }
  const std::uint64_t epoch = owned->second.epoch;
  std::vector<TableEntry> written = entries;
  store_.write(partition, std::move(written),
               [this, partition, epoch, entries = std::move(entries),
                done = std::move(done)](const Status& status) mutable {
                 const auto current = partitions_.find(partition);
                 if (current == partitions_.end() || current->second.epoch != epoch) {
                   return;
                 }
                 if (status) {
                   done();
                   return;
                 }
                 context_.counters().add("batch_writes_failed_total");
                 if (status.error().code != ErrorCode::NotOwner) {
                   current->second.failed.push_back({std::move(entries), std::move(done)});
                 }
               });
}

void RetryingWriter::retryFailed(const PartitionId& partition) {
  const auto owned = partitions_.find(partition);
  if (owned == partitions_.end()) {
    return;
  }
  const std::vector<FailedWrite> failed = std::exchange(owned->second.failed, {});
  for (const FailedWrite& retry : failed) {
    write(partition, retry.entries, retry.done);
  }
}

}  // namespace shedshed
