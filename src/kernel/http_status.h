/// @file
/// HTTP status codes: that of each failure type (see the table in docs/API.md), and their classes.
#pragma once

#include "kernel/error.h"

namespace shedshed {

/// Returns the HTTP status of @p code.
unsigned httpStatusOf(ErrorCode code);

/// True for a status that a final response may have, 200 to 599 (RFC 9110, 15).
bool isFinalHttpStatus(unsigned status);

/// True for a status of success, 200 to 299.
bool isHttpSuccess(unsigned status);

}  // namespace shedshed
