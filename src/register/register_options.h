/// @file
/// Options and time constants of the register service.
#pragma once

#include "kernel/time.h"

#include <string>

namespace shedshed {

/// Safety checks of the register protocol. Always enabled in daemons; only the simulator and unit
/// tests disable one, to verify that an invariant check detects its absence.
struct RegisterSafeguards {
  /// Count an acceptor's reply only if its store id is the one in the member list; an acceptor
  /// that holds no member list gives none.
  bool storeIdCheck = true;
  /// Send an acceptor's replies only after the records that they depend on are synced.
  bool persistBeforeAnswer = true;
  /// Commit another proposer's incomplete accept before a change is evaluated against it.
  bool finishBeforeAnswer = true;
};

/// Options of `RegisterCore`.
struct RegisterOptions {
  bool hasDisk = false;  ///< True on acceptors; then records may be persisted.
  std::string storeId;   ///< Random id of the data folder; empty without a disk.
  RegisterSafeguards safeguards;
};

/// Time after which an undecided change or read is reported as such.
inline constexpr Duration kOperationDeadline = std::chrono::seconds(5);
/// Time after which one pair of quorum rounds is abandoned and a new ballot is started.
inline constexpr Duration kRoundTimeout = std::chrono::milliseconds(500);
/// Interval at which a round's request is resent to acceptors that have not replied.
inline constexpr Duration kResendInterval = std::chrono::milliseconds(60);
/// Time to wait for further promises if a majority has promised but does not agree.
inline constexpr Duration kAgreementGracePeriod = std::chrono::milliseconds(30);
/// Shortest and longest backoff before the second round; the longest doubles up to `kMaxBackoff`.
inline constexpr Duration kMinBackoff = std::chrono::milliseconds(5);
inline constexpr Duration kInitialMaxBackoff = std::chrono::milliseconds(30);
inline constexpr Duration kMaxBackoff = std::chrono::milliseconds(400);

}  // namespace shedshed
