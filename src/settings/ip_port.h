/// @file
/// Syntax of addresses in settings and requests.
#pragma once

#include <string>

namespace shedshed {

/// True if @p text is "a.b.c.d:port" with a port from 1 to 65535.
bool isIpPort(const std::string& text);

}  // namespace shedshed
