/// @file
/// Sends changes of a register; shared by several commands.
#pragma once

#include "ctl/ctl_command.h"

#include <functional>

namespace shedshed::ctl {

/// Sends the change @p request with an idempotency key (order id). A missing base version or order
/// id is taken from the command line; without `--order-id` a new one is generated. Prints the
/// outcome, and if that is unknown, the flags for resending the change.
ExitCode sendChange(CtlContext& context, FleetRequest request);

/// Returns the body of a change to a register's value; an empty text means that the change is
/// already in effect.
using MakeChange = std::function<Result<std::string>(const std::string& value)>;

/// Reads the register at @p url, computes a change of its value, and sends it with @p method.
/// Retries a few times from the read on if another change is committed in between. Repeating such a
/// command is safe, since the change is computed from the current value.
ExitCode changeRegister(CtlContext& context, const char* method, const std::string& url,
                        const MakeChange& makeChange);

/// `changeRegister` with a merge patch of the settings.
ExitCode patchSettings(CtlContext& context, const MakeChange& makePatch);

/// Prints the value of the register at @p url.
ExitCode printRegister(CtlContext& context, const std::string& url);

}  // namespace shedshed::ctl
