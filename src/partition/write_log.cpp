#include "partition/write_log.h"

#include <utility>

namespace shedshed {

void WriteLog::append(std::vector<std::string> keys, std::uint64_t checksum) {
  writes_.push_back({std::move(keys), checksum});
}

std::optional<std::uint64_t> WriteLog::checksumAt(std::uint64_t sequence) const {
  if (sequence == 0) {
    return baseChecksum_;
  }
  if (sequence < first_ || sequence > this->sequence()) {
    return std::nullopt;
  }
  return writes_[sequence - first_].checksum;
}

std::vector<std::vector<VersionedRow>> WriteLog::writesAfter(std::uint64_t sequence,
                                                             const PartitionTable& table) const {
  std::vector<std::vector<VersionedRow>> found;
  std::size_t bytes = 0;
  for (std::uint64_t next = sequence + 1;
       next <= this->sequence() && bytes < PartitionTable::kMaxPageBytes; ++next) {
    std::vector<VersionedRow> rows;
    for (const std::string& key : writes_[next - first_].keys) {
      std::optional<VersionedRow> row = table.row(key);
      if (row) {
        bytes += row->key.size() + row->value.size() + sizeof(VersionedRow);
        rows.push_back(*std::move(row));
      }
    }
    bytes += sizeof(Write);
    found.push_back(std::move(rows));
  }
  return found;
}

void WriteLog::trim(std::uint64_t needed) {
  while (writes_.size() > kMaxEntries && first_ <= needed) {
    writes_.pop_front();
    ++first_;
  }
}

}  // namespace shedshed
