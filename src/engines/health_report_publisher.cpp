#include "engines/health_report_publisher.h"

#include "kernel/message.h"

#include <utility>

namespace shedshed {

void HealthReportPublisher::publish(const EngineHealthReport& report) {
  lastReport_ = context_.now();
  std::string bytes = encodeRecord(report);
  if (bytes == publishedBytes_) {
    return;
  }
  publishedBytes_ = std::move(bytes);
  gossip_.publish(kEngineTopic, publishedBytes_);
}

}  // namespace shedshed
