/// @file
/// No number is granted twice under network faults and takeovers.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

/// Drops, duplicates, delays and reorders messages, from a seed.
class FaultInjector {
 public:
  FaultInjector(SlotFleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {
    fleet.harness.filter = [this](const Harness::Envelope& envelope) {
      return shouldDeliver(envelope);
    };
    for (const auto& store : fleet.stores) {
      store->table.delayWrites = true;
    }
  }

  bool chance(std::uint32_t percent) { return random_() % 100 < percent; }
  std::size_t randomBelow(std::size_t bound) { return random_() % bound; }

  void step() {
    fleet_.harness.advance(milliseconds(10));
    for (const auto& store : fleet_.stores) {
      while (chance(70) && store->table.completeOne()) {
      }
    }
    for (std::size_t i = 0; i < delayed_.size();) {
      if (!chance(40)) {
        ++i;
        continue;
      }
      fleet_.harness.queue.push_front(std::move(delayed_[i]));
      delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(i));
      redelivering_ = true;
      fleet_.harness.settle();
    }
    if (chance(1)) {
      takeOver();
    }
    if (chance(1)) {
      isolatedNode_ = chance(50) ? "" : chance(50) ? "f1:1" : "f2:1";
    }
  }

 private:
  bool shouldDeliver(const Harness::Envelope& envelope) {
    if (redelivering_) {
      redelivering_ = false;
      return true;
    }
    const bool isolated =
        envelope.to.address == isolatedNode_ || envelope.from.address == isolatedNode_;
    if (isolated || chance(5)) {
      return false;
    }
    delayed_.push_back(envelope);
    if (chance(10)) {
      delayed_.push_back(envelope);
    }
    return false;
  }

  void takeOver() {
    const int to = fleet_.majority.owner.address == "s1:1" ? 1 : 0;
    const RecoveryKind recovery = chance(30) ? RecoveryKind::MemoryLost : RecoveryKind::Complete;
    fleet_.takeOver(to, recovery, chance(50), randomBelow(3));
  }

  SlotFleet& fleet_;
  RandomEngine random_;
  std::vector<Harness::Envelope> delayed_;
  std::string isolatedNode_;
  bool redelivering_ = false;
};

}  // namespace

BOOST_AUTO_TEST_CASE(no_number_is_granted_twice_under_faults) {
  std::size_t grants = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SlotFleet fleet;
    fleet.harness.random.seed(seed);
    fleet.majority.indices = {poolPartition({kTenantLimiter, "t"}).index};
    FaultInjector faults(fleet, seed);
    std::vector<std::pair<int, std::uint64_t>> granted;
    for (int step = 0; step < 2000; ++step) {
      if (faults.chance(5)) {
        const int dataNode = static_cast<int>(faults.randomBelow(2));
        fleet.dataNodes[dataNode]->core.acquire(
            {"r", SlotClass::Live, {SlotFleet::limit("t")}},
            [&, dataNode](Result<SlotGrant> result) {
              if (result) {
                granted.push_back({dataNode, result.value().grantId});
                ++grants;
              }
            });
      }
      if (!granted.empty() && faults.chance(2)) {
        const std::size_t chosen = faults.randomBelow(granted.size());
        fleet.dataNodes[granted[chosen].first]->core.release(granted[chosen].second);
        granted.erase(granted.begin() + static_cast<std::ptrdiff_t>(chosen));
      }
      faults.step();
      BOOST_REQUIRE_MESSAGE(!fleet.numberGrantedTwice(), "seed " << seed << " step " << step);
    }
  }
  BOOST_TEST_MESSAGE("grants under faults: " << grants);
  BOOST_TEST(grants > 1000U);
}
