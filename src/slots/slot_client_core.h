/// @file
/// The holder's side of the numbered slots: acquisition under several limits.
#pragma once

#include "kernel/core.h"
#include "partition/owner_locator.h"
#include "slots/slot_client.h"
#include "slots/slot_holder.h"
#include "slots/slot_messages.h"
#include "slots/slot_safeguards.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace shedshed {

/// A limit whose owner has not granted or refused by then is decided by its fail mode.
inline constexpr Duration kStoreDeadline = std::chrono::milliseconds(1500);
/// A store that is silent for this long is passed over for the next candidate.
inline constexpr Duration kAttemptTimeout = std::chrono::milliseconds(250);
/// Pause before the same owner is asked again after `NotReady`, or after redirects that lead
/// nowhere.
inline constexpr Duration kAttemptPause = std::chrono::milliseconds(100);
/// Redirects that are followed without a pause.
inline constexpr std::uint32_t kImmediateRedirects = 2;

struct SlotClientOptions {
  SlotSafeguards safeguards;
  Duration storeDeadline = kStoreDeadline;
};

/// Acquires, renews and releases slots for this data node.
///
/// The limits of a request are asked one after the other, in the order of their pools' names on
/// every node. Each try has a token of its own; a token that was given up on is released, whether
/// or not its grant ever arrives.
class SlotClientCore : public Core, public SlotClient {
 public:
  /// Keeps references; they must outlive it.
  SlotClientCore(CoreContext& context, OwnerLocator& locator, SlotClientOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  void acquire(SlotRequest request, std::function<void(Result<SlotGrant>)> done) override;
  void release(std::uint64_t grantId) override;

  /// True if nothing is held or asked for, and every release has been acknowledged.
  bool idle() const { return acquisitions_.empty() && holder_.idle(); }

  /// The slots held by this node, for operators and invariants.
  std::vector<HolderLease> leases() const { return holder_.leases(); }

 private:
  using Done = std::function<void(Result<SlotGrant>)>;

  /// One request on its way through its limits.
  struct Acquisition {
    SlotRequest request;
    Done done;
    std::vector<std::size_t> order;  ///< Indices of the limits, in the order of asking.
    std::size_t position = 0;        ///< Limit being asked, in `order`.
    std::vector<SlotGrant::Slot> slots;
    std::vector<OwnerToken> taken;
    std::vector<SlotClaim> expiring;  ///< Of limits that hold until expiry.
    Time blockUntil;
    bool polling = false;
    // The try at the current limit:
    SlotClaim claim;
    NodeId asked;
    std::uint64_t attempt = 0;
    std::uint32_t candidate = 0;
    std::uint32_t redirects = 0;
    std::uint32_t requests = 0;
    Time firstSentAt;
    Time storeDeadline;
  };

  void beginRound(std::uint64_t id);
  void beginLimit(std::uint64_t id);
  void ask(std::uint64_t id);
  void retryAt(std::uint64_t id, Duration pause);
  void checkHeld(const NodeId& from, const GrantedSlotsQuery& query);
  void answered(const NodeId& from, const AcquireSlotReply& reply);
  void granted(std::uint64_t id, const AcquireSlotReply& reply);
  void redirected(std::uint64_t id, const NodeId& from, const AcquireSlotReply& reply);
  void refused(std::uint64_t id, std::uint32_t poolSize);
  void storeFailed(std::uint64_t id);
  void tryTimedOut(std::uint64_t id);
  void giveBack(Acquisition& acquisition);
  void finishGranted(std::uint64_t id);
  void finishRefused(std::uint64_t id, ErrorCode code);
  void releaseLateGrant(const SlotClaim& claim);
  bool failsOpen(const SlotLimit& limit) const;
  const SlotLimit& currentLimit(const Acquisition& acquisition) const;
  OwnerToken newToken();

  CoreContext& context_;
  OwnerLocator& locator_;
  SlotClientOptions options_;
  SlotHolder holder_;
  std::map<std::uint64_t, Acquisition> acquisitions_;
  std::map<OwnerToken, std::uint64_t> asking_;               ///< Token of each current try.
  std::map<std::uint64_t, std::vector<OwnerToken>> grants_;  ///< By grant id.
  std::uint64_t lastId_ = 0;
  std::uint64_t lastAttempt_ = 0;
};

}  // namespace shedshed
