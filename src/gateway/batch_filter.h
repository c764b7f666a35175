/// @file
/// Answers batch calls: hands in, reads, ends.
#pragma once

#include "gateway/batch_dialect.h"
#include "gateway/gateway_call.h"
#include "gateway/gateway_services.h"

namespace shedshed {

/// Answers calls of batches and lets all others pass. It stands behind the filter of the key for
/// batches handed in; reads and ends come under any path of the tenant.
class BatchFilter : public GatewayFilter {
 public:
  /// Keeps references; they must outlive it.
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
