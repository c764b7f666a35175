/// @file
/// Cells of tables from JSON answers.
#pragma once

#include "settings/json.h"

#include <string>

namespace shedshed::ctl {

/// Bounds of a node's answer: the lists of batches and slots are long.
inline constexpr JsonBounds kResponseBounds{64U << 20U, 16};

/// Returns the member @p name of @p object as text; "-" if it is absent.
std::string cellOf(const cJSON* object, const char* name);

}  // namespace shedshed::ctl
