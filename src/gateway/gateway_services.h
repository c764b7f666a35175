/// @file
/// Services of the process that the gateway depends on.
#pragma once

#include "batch/batch_client.h"
#include "gateway/forwarder.h"
#include "gateway/header_names.h"
#include "kernel/snapshot.h"
#include "membership/directory.h"
#include "register/configuration_register.h"
#include "serving/call_journal.h"
#include "serving/core_executor.h"
#include "serving/serving_counters.h"
#include "settings/settings.h"
#include "slots/slot_client.h"

#include <boost/asio/io_context.hpp>

namespace shedshed {

/// References to services, which must outlive the gateway. All run on the thread of `io`.
struct GatewayServices {
  boost::asio::io_context& io;
  CoreExecutor& core;
  const Snapshot<SettingsTree>& settings;  ///< Null until the first version is confirmed.
  const ConfigurationSource& configuration;
  const Directory& directory;
  EngineSource& engines;
  SlotClient& slots;
  BatchClient& batches;
  Forwarder& forwarder;
  ServingCounters& counters;
  HeaderNames names;
  Time started;           ///< When the process started.
  bool draining = false;  ///< Every response closes its connection.
  CallJournal* journal = &NullCallJournal::instance();
};

/// Returns success if the node can serve calls, otherwise the reason why it cannot.
Status checkGatewayReady(const GatewayServices& services);

}  // namespace shedshed
