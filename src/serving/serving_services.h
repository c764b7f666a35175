/// @file
/// Dependencies of the callers' server.
#pragma once

#include "batch/batch_client.h"
#include "kernel/snapshot.h"
#include "register/configuration_register.h"
#include "serving/call_journal.h"
#include "serving/core_executor.h"
#include "serving/engine_client.h"
#include "serving/serving_counters.h"
#include "serving/serving_threads.h"
#include "settings/settings.h"
#include "slots/slot_client.h"

#include <atomic>
#include <functional>
#include <string>

namespace shedshed {

/// References to services; they must outlive the server.
struct ServingServices {
  ServingThreads& threads;
  CoreExecutor& core;
  const Snapshot<SettingsTree>& settings;  ///< Null until the first verified version.
  const ConfigurationSource& configuration;
  SlotClient& slots;
  BatchClient& batches;
  EngineClient& engines;
  ServingCounters& counters;
  std::function<std::string()> metricsText;  ///< Prometheus text format; thread-safe.
  std::atomic<bool> draining{false};         ///< New calls are rejected while set.
  CallJournal* journal = &NullCallJournal::instance();
};

/// Readiness check. Fails with `Draining`, or with `NotReady` without a configuration that is
/// proved to be current.
inline Status checkReady(const ServingServices& services) {
  if (services.draining.load()) {
    return makeError(ErrorCode::Draining, "this node is draining and accepts no new calls");
  }
  if (services.settings.read() == nullptr) {
    return makeError(ErrorCode::NotReady, "no configuration has been verified yet");
  }
  if (services.core.now() >= services.configuration.freshUntil()) {
    return makeError(ErrorCode::NotReady, "the configuration is not proved to be current");
  }
  return okStatus();
}

}  // namespace shedshed
