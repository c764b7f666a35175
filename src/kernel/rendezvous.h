/// @file
/// Rendezvous (highest random weight) hashing, used for partitions, monitoring and routing.
#pragma once

#include "kernel/node_id.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace shedshed {

/// Returns the 64-bit weight of @p candidate for @p key (XXH3). Equal on all nodes.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// Returns @p candidates sorted by descending weight for @p key; ties go to the lower id.
std::vector<NodeId> rendezvousOrder(std::string_view key, std::vector<NodeId> candidates);

/// Returns the XXH128 hash of @p bytes as 32 lower-case hexadecimal digits.
std::string hash128Hex(std::string_view bytes);

/// Returns the 64-bit XXH3 hash of @p bytes.
std::uint64_t hash64(std::string_view bytes);

}  // namespace shedshed
