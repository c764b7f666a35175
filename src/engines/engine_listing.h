/// @file
/// The platform's listing of engines: the JSON value of the `engines` register.
#pragma once

#include "kernel/error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Limits of a listing.
inline constexpr std::size_t kMaxListingBytes = 1U << 20U;
inline constexpr std::size_t kMaxListedEngines = 8192;
inline constexpr std::size_t kMaxEngineNameBytes = 64;  ///< Of `id`; `model` may be twice as long.
inline constexpr std::uint32_t kMaxRunningBound = 65536;

/// One listed engine.
struct ListedEngine {
  std::string id;
  std::string address;  ///< "a.b.c.d:port".
  std::string model;
  std::uint32_t maxRunning = 0;  ///< At least 1.
  bool draining = false;         ///< Finishes its running requests; gets no new ones.
};

/// A validated listing, sorted by id.
struct EngineListing {
  std::vector<ListedEngine> engines;
};

/// Validates and parses a listing (format in docs/API.md). Fails with `TooLarge` if it exceeds a
/// size limit, else with `InvalidArgument`; the detail names the path ("engines[3].max_running"),
/// and what is allowed there. Unknown and duplicate keys, duplicate ids and addresses, deep nesting
/// and trailing text are rejected.
Result<EngineListing> parseEngineListing(std::string_view json);

}  // namespace shedshed
