#include "kernel/rendezvous.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <xxhash.h>

namespace shedshed {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate) {
  const std::uint64_t keyHash = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(), keyHash);
}

std::vector<NodeId> rendezvousOrder(std::string_view key, std::vector<NodeId> candidates) {
  std::vector<std::pair<std::uint64_t, NodeId>> weighted;
  weighted.reserve(candidates.size());
  for (NodeId& candidate : candidates) {
    const std::uint64_t weight = rendezvousWeight(key, candidate.address);
    weighted.emplace_back(weight, std::move(candidate));
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& left, const auto& right) {
    return left.first != right.first ? left.first > right.first : left.second < right.second;
  });
  std::vector<NodeId> order;
  order.reserve(weighted.size());
  for (auto& entry : weighted) {
    order.push_back(std::move(entry.second));
  }
  return order;
}

std::string hash128Hex(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

std::uint64_t hash64(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace shedshed
