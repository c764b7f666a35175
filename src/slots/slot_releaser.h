/// @file
/// Sends the releases of this node's slots until their owners have acknowledged them.
#pragma once

#include "kernel/core.h"
#include "partition/owner_locator.h"
#include "slots/slot_messages.h"

#include <cstdint>
#include <map>

namespace shedshed {

/// A release without an answer is sent again after this long, to the next candidate.
inline constexpr Duration kReleaseRetry = std::chrono::milliseconds(500);

/// Sends each release until an owner acknowledges it, or until the slot has expired at its owner
/// without it. Core thread only.
class SlotReleaser {
 public:
  /// Keeps references to both; they must outlive this object.
  SlotReleaser(CoreContext& context, OwnerLocator& locator)
      : context_(context), locator_(locator) {}

  /// Releases the slot that the token of @p claim holds, or may hold without this node's knowledge.
  void release(const SlotClaim& claim);

  /// Sends the pending release of @p token again at once: an owner has just granted a slot to it.
  /// @return false if no release of @p token is pending.
  bool releaseAgain(const OwnerToken& token);

  void onReply(const NodeId& from, const ReleaseSlotReply& reply);

  /// Resends the releases that are due. Call every `kHolderTick`.
  void tick();

  /// True if every release has been acknowledged or is no longer needed.
  bool idle() const { return pending_.empty(); }

 private:
  struct PendingRelease {
    SlotClaim claim;
    PartitionId partition;
    Time expiresAt;  ///< The slot has expired at its owner by then.
    Time sendAt;
    std::uint32_t attempt = 0;
    NodeId target;  ///< Where it was sent last; empty after a redirect.
  };

  void send(PendingRelease& release);

  CoreContext& context_;
  OwnerLocator& locator_;
  std::map<OwnerToken, PendingRelease> pending_;
};

}  // namespace shedshed
