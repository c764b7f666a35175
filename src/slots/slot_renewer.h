/// @file
/// The slots that a data node holds: renewal and re-assertion.
#pragma once

#include "kernel/core.h"
#include "partition/owner_locator.h"
#include "slots/slot_lease_timing.h"
#include "slots/slot_messages.h"
#include "slots/slot_releaser.h"

#include <cstdint>
#include <map>
#include <vector>

namespace shedshed {

/// A renewal without an answer is sent again after this long, to the next candidate.
inline constexpr Duration kRenewalRetry = std::chrono::seconds(1);
/// Renewals of a slot within one time to live.
inline constexpr int kRenewalsPerTimeToLive = 3;

/// A granted slot as its holder sees it. The holder may rely on it until `validUntil`, which is
/// counted from before the request that the owner last answered was sent.
struct HolderLease {
  SlotClaim claim;
  Time validUntil;
};

/// Renews the slots of this node before they expire, and re-asserts them to owners whose memory was
/// lost. A slot whose renewals fail is kept: its call is still running, and a later owner may
/// confirm it. Core thread only.
class SlotRenewer {
 public:
  /// Keeps references to all; they must outlive this object. @p discardOldGrants: see
  /// `SlotSafeguards`.
  SlotRenewer(CoreContext& context, OwnerLocator& locator, SlotReleaser& releaser,
              bool discardOldGrants)
      : context_(context), locator_(locator), releaser_(releaser),
        discardOldGrants_(discardOldGrants) {}

  /// A slot was granted to @p claim, whose request was first sent at @p sentAt.
  void add(const SlotClaim& claim, Time sentAt);

  /// Stops renewing the slot of @p token and releases it. Does nothing if it is not held.
  void release(const OwnerToken& token);

  void onReply(const NodeId& from, const RenewSlotsReply& reply);
  void onRecoveryNotice(const NodeId& from, const RecoveryNotice& notice);

  /// Renews at @p owner those of @p claims that are held, in answer to its query.
  void answerQuery(const NodeId& owner, const std::vector<SlotClaim>& claims);

  /// True if a grant of @p epoch predates a recovery that this holder has already answered: the
  /// owner does not know of it.
  bool predatesRecovery(const PartitionId& partition, std::uint64_t epoch) const;

  /// Sends the renewals that are due. Call every `kHolderTick`.
  void tick();

  bool holds(const OwnerToken& token) const { return leases_.count(token) != 0; }
  bool idle() const { return leases_.empty(); }
  std::vector<HolderLease> leases() const;

 private:
  struct RenewedLease {
    SlotClaim claim;
    PartitionId partition;
    Time validUntil;
    Time renewAt;
    std::uint32_t attempt = 0;
    NodeId target;  ///< Destination of the last renewal; empty once it is answered.
  };

  /// Numbers @p request and sends it.
  void sendRenewal(const NodeId& owner, RenewSlots request);
  void sendDueRenewals();
  void evictOldRequests();
  Time nextRenewal(const SlotClaim& claim);
  void applyRenewal(const NodeId& from, const RenewSlotsReply& reply, const RenewedSlot& slot);
  void confirm(RenewedLease& lease, const RenewSlotsReply& reply, std::uint32_t number);
  void renewElsewhere(RenewedLease& lease, const NodeId& from, const NodeId& hint);

  CoreContext& context_;
  OwnerLocator& locator_;
  SlotReleaser& releaser_;
  const bool discardOldGrants_;
  std::map<OwnerToken, RenewedLease> leases_;
  std::map<PartitionId, std::uint64_t> recoveredEpochs_;
  std::map<std::uint64_t, Time> requestsSentAt_;  ///< By request number.
  std::uint64_t lastRequestNumber_ = 0;
  Time commonRenewalTime_;
};

}  // namespace shedshed
