/// @file
/// Parsing of the callers' request targets.
#pragma once

#include "kernel/error.h"
#include "serving/call_context.h"

#include <string_view>

namespace shedshed {

/// Parses @p target, path and query. Fails with `InvalidArgument` for a malformed query; a path
/// that does not exist, or not with @p method, gives `CallKind::Unknown`.
Result<CallTarget> parseCallTarget(std::string_view method, std::string_view target);

/// The route under which settings are looked up.
const char* settingsRoute(CallKind kind);

}  // namespace shedshed
