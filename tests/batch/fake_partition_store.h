/// @file
/// In-memory partition store. The test can hold back the completion of writes. A takeover copies
/// the acknowledged rows to another instance, and the unacknowledged ones if the test asks for it.
#pragma once

#include "core_harness.h"
#include "partition/partition_store.h"

#include <map>
#include <set>

namespace shedshed::test {

/// The replica of one node, which owns all partitions or none.
class FakePartitionStore : public PartitionStore {
 public:
  FakePartitionStore(Harness& harness, const NodeId& self) : harness_(harness), self_(self) {}

  void setListener(TableKind, PartitionListener& listener) override { listener_ = &listener; }
  bool owns(const PartitionId&) const override { return believesOwner; }
  std::uint64_t epoch(const PartitionId&) const override { return believesOwner ? epoch_ : 0; }
  NodeId ownerHint(const PartitionId&) const override { return hint; }

  bool canAcceptNewData(const PartitionId&) const override { return !lowOnSpace; }

  void write(const PartitionId& partition, std::vector<TableEntry> entries,
             std::function<void(Status)> done) override {
    ++writes;
    for (const TableEntry& entry : entries) {
      bytesWritten += entry.key.size() + entry.value.value_or("").size();
    }
    apply(rows[partition], entries);
    pending.push_back({partition, std::move(entries), std::move(done)});
    if (!holdWrites) {
      harness_.deferred.push_back([this] { completeNext(); });
    }
  }
  void confirmOwnership(const PartitionId&, std::function<void(Status)> done) override {
    if (fenced) {
      done(makeError(ErrorCode::NotOwner));
    } else {
      harness_.deferred.push_back([done = std::move(done)] { done(okStatus()); });
    }
  }
  std::optional<std::string> get(const PartitionId& partition,
                                 std::string_view key) const override {
    ++rowsRead;
    const auto table = rows.find(partition);
    if (table == rows.end()) {
      return std::nullopt;
    }
    const auto row = table->second.find(std::string(key));
    return row == table->second.end() ? std::nullopt : std::optional<std::string>(row->second);
  }
  void
  forEach(const PartitionId& partition, std::string_view prefix,
          const std::function<bool(std::string_view, const std::string&)>& visit) const override {
    const auto table = rows.find(partition);
    if (table == rows.end()) {
      return;
    }
    for (auto it = table->second.lower_bound(std::string(prefix));
         it != table->second.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
      ++rowsRead;
      if (!visit(it->first, it->second)) {
        return;
      }
    }
  }

  /// Completes the oldest outstanding write. With @p error it fails and is not made durable.
  void completeNext(std::optional<ErrorCode> error = std::nullopt) {
    if (pending.empty()) {
      return;
    }
    Pending write = std::move(pending.front());
    pending.pop_front();
    if (fenced) {
      error = ErrorCode::NotOwner;
    } else if (failWrites) {
      error = failWrites;
    }
    if (!error) {
      apply(durable[write.partition], write.entries);
    }
    write.done(error ? Status(makeError(*error)) : okStatus());
  }

  /// Makes this node the owner of all partitions, with the rows that survived from @p previous.
  void takeOver(FakePartitionStore& previous, bool unacknowledgedSurvive) {
    rows = previous.durable;
    if (unacknowledgedSurvive) {
      for (const Pending& write : previous.pending) {
        apply(rows[write.partition], write.entries);
      }
    }
    previous.fenced = true;
    previous.hint = self_;
    begin(previous.epoch_ + 1);
  }
  void begin(std::uint64_t epoch) {
    epoch_ = epoch;
    hint = self_;
    fenced = false;
    believesOwner = true;
    durable = rows;
    pending.clear();
    for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
      listener_->ownershipGained({TableKind::Batches, index}, epoch, RecoveryKind::Complete);
    }
  }
  /// Notifies the fenced owner of its loss of ownership.
  void loseOwnership() {
    believesOwner = false;
    while (!pending.empty()) {
      completeNext();
    }
    for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
      listener_->ownershipLost({TableKind::Batches, index});
    }
  }

  struct Pending {
    PartitionId partition;
    std::vector<TableEntry> entries;
    std::function<void(Status)> done;
  };
  using Table = std::map<std::string, std::string>;
  static void apply(Table& table, const std::vector<TableEntry>& entries) {
    for (const TableEntry& entry : entries) {
      if (entry.value) {
        table[entry.key] = *entry.value;
      } else {
        table.erase(entry.key);
      }
    }
  }

  bool lowOnSpace = false;
  bool holdWrites = false;
  std::optional<ErrorCode> failWrites;
  bool fenced = true;
  bool believesOwner = false;
  NodeId hint;
  std::deque<Pending> pending;
  std::map<PartitionId, Table> rows;
  std::map<PartitionId, Table> durable;
  std::uint64_t writes = 0;
  std::uint64_t bytesWritten = 0;
  mutable std::uint64_t rowsRead = 0;

 private:
  Harness& harness_;
  NodeId self_;
  std::uint64_t epoch_ = 0;
  PartitionListener* listener_ = nullptr;
};

}  // namespace shedshed::test
