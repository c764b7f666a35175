/// @file
/// A partition store for tests: acknowledged rows in one shared map, writes that complete when the
/// test says so, and a takeover by another instance at any moment.
#pragma once

#include "partition/partition_store.h"

#include <deque>
#include <map>
#include <set>

namespace shedshed::test {

/// State that a majority has: acknowledged rows, and the owner with its epoch.
struct FakeMajority {
  FakeMajority() {
    for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
      indices.push_back(index);
    }
  }
  using Table = std::map<std::string, std::string>;
  std::vector<std::uint32_t> indices;  ///< Partitions that exist; long tests keep few.
  std::map<PartitionId, Table> tables;
  std::uint64_t epoch = 0;
  NodeId owner;
};

inline void applyEntries(FakeMajority::Table& table, const std::vector<TableEntry>& entries) {
  for (const TableEntry& entry : entries) {
    if (entry.value) {
      table[entry.key] = *entry.value;
    } else {
      table.erase(entry.key);
    }
  }
}

/// One store's view. Owns all partitions or none. A fenced owner continues to act as the owner
/// until `notifyOwnershipLost`.
class FakePartitionStore : public PartitionStore {
 public:
  FakePartitionStore(FakeMajority& majority, NodeId self)
      : majority_(majority), self_(std::move(self)) {}

  /// Takes over from @p previous, of whose outstanding writes the oldest @p surviving are found on
  /// a replica. `MemoryLost` discards all rows.
  void takeOver(FakePartitionStore* previous, std::size_t surviving, RecoveryKind recovery) {
    for (std::size_t i = 0; previous != nullptr && i < surviving && i < previous->pending.size();
         ++i) {
      applyEntries(majority_.tables[previous->pending[i].partition], previous->pending[i].entries);
    }
    if (recovery == RecoveryKind::MemoryLost) {
      majority_.tables.clear();
      for (const std::uint32_t index : majority_.indices) {
        majority_.tables[{TableKind::Slots, index}][kRecoveringRow] = "";
      }
    }
    ++majority_.epoch;
    majority_.owner = self_;
    failPending();
    believedEpoch_ = majority_.epoch;
    tables_ = majority_.tables;
    for (const std::uint32_t index : majority_.indices) {
      listener_->ownershipGained({TableKind::Slots, index}, believedEpoch_, recovery);
    }
  }

  void notifyOwnershipLost() {
    if (believedEpoch_ == 0 || majority_.owner == self_) {
      return;
    }
    believedEpoch_ = 0;
    for (const std::uint32_t index : majority_.indices) {
      listener_->ownershipLost({TableKind::Slots, index});
    }
    failPending();
  }

  /// Completes the oldest outstanding write or confirmation of ownership. @return false if there is
  /// none.
  bool completeOne() {
    if (pending.empty()) {
      return false;
    }
    const Pending oldest = std::move(pending.front());
    pending.pop_front();
    if (majority_.owner != self_ || majority_.epoch != oldest.epoch) {
      oldest.done(makeError(ErrorCode::NotOwner));
      return true;
    }
    applyEntries(majority_.tables[oldest.partition], oldest.entries);
    oldest.done(okStatus());
    return true;
  }

  void setListener(TableKind, PartitionListener& listener) override { listener_ = &listener; }
  bool owns(const PartitionId&) const override { return believedEpoch_ != 0; }
  std::uint64_t epoch(const PartitionId&) const override { return believedEpoch_; }
  NodeId ownerHint(const PartitionId&) const override { return majority_.owner; }
  void write(const PartitionId& partition, std::vector<TableEntry> entries,
             std::function<void(Status)> done) override {
    applyEntries(tables_[partition], entries);
    enqueue(partition, std::move(entries), std::move(done));
  }
  void confirmOwnership(const PartitionId& partition, std::function<void(Status)> done) override {
    enqueue(partition, {}, std::move(done));
  }
  std::optional<std::string> get(const PartitionId& partition,
                                 std::string_view key) const override {
    const auto table = tables_.find(partition);
    if (table == tables_.end() || table->second.count(std::string(key)) == 0) {
      return std::nullopt;
    }
    return table->second.at(std::string(key));
  }
  void
  forEach(const PartitionId& partition, std::string_view prefix,
          const std::function<bool(std::string_view, const std::string&)>& visit) const override {
    const auto table = tables_.find(partition);
    if (table == tables_.end()) {
      return;
    }
    for (const auto& row : table->second) {
      if (row.first.compare(0, prefix.size(), prefix) == 0 && !visit(row.first, row.second)) {
        return;
      }
    }
  }

  struct Pending {
    PartitionId partition;
    std::uint64_t epoch = 0;
    std::vector<TableEntry> entries;
    std::function<void(Status)> done;
  };
  std::deque<Pending> pending;
  bool delayWrites = false;  ///< Writes wait for `completeOne`.

 private:
  void enqueue(const PartitionId& partition, std::vector<TableEntry> entries,
               std::function<void(Status)> done) {
    pending.push_back({partition, believedEpoch_, std::move(entries), std::move(done)});
    if (!delayWrites) {
      while (completeOne()) {
      }
    }
  }
  void failPending() {
    std::deque<Pending> failed;
    failed.swap(pending);
    for (const Pending& write : failed) {
      write.done(makeError(ErrorCode::NotOwner));
    }
  }

  FakeMajority& majority_;
  NodeId self_;
  PartitionListener* listener_ = nullptr;
  std::uint64_t believedEpoch_ = 0;
  std::map<PartitionId, FakeMajority::Table> tables_;
};

}  // namespace shedshed::test
