/// @file
/// Decides when a node must verify the health-check results of its peers by its own checks.
#pragma once

#include "engines/engine_health_checker_options.h"
#include "engines/process_stall_detector.h"
#include "kernel/time.h"

#include <atomic>

namespace shedshed {

/// Tracks the suspicion that the table of engines is stale, and until when it may be used.
///
/// After a stall of the process the table is not fresh until the engines have been rechecked.
/// `freshUntil` may be called by any thread, the rest on the core thread only.
class PeerResultVerification {
 public:
  /// @p options must outlive this object.
  explicit PeerResultVerification(const EngineHealthCheckerOptions& options)
      : options_(options), stallDetector_(options.stallTimeout()) {}

  /// Call every `suspicionInterval`. @return true if the process has stalled: the table is not
  /// fresh until `recheckTime` from @p now on has passed.
  bool detectStall(Time now);

  /// Starts or extends the verification.
  /// @return true if all engines must be checked at once: it was not active, or a stall has just
  /// ended.
  bool start(Time now);

  /// True while this node must check all engines itself.
  bool active(Time now) const { return now < activeUntil_; }

  /// Extends `freshUntil`, unless the engines are still being rechecked after a stall.
  void extendFreshness(Time now);

  /// Until when the table may be used. A stalled process does not extend it.
  Time freshUntil() const { return Time(Duration(freshUntil_.load())); }

 private:
  const EngineHealthCheckerOptions& options_;
  ProcessStallDetector stallDetector_;
  Time activeUntil_ = Time::min();
  Time recheckUntil_ = Time::min();  ///< End of the recheck after a process stall.
  std::atomic<Duration::rep> freshUntil_{Duration::max().count()};
};

}  // namespace shedshed
