/// @file
/// Parsing of the request targets of calls.
#pragma once

#include "kernel/error.h"
#include "serving/call_context.h"

#include <string_view>

namespace shedshed {

/// Parses the path and the query of @p target. Fails with `InvalidArgument` for a malformed query.
/// An unknown path, or a path that does not support @p method, gives `CallKind::Unknown`.
Result<CallTarget> parseCallTarget(std::string_view method, std::string_view target);

/// Returns the route under which the settings of calls of @p kind are looked up.
const char* settingsRoute(CallKind kind);

}  // namespace shedshed
