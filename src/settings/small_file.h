/// @file
/// Reads complete small files: settings and keys.
#pragma once

#include "kernel/fleet_key.h"

#include <cstddef>
#include <string>

namespace shedshed {

/// Returns the content of the file at @p path. Fails with `InvalidArgument` if it cannot be read
/// and with `TooLarge` over @p maxBytes; the detail names the path.
Result<std::string> readSmallFile(const std::string& path, std::size_t maxBytes);

/// Reads a bearer key: the file's text without surrounding white space, 8 to 256 bytes, no white
/// space inside.
Result<std::string> readBearerKeyFile(const std::string& path);

/// Reads the fleet key: 64 hexadecimal digits, surrounding white space is ignored.
Result<FleetKey> readFleetKeyFile(const std::string& path);

}  // namespace shedshed
