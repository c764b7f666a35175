/// @file
/// The rows of one partition on one replica.
#pragma once

#include "kernel/core.h"
#include "partition/partition_messages.h"

#include <map>
#include <set>

namespace shedshed {

/// Rows by key with their versions, tombstones included. Values of `Batches` stay in the node's
/// durable records; only versions and hashes are in memory. Core thread only.
class PartitionTable {
 public:
  /// Limit of the rows in one message of a transfer, in bytes. A larger row travels alone.
  static constexpr std::size_t kMaxPageBytes = 256 * 1024;

  PartitionTable(CoreContext& context, const PartitionId& partition);

  /// Reads the rows of a `Batches` partition from the durable records. Rows that fail their own
  /// hash are left out, and `isDamaged` is set; other replicas still have them.
  void load();

  /// True once a row could not be read back, until `dropDamaged` is called. Such a row is treated
  /// as absent.
  bool isDamaged() const { return !damagedKeys_.empty(); }

  /// Removes the damaged rows, so that a merge or transfer restores them.
  void dropDamaged();

  /// Stores @p row, whatever the version of the present one. Appends what must be persisted to
  /// @p mutations.
  void put(const VersionedRow& row, std::vector<Mutation>& mutations);

  /// Removes @p key without a tombstone.
  void remove(const std::string& key, std::vector<Mutation>& mutations);

  /// Stores each row of @p page that is newer than the local one. Used between replicas of the same
  /// installed epoch, where the higher version is the later write.
  void merge(const TablePage& page, std::vector<Mutation>& mutations);

  /// Makes the key range of @p page equal to it, except for rows that a later write of @p base's
  /// epoch has set. Rows of older epochs that the page lacks were never acknowledged.
  void replaceRange(const TablePage& page, const Version& base, std::vector<Mutation>& mutations);

  /// Removes the tombstones up to @p stable, which every replica has applied.
  void collectTombstones(const Version& stable, std::vector<Mutation>& mutations);

  /// Returns the rows after @p afterKey (all if @p fromStart), up to `kMaxPageBytes`.
  TablePage page(bool fromStart, const std::string& afterKey) const;

  std::optional<VersionedRow> row(const std::string& key) const;
  std::optional<std::string> value(const std::string& key) const;

  /// Calls @p visit for the live rows with @p prefix, ascending, until it returns false. The table
  /// must not change meanwhile.
  void forEach(std::string_view prefix,
               const std::function<bool(std::string_view, const std::string&)>& visit) const;

  /// XOR over the live rows of the XXH3 hash of key, version and value. Tombstones are left out,
  /// so replicas that removed them at different times still compare equal.
  std::uint64_t checksum() const { return checksum_; }
  std::uint64_t liveRows() const { return liveRows_; }
  std::size_t tombstones() const { return tombstones_.size(); }

 private:
  struct Entry {
    Version version;
    bool erased = false;
    std::uint64_t hash = 0;
    std::string value;  ///< `Slots` only.
  };
  void insert(const VersionedRow& row, std::uint64_t hash);
  void eraseEntry(std::map<std::string, Entry>::iterator entry);
  std::optional<std::string> readValue(const std::string& key, const Entry& entry) const;

  CoreContext& context_;
  bool durable_;
  std::string recordPrefix_;
  std::map<std::string, Entry> entries_;
  std::set<std::pair<Version, std::string>> tombstones_;
  mutable std::set<std::string> damagedKeys_;  ///< Found by reads.
  std::uint64_t checksum_ = 0;
  std::uint64_t liveRows_ = 0;
};

/// Returns the prefix of all records of @p partition.
std::string partitionRecordPrefix(const PartitionId& partition);

}  // namespace shedshed
