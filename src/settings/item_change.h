/// @file
/// Partial updates of the named items of the settings, each with a new version.
#pragma once

#include "kernel/error.h"

#include <string>
#include <string_view>

namespace shedshed {

/// Applies @p change to the settings @p current and returns the new text.
///
/// The change is an object: `version` becomes that of the settings; `upsert` holds for each section
/// (such as `routes`) the items to add, or to replace completely, by name; `remove` holds for each
/// section an array of names. Names to be removed that do not exist are ignored. Fails with
/// `InvalidArgument` or `TooLarge`.
Result<std::string> applyItemChange(std::string_view current, std::string_view change);

}  // namespace shedshed
