/// @file
/// The slots that a data node holds: renewal, re-assertion and release.
#pragma once

#include "kernel/core.h"
#include "partition/owner_locator.h"
#include "slots/slot_messages.h"
#include "slots/slot_safeguards.h"

#include <cstdint>
#include <map>
#include <vector>

namespace shedshed {

/// Interval of the holder's housekeeping while it holds or releases anything.
inline constexpr Duration kHolderTick = std::chrono::milliseconds(250);
/// A renewal without an answer is sent again after this long, to the next candidate.
inline constexpr Duration kRenewalRetry = std::chrono::seconds(1);
/// A release without an answer is sent again after this long, to the next candidate.
inline constexpr Duration kReleaseRetry = std::chrono::milliseconds(500);
/// A slot is renewed when this part of its time to live has passed.
inline constexpr int kRenewalsPerTimeToLive = 3;

/// A granted slot as its holder sees it. The holder may rely on it until `validUntil`, which is
/// counted from before the request that the owner last answered was sent.
struct HolderLease {
  SlotClaim claim;
  Time validUntil;
};

/// Renews, re-asserts and releases slots. Core thread only.
class SlotHolder {
 public:
  /// Keeps references to both; they must outlive it.
  SlotHolder(CoreContext& context, OwnerLocator& locator, SlotSafeguards safeguards);

  /// A slot was granted to @p claim, whose request was first sent at @p sentAt.
  void add(const SlotClaim& claim, Time sentAt);

  /// Gives the slot of @p token back. Does nothing if it is not held.
  void release(const OwnerToken& token);

  /// Releases a slot that @p claim may have been granted without this node's knowledge.
  void abandon(const SlotClaim& claim);

  /// Releases at once what an owner granted to a token that is not wanted any more.
  /// @return false if nothing is known of @p token.
  bool releaseAgain(const OwnerToken& token);

  void renewed(const NodeId& from, const RenewSlotsReply& reply);
  void released(const NodeId& from, const ReleaseSlotReply& reply);
  void recoveryNoticed(const NodeId& from, const RecoveryNotice& notice);

  /// Answers an owner that asks for @p claims: renews those that are held, releases @p unknown.
  void answerCheck(const NodeId& from, const std::vector<SlotClaim>& claims,
                   const std::vector<SlotClaim>& unknown);

  /// True if a grant of @p epoch predates a recovery that this holder has already answered: the
  /// owner does not know of it.
  bool predatesRecovery(const PartitionId& partition, std::uint64_t epoch) const;

  /// Sends what is due. Call every `kHolderTick`.
  void tick();

  bool holds(const OwnerToken& token) const;

  /// True if nothing is held and every release has been acknowledged.
  bool idle() const { return held_.empty() && releasing_.empty(); }
  std::vector<HolderLease> leases() const;

 private:
  struct HeldSlot {
    SlotClaim claim;
    PartitionId partition;
    Time validUntil;
    Time renewAt;
    std::uint32_t attempt = 0;
    NodeId asked;  ///< Where the last renewal went; empty once it is answered.
  };
  struct ReleasingSlot {
    SlotClaim claim;
    PartitionId partition;
    Time giveUpAt;
    Time sendAt;
    std::uint32_t attempt = 0;
    NodeId asked;  ///< Where it was sent last; empty after a redirect.
  };

  static Duration timeToLive(const SlotClaim& claim);
  Time nextRenewal(const SlotClaim& claim);
  void startRelease(const SlotClaim& claim);
  void sendRelease(ReleasingSlot& releasing);
  void sendRenewals();
  void sendReleases();
  void forgetRounds();
  void applyRenewal(const NodeId& from, const RenewSlotsReply& reply, const RenewedSlot& slot);
  void renewElsewhere(HeldSlot& held, const NodeId& from, const NodeId& hint);

  CoreContext& context_;
  OwnerLocator& locator_;
  SlotSafeguards safeguards_;
  std::map<OwnerToken, HeldSlot> held_;
  std::map<OwnerToken, ReleasingSlot> releasing_;
  std::map<PartitionId, std::uint64_t> recoveredEpochs_;
  std::map<std::uint64_t, Time> rounds_;  ///< When each renewal message was sent.
  std::uint64_t lastRound_ = 0;
  Time nextRenewalTime_;
};

}  // namespace shedshed
