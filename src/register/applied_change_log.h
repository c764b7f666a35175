/// @file
/// The applied-change log of a register: maps each version to the change request that produced it.
/// It identifies a resent request, which gets the outcome of the first one.
///
/// Each version of a register was produced by exactly one change request, so the log is a sequence
/// with one entry a version. The quorum rounds never carry the complete log: a hash chain (`chain`)
/// identifies the sequence up to a version, so two logs with the same chain at the same version are
/// equal. An accept carries one entry and the chain before it.
#pragma once

#include "kernel/core.h"

#include <cstdint>
#include <deque>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace shedshed {

/// A 128-bit XXH3 hash.
struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const Digest& other) const { return high == other.high && low == other.low; }
  bool operator!=(const Digest& other) const { return !(*this == other); }
  bool operator<(const Digest& other) const {
    return std::tie(high, low) < std::tie(other.high, other.low);
  }
  MSGPACK_DEFINE(high, low);
};

/// Hashes @p bytes.
Digest digestOf(std::string_view bytes);

/// The change request that produced one version.
struct AppliedChange {
  Digest keyDigest;               ///< Hash of the idempotency key.
  std::uint64_t contentHash = 0;  ///< Hash of the base version and of the requested content.

  bool operator==(const AppliedChange& other) const {
    return keyDigest == other.keyDigest && contentHash == other.contentHash;
  }
  MSGPACK_DEFINE(keyDigest, contentHash);
};

/// Returns the chain after @p entry, given the chain before it.
Digest nextChain(const Digest& chain, const AppliedChange& entry);

/// A block of entries, stored as one durable record.
struct AppliedChangeBlock {
  Digest chainBefore;
  std::vector<AppliedChange> entries;
  MSGPACK_DEFINE(chainBefore, entries);
};

/// The newest entries of a register and the chain at each of them. Bounded: the oldest entries are
/// evicted.
class AppliedChangeLog {
 public:
  /// Minimum number of retained entries: several days of thousands of changes.
  static constexpr std::size_t kCapacity = 50000;
  /// Entries in one durable record; a change rewrites one record of at most about 2 KB.
  static constexpr std::uint64_t kBlockEntries = 64;

  /// Restores the log up to @p version from the records below @p prefix.
  static Result<AppliedChangeLog> load(const RecordReader& records, const std::string& prefix,
                                       std::uint64_t version);

  /// The version of the newest entry.
  std::uint64_t version() const { return baseVersion_ + entries_.size(); }

  /// The oldest version in the log; `version() + 1` if it is empty.
  std::uint64_t firstVersion() const { return baseVersion_ + 1; }

  /// The chain after the newest entry.
  Digest chain() const;

  /// The chain after the entry of @p version, or nullopt if it is evicted or not yet known.
  std::optional<Digest> chainAt(std::uint64_t version) const;

  /// The entry of @p version, or nullptr.
  const AppliedChange* at(std::uint64_t version) const;

  /// The version that the change with the key hash @p keyDigest produced, or nullopt.
  std::optional<std::uint64_t> versionOf(const Digest& keyDigest) const;

  /// Adds the entry of the next version.
  void append(const AppliedChange& entry);

  /// Removes the entries above @p version, which must be at least `firstVersion() - 1`.
  void truncate(std::uint64_t version);

  /// Clears the log; the next entry is that of @p version + 1. @p version must be a multiple of
  /// `kBlockEntries`.
  void resetTo(std::uint64_t version, const Digest& chain);

  /// Returns at most @p limit entries from @p from on.
  std::vector<AppliedChange> slice(std::uint64_t from, std::uint64_t upTo, std::size_t limit) const;

  /// Marks every block that either log holds as changed, before this one replaces @p other.
  void markBlocksChanged(const AppliedChangeLog& other);

  /// Returns the record changes since the last call.
  std::vector<Mutation> takeMutations(const std::string& prefix);

 private:
  struct ChainedEntry {
    AppliedChange entry;
    Digest chain;
  };
  static std::uint64_t blockOf(std::uint64_t version) { return (version - 1) / kBlockEntries; }
  void evictOldest();
  /// Version before the oldest entry; a multiple of kBlockEntries.

  std::uint64_t baseVersion_ = 0;
  Digest chainBefore_;
  std::deque<ChainedEntry> entries_;
  std::map<Digest, std::uint64_t> versionByKey_;
  std::set<std::uint64_t> changedBlocks_;
};

}  // namespace shedshed
