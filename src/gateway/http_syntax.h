/// @file
/// Checks of texts that become part of an HTTP/1.1 request head (RFC 9110 and RFC 9112).
#pragma once

#include <string_view>

namespace shedshed {

/// True if @p text is a field name: a non-empty token (RFC 9110, 5.6.2).
bool isFieldName(std::string_view text);

/// True if @p text may be a field value: it has no control character but the horizontal tab (RFC
/// 9110, 5.5). A line break would begin another field or another request.
bool isFieldValue(std::string_view text);

/// True if @p text may be a request target in origin form: it begins with '/' and has neither
/// blanks nor control characters, which would end it (RFC 9112, 3.2).
bool isOriginFormTarget(std::string_view text);

}  // namespace shedshed
