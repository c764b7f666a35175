/// @file
/// The HTTP form of the batch calls (docs/API.md).
#pragma once

#include "batch/batch_client.h"
#include "serving/call_filter.h"
#include "serving/serving_services.h"

namespace shedshed {

/// Largest page of results or unfinished items.
inline constexpr std::uint32_t kMaxBatchPageSize = 1000;

/// Longest client key, in bytes.
inline constexpr std::size_t kMaxClientKeyBytes = 256;

/// Reads a batch from @p call's body, JSON or NDJSON, under the tenant's bounds. Fails with
/// `InvalidArgument` or `TooLarge`; the detail names the item.
Result<BatchSubmission> parseBatchSubmission(const CallContext& call);

std::string batchStatusJson(const BatchStatus& status);
std::string resultPageJson(const ResultPage& page);
std::string unfinishedItemsJson(const std::vector<UnfinishedItem>& items);

/// Answers the batch calls.
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
