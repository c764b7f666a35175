#include "slots/slot_usage_reporter.h"

#include <string>

namespace shedshed {

void SlotUsageReporter::start() {
  incarnation_ = environment_.context.random()();
  lastReport_ = environment_.context.now();
}

void SlotUsageReporter::tick(std::uint64_t liveGrants) {
  const Time now = environment_.context.now();
  if (now - lastReport_ < kReportInterval) {
    return;
  }
  lastReport_ = now;
  const SlotUsageReport usage = usageReport(liveGrants);
  const HoldTimeReport holdTimes = holdTimeReport();
  for (const NodeId& store : environment_.directory.table()->live(NodeRole::Store)) {
    environment_.context.send(store, usage);
    environment_.context.send(store, holdTimes);
  }
}

SlotUsageReport SlotUsageReporter::usageReport(std::uint64_t liveGrants) {
  SlotUsageReport report;
  report.number = ++reportNumber_;
  report.liveSlots = countSlots(SlotClass::Live);
  report.batchSlots = countSlots(SlotClass::BatchItem);
  report.liveGrants = liveGrants;
  report.incarnation = incarnation_;
  return report;
}

HoldTimeReport SlotUsageReporter::holdTimeReport() const {
  HoldTimeReport report;
  for (const auto& partition : pools_.partitions()) {
    for (const auto& entry : partition.second.pools) {
      const PoolName& name = entry.second.name();
      const auto holdTime =
          std::chrono::duration_cast<std::chrono::microseconds>(sizer_.holdTime(name));
      report.pools.push_back({name.limiter, name.key, holdTime.count()});
    }
  }
  return report;
}

/// Calls of a service without tenants hold slots of the service's pool only.
std::uint32_t SlotUsageReporter::countSlots(SlotClass serviceClass) const {
  std::uint32_t count = 0;
  for (const auto& partition : pools_.partitions()) {
    for (const auto& entry : partition.second.pools) {
      const std::string& limiter = entry.second.name().limiter;
      const bool ofService = limiter == kServiceLimiter && serviceClass == SlotClass::Live;
      if (limiter == kTenantLimiter || ofService) {
        count += entry.second.used(serviceClass);
      }
    }
  }
  return count;
}

}  // namespace shedshed
