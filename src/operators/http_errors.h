/// @file
/// Mapping between typed errors and HTTP; see the table in docs/API.md.
#pragma once

#include "kernel/error.h"
#include "kernel/http_status.h"

#include <optional>
#include <string>

namespace shedshed {

/// Returns the reason phrase of an HTTP status.
const char* httpReasonOf(unsigned status);

/// Returns the `Retry-After` of a refused call in whole seconds; nullopt if a retry does not help.
std::optional<unsigned> retryAfterSecondsOf(ErrorCode code);

/// Returns the error code whose stable name is @p name; nullopt for an unknown name.
std::optional<ErrorCode> errorCodeOfName(const std::string& name);

}  // namespace shedshed
