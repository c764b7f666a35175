/// @file
/// Formats members of JSON responses as table cells.
#pragma once

#include "settings/json.h"

#include <string>

namespace shedshed::ctl {

/// Parser limits for a node's response: lists of batches and slots are long.
inline constexpr JsonBounds kResponseBounds{64U << 20U, 16};

/// Returns the member @p name of @p object as text; "-" if it is absent.
std::string cellOf(const cJSON* object, const char* name);

}  // namespace shedshed::ctl
