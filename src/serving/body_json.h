/// @file
/// Parsing of JSON bodies of calls and of engine responses.
#pragma once

#include "settings/json.h"

#include <string>
#include <string_view>

namespace shedshed {

/// Deepest nesting of arrays and objects in a body. cJSON recurses once per level.
inline constexpr std::size_t kMaxBodyJsonDepth = 64;

/// Parses @p text, which must be an object. Limits the nesting depth only: the HTTP reader has
/// limited the size already. Fails with `InvalidArgument`, or `TooLarge` for the depth.
Result<JsonDocument> parseBodyObject(std::string_view text);

/// Returns the string member @p name of @p object, or an empty string if absent or of another type.
std::string textMember(const cJSON* object, const char* name);

}  // namespace shedshed
