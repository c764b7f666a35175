/// @file
/// Exit codes of `shedctl`. Scripts rely on them; they never change once released.
#pragma once

#include "kernel/error.h"

namespace shedshed::ctl {

enum class ExitCode : int {
  Ok = 0,
  Usage = 1,         ///< Flags, files or words on the command line are wrong; nothing was sent.
  Refused = 2,       ///< The fleet refused the content of the call; nothing changed.
  Conflict = 3,      ///< Another change won, or the object exists; this one took no effect.
  Unavailable = 4,   ///< No node could answer, or no majority; nothing changed, try again.
  Unknown = 5,       ///< The change may have taken effect; resend it with the same order id.
  Denied = 6,        ///< The operator key is missing or wrong.
  NotInForceYet = 7  ///< `wait` or `stores` reached its time limit; run it again.
};

/// Returns the exit code for a failure of a call.
ExitCode exitCodeOf(const Error& error);

/// Says what the operator can do next; empty if there is nothing to add.
const char* recoveryHint(const Error& error);

/// Text about the exit codes for `--help`.
const char* exitCodeHelp();

}  // namespace shedshed::ctl
