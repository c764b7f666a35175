/// @file
/// Exit codes of `shedctl`. Scripts rely on them; they never change once released.
#pragma once

#include "kernel/error.h"

namespace shedshed::ctl {

enum class ExitCode : int {
  Ok = 0,
  Usage = 1,         ///< Flags, files or arguments on the command line are wrong; nothing was sent.
  Refused = 2,       ///< The fleet refused the content of the call; nothing changed.
  Conflict = 3,      ///< Another change was committed first, or the object exists; no effect.
  Unavailable = 4,   ///< No node or no quorum was available; nothing changed, retry.
  Unknown = 5,       ///< The change may have taken effect; resend it with the same order id.
  Denied = 6,        ///< The operator key is missing or wrong.
  NotInForceYet = 7  ///< `wait` or `stores` timed out; run it again.
};

/// Returns the exit code for a failure of a call.
ExitCode exitCodeOf(const Error& error);

/// Returns what the operator can do about the error; empty if there is no hint.
const char* recoveryHint(const Error& error);

/// Returns the table of exit codes for `--help`.
const char* exitCodeHelp();

}  // namespace shedshed::ctl
