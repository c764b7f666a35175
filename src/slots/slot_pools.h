/// @file
/// The pools of the partitions that a store owns, with their granted slots.
#pragma once

#include "slots/released_tokens.h"
#include "slots/slot_owner_environment.h"
#include "slots/slot_pool.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace shedshed {

/// The owner keeps a slot for this much longer than its holder relies on it. Covers the drift of
/// two monotonic clocks over one time to live.
inline constexpr Duration kExpiryMargin = std::chrono::milliseconds(250);
/// The holder of a slot that was granted or renewed this long ago is queried whether it still holds
/// it. Most calls have completed by then.
inline constexpr Duration kHolderCheckAge = std::chrono::seconds(2);

/// When a slot that is granted or renewed at @p now expires at its owner.
Time slotExpiry(const SlotClaim& claim, Time now);

/// The pools of one partition, at the epoch at which this store owns it.
struct OwnedPartition {
  std::uint64_t epoch = 0;
  std::map<std::string, SlotPool> pools;  ///< By pool hash.

  /// The pool of @p name; created empty if no slot of it was granted yet.
  SlotPool& pool(const PoolName& name);
};

/// An index in memory over the slot rows of the owned partitions. The rows are durable in the
/// `PartitionStore`; a successor rebuilds this index from them. Core thread only.
class SlotPools {
 public:
  /// Keeps the reference; it must outlive this object.
  explicit SlotPools(const SlotOwnerEnvironment& environment) : environment_(environment) {}

  /// Reads all rows of @p partition, which this store owns from now on.
  void load(const PartitionId& partition, std::uint64_t epoch);
  void unload(const PartitionId& partition) { partitions_.erase(partition); }

  /// Returns the partition if this store owns it, else nullptr.
  OwnedPartition* owned(const PartitionId& partition);

  /// Returns the slot that @p claim names, if its token still holds it and this store still owns
  /// @p partition at @p epoch; else nullptr. To be called when a write has completed: the slot may
  /// have been released, and the partition lost or taken over again, in the meantime.
  GrantedSlot* findGrant(const PartitionId& partition, std::uint64_t epoch, const SlotClaim& claim);

  /// Frees the numbers of all owned partitions whose time to live has passed without a renewal.
  void expireAll();
  /// The same for one pool of an owned partition.
  void expire(const PartitionId& partition, SlotPool& pool);

  /// All loaded partitions. One of them may have been lost already: see `PartitionStore::owns`.
  std::map<PartitionId, OwnedPartition>& partitions() { return partitions_; }
  const std::map<PartitionId, OwnedPartition>& partitions() const { return partitions_; }

  /// Tokens that released their slot recently.
  ReleasedTokens& releasedTokens() { return releasedTokens_; }

 private:
  void loadRow(OwnedPartition& owned, std::string_view key, const std::string& value);

  const SlotOwnerEnvironment& environment_;
  std::map<PartitionId, OwnedPartition> partitions_;
  ReleasedTokens releasedTokens_;
};

}  // namespace shedshed
