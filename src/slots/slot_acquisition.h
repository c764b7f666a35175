/// @file
/// State of one request for slots whose limits are requested one after the other.
#pragma once

#include "kernel/node_id.h"
#include "slots/slot_client.h"
#include "slots/slot_messages.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace shedshed {

/// The requests for one limit's slot, all with one token.
struct LimitAttempt {
  SlotClaim claim;
  NodeId target;              ///< Destination of the last request; empty if answered.
  std::uint64_t attempt = 0;  ///< Number of the last request; echoed by the owner.
  std::uint32_t candidate = 0;
  std::uint32_t redirects = 0;  ///< Since the last pause.
  std::uint32_t requests = 0;
  Time firstSentAt;
  Time storeDeadline;  ///< The limit's fail mode applies after this.
};

/// Progress of one request for slots through its limits. Sends no messages; `SlotClientCore` does.
///
/// The limits are requested in the order of their pools' names, which is the same on every node, so
/// that two requests cannot deadlock on each other's slots.
class SlotAcquisition {
 public:
  using Done = std::function<void(Result<SlotGrant>)>;

  /// @p done is called by `finishGranted` and `finishRejected`.
  SlotAcquisition(SlotRequest request, Done done, Time now);

  const SlotRequest& request() const { return request_; }
  const SlotLimit& currentLimit() const { return request_.limits[order_[position_]]; }
  /// True if all limits have granted, or the request has none.
  bool complete() const { return position_ == order_.size(); }

  /// Starts again with the first limit.
  void restart();

  /// Starts to request the current limit with the unused token @p token.
  void startLimit(const OwnerToken& token, Time now, Time storeDeadline);

  /// The owner has granted @p number and suggests @p engine; continues with the next limit.
  void addGrantedSlot(std::uint32_t number, const std::string& engine);
  /// The store failed and the limit fails open; continues with the next limit.
  void continueWithoutSlot();

  /// True if the request may wait for @p poll and try again.
  bool mayBlock(Duration poll, Time now) const { return now + poll <= blockUntil_; }

  /// Tokens that hold slots which this node renews.
  const std::vector<OwnerToken>& renewedTokens() const { return renewedTokens_; }
  /// Claims whose slots are left to expire, unless the request is rejected.
  const std::vector<SlotClaim>& expiringClaims() const { return expiringClaims_; }
  /// Clears the granted slots after the caller has released them.
  void clearGranted();

  /// Reports the slots to the requester. Call once, when complete.
  void finishGranted(std::uint64_t grantId);
  /// Reports that the current limit has rejected the request. Call once. The error's detail names
  /// the pool, and its size if @p poolSize is known.
  void finishRejected(ErrorCode code, std::optional<std::uint32_t> poolSize = std::nullopt);

  /// The requests for the current limit.
  LimitAttempt& attempt() { return attempt_; }

  /// Marks the request as waiting to start again with the first limit, until `restart`.
  void startPolling() { polling_ = true; }
  bool polling() const { return polling_; }

 private:
  SlotGrant::Slot& currentSlot() { return slots_[order_[position_]]; }

  SlotRequest request_;
  Done done_;
  std::vector<std::size_t> order_;  ///< Indices of the limits, in the order of requesting.
  std::size_t position_ = 0;        ///< Current limit, in `order_`.
  LimitAttempt attempt_;
  bool polling_ = false;
  std::vector<SlotGrant::Slot> slots_;
  std::vector<OwnerToken> renewedTokens_;
  std::vector<SlotClaim> expiringClaims_;
  Time blockUntil_;
};

}  // namespace shedshed
