#include "register/applied_change_log.h"

#include <cstdio>
#include <xxhash.h>

namespace shedshed {

namespace {

std::string blockKey(const std::string& prefix, std::uint64_t block) {
  char text[24];
  std::snprintf(text, sizeof(text), "%012llu", static_cast<unsigned long long>(block));
  return prefix + text;
}

}  // namespace

Digest digestOf(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return Digest{hash.high64, hash.low64};
}

Digest nextChain(const Digest& chain, const AppliedChange& entry) {
  const std::uint64_t words[] = {chain.high, chain.low, entry.keyDigest.high, entry.keyDigest.low,
                                 entry.contentHash};
  std::string bytes;
  for (std::uint64_t word : words) {
    for (int shift = 0; shift < 64; shift += 8) {
      bytes.push_back(static_cast<char>(word >> shift));
    }
  }
  return digestOf(bytes);
}

Result<AppliedChangeLog> AppliedChangeLog::load(const RecordReader& records,
                                                const std::string& prefix, std::uint64_t version) {
  AppliedChangeLog log;
  bool first = true;
  for (const std::string& key : records.keys(prefix)) {
    Result<std::optional<std::string>> bytes = records.read(key);
    if (!bytes || !bytes.value()) {
      return makeError(ErrorCode::StorageCorrupt, key);
    }
    Result<AppliedChangeBlock> block = decodeRecord<AppliedChangeBlock>(*bytes.value());
    if (!block) {
      return makeError(ErrorCode::StorageCorrupt, key);
    }
    if (first) {
      const std::uint64_t index = std::stoull(key.substr(prefix.size()));
      log.resetTo(index * kBlockEntries, block.value().chainBefore);
      first = false;
    }
    if (block.value().chainBefore != log.chain()) {
      return makeError(ErrorCode::StorageCorrupt, key);
    }
    for (const AppliedChange& entry : block.value().entries) {
      log.append(entry);
    }
  }
  if (log.version() != version) {
    return makeError(ErrorCode::StorageCorrupt, prefix);
  }
  log.changedBlocks_.clear();
  return log;
}

Digest AppliedChangeLog::chain() const {
  return entries_.empty() ? chainBefore_ : entries_.back().chain;
}

std::optional<Digest> AppliedChangeLog::chainAt(std::uint64_t version) const {
  if (version < baseVersion_ || version > this->version()) {
    return std::nullopt;
  }
  return version == baseVersion_ ? chainBefore_ : entries_[version - baseVersion_ - 1].chain;
}

const AppliedChange* AppliedChangeLog::at(std::uint64_t version) const {
  if (version <= baseVersion_ || version > this->version()) {
    return nullptr;
  }
  return &entries_[version - baseVersion_ - 1].entry;
}

std::optional<std::uint64_t> AppliedChangeLog::versionOf(const Digest& keyDigest) const {
  const auto found = versionByKey_.find(keyDigest);
  if (found == versionByKey_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void AppliedChangeLog::append(const AppliedChange& entry) {
  entries_.push_back({entry, nextChain(chain(), entry)});
  versionByKey_[entry.keyDigest] = version();
  changedBlocks_.insert(blockOf(version()));
  if (entries_.size() >= kCapacity + kBlockEntries) {
    evictOldest();
  }
}

void AppliedChangeLog::evictOldest() {
  changedBlocks_.insert(blockOf(firstVersion()));
  for (std::uint64_t count = 0; count < kBlockEntries; ++count) {
    versionByKey_.erase(entries_.front().entry.keyDigest);
    chainBefore_ = entries_.front().chain;
    entries_.pop_front();
    ++baseVersion_;
  }
}

void AppliedChangeLog::truncate(std::uint64_t version) {
  while (this->version() > version && !entries_.empty()) {
    changedBlocks_.insert(blockOf(this->version()));
    versionByKey_.erase(entries_.back().entry.keyDigest);
    entries_.pop_back();
  }
}

void AppliedChangeLog::resetTo(std::uint64_t version, const Digest& chain) {
  truncate(baseVersion_);
  baseVersion_ = version;
  chainBefore_ = chain;
}

std::vector<AppliedChange> AppliedChangeLog::slice(std::uint64_t from, std::uint64_t upTo,
                                                   std::size_t limit) const {
  std::vector<AppliedChange> entries;
  for (std::uint64_t version = from; version <= upTo && entries.size() < limit; ++version) {
    const AppliedChange* entry = at(version);
    if (entry == nullptr) {
      break;
    }
    entries.push_back(*entry);
  }
  return entries;
}

void AppliedChangeLog::markBlocksChanged(const AppliedChangeLog& other) {
  for (const AppliedChangeLog* log : {static_cast<const AppliedChangeLog*>(this), &other}) {
    if (log->entries_.empty()) {
      continue;
    }
    for (std::uint64_t block = blockOf(log->firstVersion()); block <= blockOf(log->version());
         ++block) {
      changedBlocks_.insert(block);
    }
  }
}

std::vector<Mutation> AppliedChangeLog::takeMutations(const std::string& prefix) {
  std::vector<Mutation> mutations;
  for (std::uint64_t block : changedBlocks_) {
    const std::uint64_t first = block * kBlockEntries + 1;
    if (first < firstVersion() || first > version()) {
      mutations.push_back({blockKey(prefix, block), std::nullopt});
      continue;
    }
    AppliedChangeBlock record;
    record.chainBefore = *chainAt(first - 1);
    record.entries = slice(first, version(), kBlockEntries);
    mutations.push_back({blockKey(prefix, block), encodeRecord(record)});
  }
  changedBlocks_.clear();
  return mutations;
}

}  // namespace shedshed
