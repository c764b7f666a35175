/// @file
/// Layout of an incarnation: the upper bits count restarts and refutations, the lower ones are
/// random for each run, so that two runs that start at the same count are distinguished.
#pragma once

#include <cstdint>

namespace shedshed {

/// Width of the random part of an incarnation.
inline constexpr std::uint32_t kRunTagBits = 20;
inline constexpr std::uint64_t kRunTagMask = (1U << kRunTagBits) - 1;

inline std::uint64_t composeIncarnation(std::uint64_t count, std::uint64_t runTag) {
  return (count << kRunTagBits) | (runTag & kRunTagMask);
}

inline std::uint64_t incarnationCount(std::uint64_t incarnation) {
  return incarnation >> kRunTagBits;
}

inline bool sameRun(std::uint64_t left, std::uint64_t right) {
  return (left & kRunTagMask) == (right & kRunTagMask);
}

}  // namespace shedshed
