/// @file
/// JSON encoding of errors on all external interfaces (docs/API.md).
#pragma once

#include "kernel/error.h"

#include <string>

namespace shedshed {

/// Returns the error object of docs/API.md as JSON. For `OutcomeUnknown`, `ran` is always
/// "unknown", so that the response never claims that the call did not run.
std::string errorJson(const Error& error, const std::string& requestId);

}  // namespace shedshed
