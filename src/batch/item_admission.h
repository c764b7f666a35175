/// @file
/// Limits the slots that one run of a batch requests and uses for one model.
#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <optional>

namespace shedshed {

/// Multiplicative decrease: the window after a rejection, relative to the slots in use. Two batches
/// that compete for one pool converge to equal shares.
inline constexpr double kWindowDecreaseFactor = 0.75;
/// Additive increase: after a rejection the window grows by one item per interval.
inline constexpr Duration kWindowGrowthInterval = std::chrono::seconds(1);

/// A run that uses its whole share requests one more slot at this interval, because its share may
/// have grown.
inline constexpr Duration kShareProbeInterval = std::chrono::milliseconds(200);
/// Backoff after a rejection below the share, before doubling.
inline constexpr Duration kInitialShareBackoff = std::chrono::milliseconds(40);
/// A run may use the free slots divided by this beyond its share, because other runs see the same
/// free slots.
inline constexpr std::uint32_t kFreeSlotsDivisor = 4;

/// Admission window with additive increase and multiplicative decrease (AIMD).
///
/// Until the first rejection there is no window: the number of concurrent requests doubles with
/// each grant, up to the limit of the run. A rejection sets the window to a fraction of the slots
/// in use, which are then reused by one item after the other while the window grows by one item at
/// a time. A rejection with no slot in use pauses all requests. A share assigned by the owner of
/// the pool takes precedence over the window.
class ItemAdmission {
 public:
  /// Sets the time in which the window grows by one item; initially `kWindowGrowthInterval`.
  void setGrowthInterval(Duration interval) { growthInterval_ = interval; }

  /// True if one more item may request slots.
  bool mayRequest(Time now) const;

  /// An item requests slots. Must be followed by `granted` or `rejected`.
  void requested() { ++requestsInFlight_; }

  /// Slots were granted. Must be followed by `released`. @p maxRequests limits the concurrent
  /// requests.
  void granted(std::uint32_t maxRequests);

  /// The request was rejected. Without a share, @p pause applies only if no slot is in use.
  void rejected(Time now, Duration pause);

  /// Granted slots were released.
  void released();

  /// The owner of the pool assigned @p slots to this run and reported @p free slots that are not
  /// granted. From now on the share limits the requests in place of the window.
  void setShare(std::uint32_t slots, std::uint32_t free, Time now);
  bool hasShare() const { return share_.has_value(); }

  /// Returns the delay before a rejected request is retried if there is a share, up to @p maxDelay.
  Duration retryDelay(Duration maxDelay) const;

  /// Pauses requests until @p until; afterwards they restart with one at a time.
  void pause(Time until);

 private:
  std::uint32_t windowAt(Time now) const;

  Duration growthInterval_ = kWindowGrowthInterval;
  std::uint32_t requestsInFlight_ = 0;
  std::uint32_t slotsInUse_ = 0;
  std::uint32_t maxRequestsInFlight_ = 1;  ///< Doubled by each grant.
  std::optional<std::uint32_t> window_;    ///< At `windowSince_`; unset before a rejection.
  Time windowSince_{};
  std::optional<std::uint32_t> share_;
  Time shareSince_{};
  std::uint32_t rejections_ = 0;  ///< Since the last grant.
  Time pausedUntil_{};
};

}  // namespace shedshed
