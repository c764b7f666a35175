/// @file
/// The secret that authenticates internal messages.
#pragma once

#include "kernel/error.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace shedshed {

/// Length of the fleet key in bytes (libsodium `crypto_auth`).
inline constexpr std::size_t kFleetKeyBytes = 32;

/// Secret that all nodes of a fleet share.
using FleetKey = std::array<unsigned char, kFleetKeyBytes>;

/// Parses 64 hexadecimal digits, with optional white space around them. Fails with
/// `InvalidArgument`.
Result<FleetKey> parseFleetKey(std::string_view text);

}  // namespace shedshed
