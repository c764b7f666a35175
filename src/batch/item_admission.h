/// @file
/// How many items of one model a run of a batch may have with slots at once.
#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <optional>

namespace shedshed {

/// Share of the slots in use that a run keeps after a rejection. The rest is for others: two
/// batches that compete for one pool come to even shares.
inline constexpr double kWindowDecreaseFactor = 0.75;
/// After a rejection the window grows by one item in this time, until the next one.
inline constexpr Duration kWindowGrowthInterval = std::chrono::seconds(1);

/// A run at its share requests one slot more after this time: the share may have grown.
inline constexpr Duration kShareProbeInterval = std::chrono::milliseconds(200);
/// First backoff after a rejection below the share.
inline constexpr Duration kInitialShareBackoff = std::chrono::milliseconds(40);
/// Part of the free slots that a run may take beyond its share at once, since other runs see the
/// same ones.
inline constexpr std::uint32_t kFreeSlotsDivisor = 4;

/// A window of slots, by additive increase and multiplicative decrease.
///
/// The first requests double with the grants and are bounded by the run alone. A rejection sets the
/// window to a share of the slots in use: these keep going, one item after the other, and the
/// window probes for one more slot at a time. A rejection without any slot in use ends all requests
/// for a pause. A share that the pool's owner tells goes before the window.
class ItemAdmission {
 public:
  /// Sets the time in which the window grows by one item; `kWindowGrowthInterval` at first.
  void setGrowthInterval(Duration interval) { growthInterval_ = interval; }

  /// True if one more item may request slots.
  bool mayRequest(Time now) const;

  /// An item requests slots; one of `granted` and `rejected` follows.
  void requested() { ++requestsInFlight_; }

  /// Slots were granted; `released` follows. @p most bounds the requests at once.
  void granted(std::uint32_t maxRequests);

  /// The request was rejected. @p pause counts if no slot is in use.
  void rejected(Time now, Duration pause);

  /// Granted slots were released.
  void released();

  /// The owner of the pool says that this run may use @p slots, and that @p free slots are not
  /// granted. From now on this bounds the requests, in place of the window.
  void setShare(std::uint32_t slots, std::uint32_t free, Time now);
  bool hasShare() const { return share_.has_value(); }

  /// Time after which a rejected request may be repeated, if there is a share; at most @p most.
  Duration retryDelay(Duration maxDelay) const;

  /// No item requests slots before @p until, and then one at first.
  void pause(Time until);

 private:
  std::uint32_t windowAt(Time now) const;

  Duration growthInterval_ = kWindowGrowthInterval;
  std::uint32_t requestsInFlight_ = 0;
  std::uint32_t slotsInUse_ = 0;
  std::uint32_t maxRequestsInFlight_ = 1;  ///< Requests at once: doubled by grants.
  std::optional<std::uint32_t> window_;    ///< At `windowSince_`; unset before any rejection.
  Time windowSince_{};
  std::optional<std::uint32_t> share_;
  Time shareSince_{};
  std::uint32_t rejections_ = 0;  ///< Since the last grant.
  Time pausedUntil_{};
};

}  // namespace shedshed
