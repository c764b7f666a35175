/// @file
/// Runs the items of batches as opaque calls.
#pragma once

#include "engines/engine_runner.h"
#include "gateway/batch_dialect.h"
#include "gateway/gateway_services.h"

namespace shedshed {

/// An item runs until it is done or can never be: its stream goes on at another engine after a
/// break, an engine that refuses it is left for another one.
///
/// The result of `run` is, with status 200, the data of all events; with another status the item
/// has failed for good. An error with `Ran::No` asks for a later try.
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
