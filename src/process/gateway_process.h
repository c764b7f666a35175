/// @file
/// A data process that serves opaque calls and batches through the gateway.
#pragma once

#include "assembly/data_cores.h"
#include "gateway/buffered_request_server.h"
#include "gateway/gateway.h"
#include "gateway/item_runner.h"
#include "process/event_loop_node.h"
#include "serving/recent_call_journal.h"

namespace shedshed {

/// Runs one data process from startup to shutdown, on one event loop.
class GatewayProcess {
 public:
  /// @p names and @p dialect are the wire forms of clients and engines; @p readyPath is the path of
  /// readiness checks. Arguments must outlive the object.
  GatewayProcess(const ProcessSettings& settings, const ProcessKeys& keys, HeaderNames names,
                 const BatchDialect& dialect, std::string readyPath);

  /// Runs until the platform asks to stop. Returns the exit code.
  int run();

 private:
  GatewayAnswer answerReady(const BufferedRequest& call) const;
  Status listen();
  void drain();
  bool idle();

  const ProcessSettings& settings_;
  const std::string readyPath_;
  EventLoopNode node_;
  DataCores cores_;
  Snapshot<SettingsTree> settingsTree_;
  RandomEngine random_;
  CostLoadBalancer loadBalancer_;
  HeaderNames names_;
  Forwarder forwarder_;
  RecentCallJournal journal_;
  GatewayServices services_;
  OpaqueItemRunner items_;
  Gateway gateway_;
  BufferedRequestServer readiness_;
};

}  // namespace shedshed
