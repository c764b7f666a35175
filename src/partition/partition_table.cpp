#include "partition/partition_table.h"

#include "kernel/rendezvous.h"

#include <utility>

namespace shedshed {

namespace {

/// A row as stored in the durable records.
struct RowRecord {
  VersionedRow row;
  std::uint64_t hash = 0;
  MSGPACK_DEFINE(row, hash);
};

std::uint64_t hashRow(const VersionedRow& row) {
  std::string bytes;
  bytes.reserve(row.key.size() + row.value.size() + 64);
  bytes += std::to_string(row.key.size()) + ":" + row.key;
  bytes += std::to_string(row.version.epoch) + ":" + std::to_string(row.version.sequence) + ":";
  bytes += row.erased ? "-" : "+";
  bytes += row.value;
  return hash64(bytes);
}

/// Returns the row record under @p recordKey, or nullopt if it is absent or damaged.
std::optional<RowRecord> readRecord(CoreContext& context, const std::string& recordKey) {
  const Result<std::optional<std::string>> bytes = context.records().read(recordKey);
  if (!bytes || !bytes.value()) {
    return std::nullopt;
  }
  Result<RowRecord> record = decodeRecord<RowRecord>(*bytes.value());
  if (!record || hashRow(record.value().row) != record.value().hash) {
    return std::nullopt;
  }
  return std::move(record).value();
}

}  // namespace

std::string partitionRecordPrefix(const PartitionId& partition) {
  return "partition/" + std::to_string(static_cast<int>(partition.kind)) + "/" +
         std::to_string(partition.index) + "/";
}

PartitionTable::PartitionTable(CoreContext& context, const PartitionId& partition)
    : context_(context), durable_(partition.kind == TableKind::Batches),
      recordPrefix_(partitionRecordPrefix(partition) + "row/") {}

void PartitionTable::load() {
  if (!durable_) {
    return;
  }
  for (const std::string& recordKey : context_.records().keys(recordPrefix_)) {
    const std::string key = recordKey.substr(recordPrefix_.size());
    const std::optional<RowRecord> record = readRecord(context_, recordKey);
    if (!record || record->row.key != key) {
      damagedKeys_.insert(key);
      continue;
    }
    insert(record->row, record->hash);
  }
}

void PartitionTable::dropDamaged() {
  context_.counters().add("partition_damaged_rows_total", static_cast<double>(damagedKeys_.size()));
  for (const std::string& key : damagedKeys_) {
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
      eraseEntry(found);
    }
  }
  damagedKeys_.clear();
}

void PartitionTable::put(const VersionedRow& row, std::vector<Mutation>& mutations) {
  const std::uint64_t hash = hashRow(row);
  if (durable_) {
    mutations.push_back({recordPrefix_ + row.key, encodeRecord(RowRecord{row, hash})});
  }
  insert(row, hash);
}

void PartitionTable::remove(const std::string& key, std::vector<Mutation>& mutations) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  eraseEntry(found);
  if (durable_) {
    mutations.push_back({recordPrefix_ + key, std::nullopt});
  }
}

void PartitionTable::merge(const TablePage& page, std::vector<Mutation>& mutations) {
  for (const VersionedRow& row : page.rows) {
    const auto found = entries_.find(row.key);
    if (found == entries_.end() || found->second.version < row.version) {
      put(row, mutations);
    }
  }
}

void PartitionTable::replaceRange(const TablePage& page, const Version& base,
                                  std::vector<Mutation>& mutations) {
  std::set<std::string> absent;
  auto entry = page.fromStart ? entries_.begin() : entries_.upper_bound(page.afterKey);
  for (; entry != entries_.end(); ++entry) {
    if (!page.last && page.throughKey < entry->first) {
      break;
    }
    if (!(base < entry->second.version)) {
      absent.insert(entry->first);
    }
  }
  for (const VersionedRow& row : page.rows) {
    absent.erase(row.key);
    const auto found = entries_.find(row.key);
    const bool keep = found != entries_.end() && found->second.version.epoch == base.epoch &&
                      row.version < found->second.version;
    const bool equal = found != entries_.end() && found->second.version == row.version &&
                       found->second.hash == hashRow(row);
    if (!keep && !equal) {
      put(row, mutations);
    }
  }
  for (const std::string& key : absent) {
    remove(key, mutations);
  }
}

void PartitionTable::collectTombstones(const Version& stable, std::vector<Mutation>& mutations) {
  while (!tombstones_.empty() && !(stable < tombstones_.begin()->first)) {
    const std::string key = tombstones_.begin()->second;
    remove(key, mutations);
  }
}

TablePage PartitionTable::page(bool fromStart, const std::string& afterKey) const {
  TablePage page;
  page.fromStart = fromStart;
  page.afterKey = afterKey;
  std::size_t bytes = 0;
  auto entry = fromStart ? entries_.begin() : entries_.upper_bound(afterKey);
  for (; entry != entries_.end() && bytes < kMaxPageBytes; ++entry) {
    page.throughKey = entry->first;
    const std::optional<std::string> value = readValue(entry->first, entry->second);
    if (!value) {
      continue;
    }
    page.rows.push_back({entry->first, entry->second.version, entry->second.erased, *value});
    bytes += entry->first.size() + value->size() + sizeof(VersionedRow);
  }
  page.last = entry == entries_.end();
  return page;
}

std::optional<VersionedRow> PartitionTable::row(const std::string& key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  std::optional<std::string> value = readValue(key, found->second);
  if (!value) {
    return std::nullopt;
  }
  return VersionedRow{key, found->second.version, found->second.erased, *std::move(value)};
}

std::optional<std::string> PartitionTable::value(const std::string& key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.erased) {
    return std::nullopt;
  }
  return readValue(key, found->second);
}

void PartitionTable::forEach(
    std::string_view prefix,
    const std::function<bool(std::string_view, const std::string&)>& visit) const {
  for (auto entry = entries_.lower_bound(std::string(prefix)); entry != entries_.end(); ++entry) {
    if (entry->first.compare(0, prefix.size(), prefix) != 0) {
      return;
    }
    if (entry->second.erased) {
      continue;
    }
    const std::optional<std::string> value = readValue(entry->first, entry->second);
    if (value && !visit(entry->first, *value)) {
      return;
    }
  }
}

void PartitionTable::insert(const VersionedRow& row, std::uint64_t hash) {
  const auto found = entries_.find(row.key);
  if (found != entries_.end()) {
    eraseEntry(found);
  }
  Entry entry;
  entry.version = row.version;
  entry.erased = row.erased;
  entry.hash = hash;
  if (!durable_) {
    entry.value = row.value;
  }
  entries_.emplace(row.key, std::move(entry));
  if (row.erased) {
    tombstones_.insert({row.version, row.key});
  } else {
    checksum_ ^= hash;
    ++liveRows_;
  }
}

void PartitionTable::eraseEntry(std::map<std::string, Entry>::iterator entry) {
  if (entry->second.erased) {
    tombstones_.erase({entry->second.version, entry->first});
  } else {
    checksum_ ^= entry->second.hash;
    --liveRows_;
  }
  entries_.erase(entry);
}

std::optional<std::string> PartitionTable::readValue(const std::string& key,
                                                     const Entry& entry) const {
  if (!durable_ || entry.erased) {
    return entry.value;
  }
  std::optional<RowRecord> record = readRecord(context_, recordPrefix_ + key);
  if (!record || record->hash != entry.hash) {
    damagedKeys_.insert(key);
    return std::nullopt;
  }
  return std::move(record->row.value);
}

}  // namespace shedshed
