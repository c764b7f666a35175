#include "serving/batch_calls.h"

#include "serving/await_core.h"
#include "serving/body_json.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr const char* kNdjson = "application/x-ndjson";
constexpr int kOkStatus = 200;
constexpr int kCreatedStatus = 201;

const char* stateName(ItemState state) {
  switch (state) {
  case ItemState::Pending:
    return "pending";
  case ItemState::Started:
    return "started";
  case ItemState::Done:
    return "done";
  case ItemState::Failed:
    return "failed";
  case ItemState::Cancelled:
    return "cancelled";
  case ItemState::Unknown:
    return "unknown";
  }
  return "unknown";
}

/// Adds @p text as the member `body`: as JSON if it is a JSON object, else as a string; null if
/// empty.
void addBody(cJSON* object, const std::string& text) {
  if (text.empty()) {
    cJSON_AddNullToObject(object, "body");
  } else if (parseBodyObject(text)) {
    cJSON_AddRawToObject(object, "body", text.c_str());
  } else {
    cJSON_AddStringToObject(object, "body", text.c_str());
  }
}

/// Adds one item to @p submission after checking the limits on item count and size.
Status addItem(std::string body, const EffectiveSettings& settings, BatchSubmission& submission) {
  const std::string position = std::to_string(submission.items.size());
  if (submission.items.size() >= settings.maxBatchItems) {
    return makeError(ErrorCode::TooLarge, "more items than max_batch_items");
  }
  if (body.size() > settings.maxBodyBytes) {
    return makeError(ErrorCode::TooLarge, "items[" + position + "] exceeds max_body_bytes");
  }
  submission.items.push_back(std::move(body));
  return okStatus();
}

Status parseNdjson(const CallContext& call, BatchSubmission& submission) {
  submission.clientKey = call.request.clientKey;
  submission.idempotentItems = call.request.repeatable;
  std::string_view remaining = call.request.body;
  while (!remaining.empty()) {
    const std::size_t end = std::min(remaining.find('\n'), remaining.size());
    const std::string_view line = remaining.substr(0, end);
    remaining.remove_prefix(std::min(end + 1, remaining.size()));
    if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
      continue;
    }
    if (!parseBodyObject(line)) {
      return makeError(ErrorCode::InvalidArgument, "line of item " +
                                                       std::to_string(submission.items.size()) +
                                                       " is not a JSON object");
    }
    const Status added = addItem(std::string(line), call.settings, submission);
    if (!added) {
      return added;
    }
  }
  return okStatus();
}

Status parseJson(const CallContext& call, BatchSubmission& submission) {
  const Result<JsonDocument> document = parseBodyObject(call.request.body);
  if (!document) {
    return document.error();
  }
  submission.clientKey = textMember(document.value().root(), "client_key");
  const cJSON* repeatable = jsonMember(document.value().root(), "repeatable");
  if (repeatable != nullptr && !cJSON_IsBool(repeatable)) {
    return makeError(ErrorCode::InvalidArgument, "repeatable: true or false is required");
  }
  submission.idempotentItems = cJSON_IsTrue(repeatable) != 0;
  const cJSON* items = jsonMember(document.value().root(), "items");
  if (!cJSON_IsArray(items)) {
    return makeError(ErrorCode::InvalidArgument, "items: an array is required");
  }
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, items) {
    if (!cJSON_IsObject(item)) {
      return makeError(ErrorCode::InvalidArgument, "items: every entry must be an object");
    }
    const Status added = addItem(JsonDocument::printJson(item, false), call.settings, submission);
    if (!added) {
      return added;
    }
  }
  return okStatus();
}

std::uint32_t pageLimit(const CallTarget& target) {
  return target.limit == 0 ? kMaxBatchPageSize : std::min(target.limit, kMaxBatchPageSize);
}

FilterStatus setAnswer(CallContext& call, int status, std::string body) {
  call.answer.status = status;
  call.answer.body = std::move(body);
  return FilterStep::Answered;
}

}  // namespace

Result<BatchSubmission> parseBatchSubmission(const CallContext& call) {
  BatchSubmission submission;
  submission.tenant = call.tenant;
  const bool ndjson = call.request.contentType == kNdjson;
  const Status read = ndjson ? parseNdjson(call, submission) : parseJson(call, submission);
  if (!read) {
    return read.error();
  }
  if (submission.clientKey.empty() || submission.clientKey.size() > kMaxClientKeyBytes) {
    return makeError(ErrorCode::InvalidArgument, "client_key: 1 to 256 bytes are required");
  }
  if (submission.items.empty()) {
    return makeError(ErrorCode::InvalidArgument, "items: at least one is required");
  }
  return submission;
}

std::string batchStatusJson(const BatchStatus& status) {
  const JsonDocument document = JsonDocument::object();
  cJSON* root = document.root();
  const auto addCount = [root](const char* name, std::uint64_t count) {
    cJSON_AddNumberToObject(root, name, static_cast<double>(count));
  };
  cJSON_AddStringToObject(root, "id", status.id.c_str());
  addCount("items", status.itemCount);
  addCount("pending", status.pending);
  addCount("started", status.started);
  addCount("done", status.done);
  addCount("failed", status.failed);
  addCount("cancelled_items", status.cancelledItems);
  addCount("unknown", status.unknown);
  cJSON_AddBoolToObject(root, "cancelled", status.cancelled ? 1 : 0);
  return document.print();
}

std::string resultPageJson(const ResultPage& page) {
  const JsonDocument document = JsonDocument::object();
  cJSON* results = cJSON_AddArrayToObject(document.root(), "results");
  for (const ItemResult& result : page.results) {
    cJSON* entry = cJSON_CreateObject();
    cJSON_AddNumberToObject(entry, "position", static_cast<double>(result.position));
    cJSON_AddStringToObject(entry, "state", stateName(result.state));
    addBody(entry, result.body);
    if (result.errorType.empty()) {
      cJSON_AddNullToObject(entry, "error_type");
    } else {
      cJSON_AddStringToObject(entry, "error_type", result.errorType.c_str());
    }
    cJSON_AddItemToArray(results, entry);
  }
  cJSON_AddNumberToObject(document.root(), "next", static_cast<double>(page.next));
  cJSON_AddBoolToObject(document.root(), "complete", page.complete ? 1 : 0);
  return document.print();
}

std::string unfinishedItemsJson(const std::vector<UnfinishedItem>& items) {
  const JsonDocument document = JsonDocument::object();
  cJSON* list = cJSON_AddArrayToObject(document.root(), "items");
  for (const UnfinishedItem& item : items) {
    cJSON* entry = cJSON_CreateObject();
    cJSON_AddNumberToObject(entry, "position", static_cast<double>(item.position));
    cJSON_AddStringToObject(entry, "state", stateName(item.state));
    addBody(entry, item.body);
    cJSON_AddItemToArray(list, entry);
  }
  return document.print();
}

FilterStatus BatchCallFilter::apply(CallContext& call, boost::asio::yield_context yield) {
  switch (call.request.target.kind) {
  case CallKind::BatchSubmit:
    return submit(call, yield);
  case CallKind::BatchStatus:
    return status(call, yield);
  case CallKind::BatchResults:
    return results(call, yield);
  case CallKind::BatchUnfinished:
    return unfinished(call, yield);
  case CallKind::BatchCancel:
    return cancel(call, yield);
  default:
    return FilterStep::Continue;
  }
}

FilterStatus BatchCallFilter::submit(CallContext& call, boost::asio::yield_context yield) {
  Result<BatchSubmission> submission = parseBatchSubmission(call);
  if (!submission) {
    return submission.error();
  }
  call.request.body.clear();
  call.request.body.shrink_to_fit();
  auto start = [this, batch = std::move(submission.value())](auto done) mutable {
    services_.batches.submit(std::move(batch), done);
  };
  const auto result = awaitCore<Result<BatchStatus>>(services_.core, yield, std::move(start));
  if (!result) {
    return result.error();
  }
  const int status = result.value().resent ? kOkStatus : kCreatedStatus;
  return setAnswer(call, status, batchStatusJson(result.value()));
}

FilterStatus BatchCallFilter::status(CallContext& call, boost::asio::yield_context yield) {
  const auto start = [this, &call](auto done) {
    services_.batches.status(call.tenant, call.request.target.batchId, done);
  };
  const auto result = awaitCore<Result<BatchStatus>>(services_.core, yield, start);
  if (!result) {
    return result.error();
  }
  return setAnswer(call, 200, batchStatusJson(result.value()));
}

FilterStatus BatchCallFilter::results(CallContext& call, boost::asio::yield_context yield) {
  const auto start = [this, &call](auto done) {
    const CallTarget& target = call.request.target;
    services_.batches.results(call.tenant, target.batchId, target.from, pageLimit(target), done);
  };
  const auto result = awaitCore<Result<ResultPage>>(services_.core, yield, start);
  if (!result) {
    return result.error();
  }
  return setAnswer(call, 200, resultPageJson(result.value()));
}

FilterStatus BatchCallFilter::unfinished(CallContext& call, boost::asio::yield_context yield) {
  const auto start = [this, &call](auto done) {
    const CallTarget& target = call.request.target;
    services_.batches.unfinished(call.tenant, target.batchId, target.from, pageLimit(target), done);
  };
  const auto result = awaitCore<Result<std::vector<UnfinishedItem>>>(services_.core, yield, start);
  if (!result) {
    return result.error();
  }
  return setAnswer(call, 200, unfinishedItemsJson(result.value()));
}

FilterStatus BatchCallFilter::cancel(CallContext& call, boost::asio::yield_context yield) {
  const auto start = [this, &call](auto done) {
    services_.batches.cancel(call.tenant, call.request.target.batchId, done);
  };
  const auto result = awaitCore<Result<BatchStatus>>(services_.core, yield, start);
  if (!result) {
    return result.error();
  }
  return setAnswer(call, 200, batchStatusJson(result.value()));
}

}  // namespace shedshed
