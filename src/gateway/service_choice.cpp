#include "gateway/service_choice.h"

#include "kernel/rendezvous.h"

namespace shedshed {
namespace {

/// Maps @p id to a number in [0, 1) by its hash.
double hashFraction(const std::string& id) {
  constexpr std::uint64_t kSteps = 1U << 20U;
  return static_cast<double>(hash64(id) % kSteps) / static_cast<double>(kSteps);
}

}  // namespace

const std::string& chooseService(const RouteSettings& route, const std::string& requestId) {
  double total = 0;
  for (const WeightedService& candidate : route.services) {
    total += candidate.weight;
  }
  double remaining = hashFraction(requestId) * total;
  const WeightedService* last = &route.services.front();
  for (const WeightedService& candidate : route.services) {
    if (candidate.weight <= 0) {
      continue;
    }
    last = &candidate;
    remaining -= candidate.weight;
    if (remaining < 0) {
      break;
    }
  }
  return last->service;
}

}  // namespace shedshed
