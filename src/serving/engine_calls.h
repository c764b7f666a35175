/// @file
/// Adapters of the HTTP engine client for the batch runner and the engine health checks.
#pragma once

#include "engines/engine_runner.h"
#include "engines/engine_table.h"
#include "kernel/snapshot.h"
#include "serving/engine_client.h"
#include "settings/settings.h"

#include <memory>
#include <string>

namespace shedshed {

/// Runs batch items on engines. Must exist until the serving threads have stopped.
class HttpEngineRunner : public EngineRunner {
 public:
  HttpEngineRunner(ServingThreads& threads, CoreExecutor& core, EngineClient& client,
                   const Snapshot<SettingsTree>& settings)
      : threads_(threads), core_(core), client_(client), settings_(settings) {}

  void run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) override;

 private:
  Result<EngineAnswer> runItem(const EngineCall& call, const ServingStrand& strand,
                               boost::asio::yield_context yield);

  ServingThreads& threads_;
  CoreExecutor& core_;
  EngineClient& client_;
  const Snapshot<SettingsTree>& settings_;
};

/// Time-outs of a health check.
inline constexpr EngineTimeouts kProbeTimeouts{std::chrono::seconds(1), std::chrono::seconds(1),
                                               std::chrono::seconds(1)};

/// Reads the health of engines. Opens a new connection for each check, so that a pooled connection
/// that the engine has closed is not mistaken for a failed engine. Must exist until the serving
/// threads have stopped.
class HttpEngineProbe : public EngineProbe {
 public:
  HttpEngineProbe(ServingThreads& threads, CoreExecutor& core,
                  EngineTimeouts timeouts = kProbeTimeouts)
      : threads_(threads), core_(core), timeouts_(timeouts) {}

  void probe(const std::string& address, std::function<void(EngineHealth)> done) override;

 private:
  EngineHealth readHealth(const std::string& address, const ServingStrand& strand,
                          boost::asio::yield_context yield);

  ServingThreads& threads_;
  CoreExecutor& core_;
  EngineTimeouts timeouts_;
};

}  // namespace shedshed
