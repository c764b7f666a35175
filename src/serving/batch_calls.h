/// @file
/// HTTP handlers of the batch API (docs/API.md).
#pragma once

#include "batch/batch_client.h"
#include "serving/call_filter.h"
#include "serving/serving_services.h"

namespace shedshed {

/// Most results or unfinished items in one page.
inline constexpr std::uint32_t kMaxBatchPageSize = 1000;

/// Longest client key, in bytes.
inline constexpr std::size_t kMaxClientKeyBytes = 256;

/// Parses the body of @p call, JSON or NDJSON, and enforces the tenant's limits. Fails with
/// `InvalidArgument` or `TooLarge`; the detail names the invalid item or member.
Result<BatchSubmission> parseBatchSubmission(const CallContext& call);

std::string batchStatusJson(const BatchStatus& status);
std::string resultPageJson(const ResultPage& page);
std::string unfinishedItemsJson(const std::vector<UnfinishedItem>& items);

/// Handles the batch calls and passes all other calls on.
class BatchCallFilter : public CallFilter {
 public:
  explicit BatchCallFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  FilterStatus submit(CallContext& call, boost::asio::yield_context yield);
  FilterStatus status(CallContext& call, boost::asio::yield_context yield);
  FilterStatus results(CallContext& call, boost::asio::yield_context yield);
  FilterStatus unfinished(CallContext& call, boost::asio::yield_context yield);
  FilterStatus cancel(CallContext& call, boost::asio::yield_context yield);

  ServingServices& services_;
};

}  // namespace shedshed
