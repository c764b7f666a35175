/// @file
/// Runs batch items as opaque calls.
#pragma once

#include "engines/engine_runner.h"
#include "gateway/batch_dialect.h"
#include "gateway/gateway_services.h"

namespace shedshed {

/// Runs each item until it completes or fails for good. An interrupted stream continues at another
/// engine, and a rejected item is sent to another engine.
///
/// A result of `run` with status 200 holds the data of all events; with another status the item has
/// failed for good. After an error with `Ran::No` the item is to be retried later.
class OpaqueItemRunner : public EngineRunner {
 public:
  explicit OpaqueItemRunner(GatewayServices& services) : services_(services) {}

  void run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) override;
  std::string modelOf(const std::string& body) const override;

 private:
  struct Progress;

  Result<EngineAnswer> runItem(const EngineCall& call, const ServingStrand& strand,
                               boost::asio::yield_context yield);
  Result<OpaqueCall> toOpaqueCall(const EngineCall& call) const;

  GatewayServices& services_;
};

}  // namespace shedshed
