/// @file
/// Publishes the health-check results of this node to all nodes by gossip.
#pragma once

#include "engines/engine_health_report.h"
#include "kernel/core.h"
#include "membership/gossip_topics.h"

#include <string>

namespace shedshed {

/// Publishes reports that differ from the last one. Each report goes to all nodes, so an unchanged
/// one is not sent. Core thread only.
class HealthReportPublisher {
 public:
  /// Keeps references to both; they must outlive this object.
  HealthReportPublisher(CoreContext& context, GossipTopics& gossip)
      : context_(context), gossip_(gossip) {}

  void publish(const EngineHealthReport& report);

  /// Time since the last call of `publish`, also if that report was unchanged.
  Duration sinceLastReport() const { return context_.now() - lastReport_; }

 private:
  CoreContext& context_;
  GossipTopics& gossip_;
  std::string publishedBytes_;
  Time lastReport_{};
};

}  // namespace shedshed
