/// @file
/// The holder's side of the numbered slots: acquisition under several limits.
#pragma once

#include "kernel/core.h"
#include "partition/owner_locator.h"
#include "slots/slot_acquisition.h"
#include "slots/slot_client.h"
#include "slots/slot_messages.h"
#include "slots/slot_releaser.h"
#include "slots/slot_renewer.h"
#include "slots/slot_safeguards.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace shedshed {

/// Time after which a limit's fail mode applies if its owner has neither granted nor rejected.
inline constexpr Duration kStoreDeadline = std::chrono::milliseconds(1500);
/// Time after which a store that has not answered is skipped for the next candidate.
inline constexpr Duration kAttemptTimeout = std::chrono::milliseconds(250);
/// Backoff before a request is sent again after `NotReady`, or after redirects that do not reach
/// the owner.
inline constexpr Duration kAttemptBackoff = std::chrono::milliseconds(100);
/// Redirects that are followed without a backoff.
inline constexpr std::uint32_t kImmediateRedirects = 2;

struct SlotClientOptions {
  SlotSafeguards safeguards;
  Duration storeDeadline = kStoreDeadline;
};

/// Acquires slots for this data node; `SlotRenewer` renews them, `SlotReleaser` releases them.
///
/// The limits of a request are requested one after the other, each with a token of its own. A token
/// whose request was abandoned is released, whether or not its grant ever arrives.
class SlotClientCore : public Core, public SlotClient {
 public:
  /// Keeps references; they must outlive it.
  SlotClientCore(CoreContext& context, OwnerLocator& locator, SlotClientOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  void acquire(SlotRequest request, std::function<void(Result<SlotGrant>)> done) override;
  void release(std::uint64_t grantId) override;

  /// True if nothing is held or requested, and every release has been acknowledged.
  bool idle() const { return acquisitions_.empty() && renewer_.idle() && releaser_.idle(); }

  /// The slots held by this node, for operators and invariants.
  std::vector<HolderLease> leases() const { return renewer_.leases(); }

 private:
  void requestAllLimits(std::uint64_t id);
  void requestCurrentLimit(std::uint64_t id);
  void sendRequest(std::uint64_t id);
  void scheduleRetry(std::uint64_t id, Duration backoff);
  void onRequestTimeout(std::uint64_t id);

  void onReply(const NodeId& from, const AcquireSlotReply& reply);
  void onGranted(std::uint64_t id, const AcquireSlotReply& reply);
  void onRedirected(std::uint64_t id, const NodeId& from, const AcquireSlotReply& reply);
  void onPoolFull(std::uint64_t id, std::uint32_t poolSize);
  void onStoreFailed(std::uint64_t id);
  void onGrantedSlotsQuery(const NodeId& from, const GrantedSlotsQuery& query);

  void finishGranted(std::uint64_t id);
  void finishRejected(std::uint64_t id, ErrorCode code,
                      std::optional<std::uint32_t> poolSize = std::nullopt);
  void releaseGranted(SlotAcquisition& acquisition);
  /// Releases a slot that @p claim may have been granted without this node's knowledge.
  void abandon(const SlotClaim& claim);
  void releaseLateGrant(const SlotClaim& claim);
  OwnerToken newToken();

  CoreContext& context_;
  OwnerLocator& locator_;
  const SlotClientOptions options_;
  SlotReleaser releaser_;
  SlotRenewer renewer_;
  std::map<std::uint64_t, SlotAcquisition> acquisitions_;    ///< By id, also that of its timer.
  std::map<OwnerToken, std::uint64_t> requestedTokens_;      ///< Acquisition of each open request.
  std::map<std::uint64_t, std::vector<OwnerToken>> grants_;  ///< By grant id.
  std::uint64_t lastAcquisitionId_ = 0;
  std::uint64_t lastAttempt_ = 0;
};

}  // namespace shedshed
