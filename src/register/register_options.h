/// @file
/// Options and time constants of the register service.
#pragma once

#include "kernel/time.h"

#include <string>

namespace shedshed {

/// Protective checks of the register protocol. All are on in every daemon; only the simulator and
/// unit tests switch one off, to show that an invariant check notices its absence.
struct RegisterSafeguards {
  /// Count an acceptor's reply only if its store id is the one in the member list; an acceptor
  /// that holds no member list gives none.
  bool storeIdCheck = true;
  /// Send an acceptor's replies only after the records that they depend on are synced.
  bool persistBeforeAnswer = true;
  /// Commit another proposer's half-done accept before a change is judged against it.
  bool finishBeforeAnswer = true;
};

/// What `RegisterCore` needs to know about its node.
struct RegisterOptions {
  bool hasDisk = false;  ///< True on acceptors; then records may be persisted.
  std::string storeId;   ///< Random id of the data folder; empty without a disk.
  RegisterSafeguards safeguards;
};

/// Time within which a change or a read is decided, or reported as undecided.
inline constexpr Duration kOperationDeadline = std::chrono::seconds(5);
/// Time after which one pair of quorum rounds is abandoned and a new ballot is started.
inline constexpr Duration kRoundTimeout = std::chrono::milliseconds(500);
/// Interval at which a round's request is sent again to acceptors that have not replied.
inline constexpr Duration kResendInterval = std::chrono::milliseconds(60);
/// Time that a majority which does not agree waits for the other acceptors' promises.
inline constexpr Duration kAgreementGracePeriod = std::chrono::milliseconds(30);
/// Shortest and longest backoff before the second round; the longest doubles up to `kMaxBackoff`.
inline constexpr Duration kMinBackoff = std::chrono::milliseconds(5);
inline constexpr Duration kInitialMaxBackoff = std::chrono::milliseconds(30);
inline constexpr Duration kMaxBackoff = std::chrono::milliseconds(400);

}  // namespace shedshed
