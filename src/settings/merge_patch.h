/// @file
/// JSON merge patch (RFC 7396).
#pragma once

#include "kernel/error.h"

#include <string>
#include <string_view>

namespace shedshed {

/// Applies @p patch to @p target, both bounded like settings, and returns the patched text. An
/// empty target counts as `{}`. The result of equal inputs is equal byte by byte. Fails with
/// `InvalidArgument` or `TooLarge`.
Result<std::string> applyMergePatch(std::string_view target, std::string_view patch);

/// Returns the smallest merge patch that turns @p from into @p to, with the same bounds and
/// errors. `{}` if they are equal.
Result<std::string> createMergePatch(std::string_view from, std::string_view to);

}  // namespace shedshed
