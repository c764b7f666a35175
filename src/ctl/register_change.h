/// @file
/// Sending changes of a register, shared by several commands.
#pragma once

#include "ctl/ctl_command.h"

#include <functional>

namespace shedshed::ctl {

/// Sends @p request, a change, with an idempotency key (order id). A missing base version or order
/// id is filled in from the command line; without `--order-id` a new one is chosen. Prints the
/// outcome, on an unknown one also the flags for resending it.
ExitCode sendChange(CtlContext& context, FleetRequest request);

/// Makes the body of a change from a register's value; an empty text means that the change is
/// in effect already.
using MakeChange = std::function<Result<std::string>(const std::string& value)>;

/// Reads the register at @p url, makes a change of its value, and sends it with @p method. If
/// another change is committed in between, reads and makes it again, a few times. Repeating such a
/// command is always safe, since the change is made from the value as it is.
ExitCode changeRegister(CtlContext& context, const char* method, const std::string& url,
                        const MakeChange& makeChange);

/// `changeRegister` with a merge patch of the settings.
ExitCode patchSettings(CtlContext& context, const MakeChange& makePatch);

/// Prints the value of the register at @p url.
ExitCode printRegister(CtlContext& context, const std::string& url);

}  // namespace shedshed::ctl
