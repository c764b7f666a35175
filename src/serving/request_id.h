/// @file
/// Generation of request ids.
#pragma once

#include <string>

namespace shedshed {

/// Returns 128 random bits of the system's random source as 32 lower-case hexadecimal digits.
std::string makeRequestId();

}  // namespace shedshed
