#include "gateway/batch_filter.h"

#include "batch/batch_records.h"
#include "gateway/call_filters.h"
#include "gateway/item_request.h"
#include "kernel/message.h"
#include "serving/await_core.h"

namespace shedshed {
namespace {

constexpr int kAccepted = 202;
constexpr int kOk = 200;

/// Maximum number of results, and bytes, in one answer.
constexpr std::uint32_t kMaxResults = 200;
constexpr std::size_t kMaxResultBytes = 900U << 10U;

void answerJson(GatewayCall& call, int status, std::string body) {
  call.answer.status = status;
  call.answer.headers.push_back({"Content-Type", "application/json"});
  call.answer.body = std::move(body);
}

/// Reports a failure to reach the batch's owner as `StoreUnavailable`, which callers may retry at
/// any node. `NotFound` and `InvalidArgument` are final.
Error toCallerError(const Error& error) {
  const bool final = error.code == ErrorCode::NotFound || error.code == ErrorCode::InvalidArgument;
  return final ? error : makeError(ErrorCode::StoreUnavailable, error.detail);
}

}  // namespace

Result<std::string> BatchFilter::tenantOf(const GatewayCall& call) const {
  if (!call.settings->hasTenants()) {
    return std::string();
  }
  const auto tenant = call.key.empty() ? std::nullopt : call.settings->tenantOfKey(call.key);
  if (!tenant) {
    return makeError(ErrorCode::Unauthenticated, "the key is missing, unknown or revoked");
  }
  return *tenant;
}

Result<GatewayStep> BatchFilter::apply(GatewayCall& call, boost::asio::yield_context yield) {
  const auto batch = dialect_.parseCall(call.call.method, call.call.target);
  if (!batch) {
    return batch.error();
  }
  if (!batch.value()) {
    const auto& target = call.call.target;
    const RouteSettings* route =
        call.settings->routes().match(call.call.host, target.substr(0, target.find('?')));
    if (route == nullptr || route->kind != RouteKind::Batch) {
      return GatewayStep::Continue;
    }
    call.route = route;
    return submit(call, yield);
  }
  Result<std::string> tenant = tenantOf(call);
  if (!tenant) {
    return tenant.error();
  }
  call.call.tenant = tenant.value();
  switch (batch.value()->kind) {
  case BatchCall::Kind::Results:
    return results(call, *batch.value(), yield);
  case BatchCall::Kind::ItemBody:
    return itemBody(call, *batch.value(), yield);
  case BatchCall::Kind::Cancel:
    return cancelBatch(call, *batch.value(), yield);
  }
  return GatewayStep::Continue;
}

Result<GatewayStep> BatchFilter::submit(GatewayCall& call, boost::asio::yield_context yield) {
  Result<std::string> tenant = tenantOf(call);
  if (!tenant && !call.route->isPublic) {
    return tenant.error();
  }
  if (call.call.method != "POST" || call.call.requestId.empty()) {
    return makeError(ErrorCode::InvalidArgument,
                     "a batch must be submitted by POST with a request id");
  }
  Result<std::vector<BatchItemCall>> items = dialect_.parseItems(call.call.body);
  if (!items) {
    return items.error();
  }
  BatchSubmission submission;
  submission.tenant = tenant ? tenant.value() : std::string();
  submission.clientKey = call.call.requestId;
  submission.idempotentItems = true;
  submission.route = call.route->name;
  for (BatchItemCall& item : items.value()) {
    if (Status normalized = normalizeItem(item, services_.names); !normalized) {
      return normalized.error();
    }
    item.route = call.route->name;
    item.host = call.call.host;
    submission.names.push_back(item.name);
    submission.tokens.push_back(item.tokens);
    submission.items.push_back(encodeRecord(item));
  }
  const auto submitBatch = [this, submission](auto done) {
    services_.batches.submit(submission, done);
  };
  const auto accepted = awaitCore<Result<BatchStatus>>(services_.core, yield, submitBatch);
  if (!accepted) {
    return accepted.error();
  }
  answerJson(call, kAccepted, "{}");
  return GatewayStep::Answered;
}

Result<GatewayStep> BatchFilter::results(GatewayCall& call, const BatchCall& batch,
                                         boost::asio::yield_context yield) {
  const std::string id = batchIdOfClientKey(call.call.tenant, batch.clientKey);
  const auto read = [this, &call, &batch, id](auto done) {
    services_.batches.results(call.call.tenant, id, batch.from, kMaxResults, done);
  };
  const auto page = awaitCore<Result<ResultPage>>(services_.core, yield, read);
  if (!page) {
    return toCallerError(page.error());
  }
  answerJson(call, kOk, dialect_.formatResults(page.value(), batch.from, kMaxResultBytes));
  return GatewayStep::Answered;
}

Result<GatewayStep> BatchFilter::itemBody(GatewayCall& call, const BatchCall& batch,
                                          boost::asio::yield_context yield) {
  const std::string id = batchIdOfClientKey(call.call.tenant, batch.clientKey);
  const auto read = [this, &call, &batch, id](auto done) {
    services_.batches.itemBody(call.call.tenant, id, batch.itemName, done);
  };
  const auto body = awaitCore<Result<std::string>>(services_.core, yield, read);
  if (!body) {
    return toCallerError(body.error());
  }
  Result<BatchItemCall> item = decodeRecord<BatchItemCall>(body.value());
  if (!item) {
    return makeError(ErrorCode::Internal, item.error().detail);
  }
  call.answer.status = kOk;
  call.answer.headers.push_back({"Content-Type", "application/octet-stream"});
  call.answer.body = std::move(item.value().body);
  return GatewayStep::Answered;
}

Result<GatewayStep> BatchFilter::cancelBatch(GatewayCall& call, const BatchCall& batch,
                                             boost::asio::yield_context yield) {
  const std::string id = batchIdOfClientKey(call.call.tenant, batch.clientKey);
  const auto cancel = [this, &call, id](auto done) {
    services_.batches.cancel(call.call.tenant, id, done);
  };
  const auto cancelled = awaitCore<Result<BatchStatus>>(services_.core, yield, cancel);
  if (!cancelled) {
    return toCallerError(cancelled.error());
  }
  answerJson(call, kOk, "{}");
  return GatewayStep::Answered;
}

}  // namespace shedshed
