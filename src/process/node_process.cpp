#include "process/node_process.h"

namespace shedshed {

NodeProcess::NodeProcess(const ProcessSettings& settings, const ProcessKeys& keys,
                         DurableRecords* records)
    : settings_(settings), keys_(keys),
      transport_(settings.internalAddress, keys.fleetKey, metrics_),
      runtime_(settings.internalAddress, transport_, records, metrics_, &failStop) {}

Status NodeProcess::start(OperatorServices& services) {
  const Status started = runtime_.start();
  if (!started) {
    return started;
  }
  operators_ = std::make_unique<OperatorsServer>(settings_.operatorsAddress, keys_.operatorKey,
                                                 services, *this);
  return operators_->start();
}

void NodeProcess::stop() {
  if (operators_) {
    operators_->stop();
  }
  runtime_.stop();
}

}  // namespace shedshed
