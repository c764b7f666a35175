/// @file
/// Wiring of `shedshed-data`.
#pragma once

#include "assembly/data_cores.h"
#include "process/node_process.h"
#include "serving/callers_server.h"
#include "serving/engine_calls.h"
#include "serving/recent_call_journal.h"
#include "serving/router.h"
#include "serving/serving_services.h"

namespace shedshed {

/// Posts tasks of the serving threads to the core thread.
class RuntimeExecutor : public CoreExecutor {
 public:
  explicit RuntimeExecutor(NodeRuntime& runtime) : runtime_(runtime) {}
  void post(std::function<void()> task) override { runtime_.post(std::move(task)); }
  Time now() const override { return monotonicNow(); }

 private:
  NodeRuntime& runtime_;
};

/// Adds the counters of the serving path to those of the process.
class ServingMetrics : public ServingCounters {
 public:
  explicit ServingMetrics(Metrics& metrics) : metrics_(metrics) {}
  void add(std::string_view name, double amount) override { metrics_.add(name, amount); }
  void observe(std::string_view name, double seconds) override { metrics_.observe(name, seconds); }

 private:
  Metrics& metrics_;
};

/// Runs one data process from startup to shutdown.
class DataProcess {
 public:
  /// Arguments must outlive the object.
  DataProcess(const ProcessSettings& settings, const ProcessKeys& keys);

  /// Runs until the platform asks to stop. Returns the exit code.
  int run();

 private:
  NodeStatus status();
  void drain();
  bool idle();
  bool slotsAndRunsReturned();

  const ProcessSettings& settings_;
  NodeProcess process_;
  RuntimeExecutor executor_;
  ServingMetrics servingMetrics_;
  ServingThreads threads_;
  HttpEngineProbe probe_;
  DataCores cores_;
  Snapshot<SettingsTree> settingsTree_;
  Router router_;
  RecentCallJournal journal_;
  EngineClient engineClient_;
  HttpEngineRunner engineRunner_;
  ServingServices servingServices_;
  CallersServer callers_;
  OperatorServices operatorServices_;
};

}  // namespace shedshed
