/// @file
/// Handles batch calls: submission, reads and cancellation.
#pragma once

#include "gateway/batch_dialect.h"
#include "gateway/gateway_call.h"
#include "gateway/gateway_services.h"

namespace shedshed {

/// Answers batch calls and passes all others on. Runs before the route and tenant filters and
/// authenticates the caller itself. Submissions are recognized by their route, reads and
/// cancellations by their path alone.
class BatchFilter : public GatewayFilter {
 public:
  /// Keeps references to @p services and @p dialect; they must outlive the filter.
  BatchFilter(GatewayServices& services, const BatchDialect& dialect)
      : services_(services), dialect_(dialect) {}

  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;

 private:
  Result<GatewayStep> submit(GatewayCall& call, boost::asio::yield_context yield);
  Result<GatewayStep> results(GatewayCall& call, const BatchCall& batch,
                              boost::asio::yield_context yield);
  Result<GatewayStep> itemBody(GatewayCall& call, const BatchCall& batch,
                               boost::asio::yield_context yield);
  Result<GatewayStep> cancelBatch(GatewayCall& call, const BatchCall& batch,
                                  boost::asio::yield_context yield);
  Result<std::string> tenantOf(const GatewayCall& call) const;

  GatewayServices& services_;
  const BatchDialect& dialect_;
};

}  // namespace shedshed
