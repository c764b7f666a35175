/// @file
/// Metrics, network, core thread and operators' HTTP server shared by data and control
/// processes.
#pragma once

#include "operators/operators_server.h"
#include "process/process_start.h"
#include "runtime/metrics.h"
#include "runtime/node_runtime.h"
#include "wire/nng_transport.h"

#include <memory>

namespace shedshed {

/// Network, core thread, metrics and the operators' HTTP server of one process.
class NodeProcess : public OperatorExecutor {
 public:
  /// @p records is null without a disk. Arguments must outlive the object.
  NodeProcess(const ProcessSettings& settings, const ProcessKeys& keys, DurableRecords* records);

  NodeRuntime& runtime() { return runtime_; }
  Metrics& metrics() { return metrics_; }

  void post(std::function<void()> task) override { runtime_.post(std::move(task)); }

  /// Starts the cores, the network and the operators' HTTP server. @p services must outlive the
  /// process.
  Status start(OperatorServices& services);

  /// Stops in the reverse order.
  void stop();

 private:
  const ProcessSettings& settings_;
  const ProcessKeys& keys_;
  Metrics metrics_;
  NngTransport transport_;
  NodeRuntime runtime_;
  std::unique_ptr<OperatorsServer> operators_;
};

}  // namespace shedshed
