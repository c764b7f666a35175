#include "ctl/batches_commands.h"

#include "ctl/json_cell.h"
#include "ctl/node_query.h"

#include <map>

namespace shedshed::ctl {

namespace {

constexpr const char* kBatchesUrl = "/v1/batches";
constexpr std::chrono::milliseconds kPollInterval(200);

std::string batchState(const cJSON* batch) {
  const bool cancelled = cJSON_IsTrue(jsonMember(batch, "cancelled")) != 0;
  const bool open = cellOf(batch, "pending") != "0" || cellOf(batch, "started") != "0";
  if (cancelled) {
    return open ? "cancelling" : "cancelled";
  }
  return open ? "open" : "complete";
}

void printBatches(CtlContext& context, const std::vector<const cJSON*>& batches) {
  TextTable table({"BATCH", "TENANT", "STATE", "ITEMS", "PENDING", "STARTED", "DONE", "FAILED",
                   "CANCELLED", "UNKNOWN"});
  for (const cJSON* batch : batches) {
    table.add({cellOf(batch, "id"), cellOf(batch, "tenant"), batchState(batch),
               cellOf(batch, "items"), cellOf(batch, "pending"), cellOf(batch, "started"),
               cellOf(batch, "done"), cellOf(batch, "failed"), cellOf(batch, "cancelled_items"),
               cellOf(batch, "unknown")});
  }
  context.output.table(table);
}

ExitCode printBatch(CtlContext& context, const std::string& body) {
  if (context.output.isJson()) {
    context.output.line(body);
    return ExitCode::Ok;
  }
  const Result<JsonDocument> document = JsonDocument::parse(body, kResponseBounds);
  if (!document) {
    return context.output.fail(document.error());
  }
  printBatches(context, {document.value().root()});
  return ExitCode::Ok;
}

Error batchNotFound(const std::string& id) {
  return makeError(ErrorCode::NotFound, "no store has batch " + id);
}

/// Returns the response of the store that owns batch @p id. Polls while the ownership may be
/// moving, until the owner responds, a store reports `NotFound`, or the timeout expires.
Result<NodeResponse> queryOwner(CtlContext& context, const std::string& id) {
  const std::chrono::seconds timeout(context.line.timeoutSeconds);
  while (true) {
    const auto responses = queryNodes(context.fleet, "store", kBatchesUrl + ("/" + id));
    if (!responses) {
      return responses.error();
    }
    bool reportedNotFound = false;
    Error lastError = makeError(ErrorCode::StoreUnavailable, "no store owns the batch at present");
    for (const NodeResponse& response : responses.value()) {
      if (response.result) {
        return response;
      }
      const Error& error = response.result.error();
      reportedNotFound = reportedNotFound || error.code == ErrorCode::NotFound;
      if (!isNotFoundOnNode(error.code)) {
        lastError = error;
      }
    }
    if (reportedNotFound) {
      return batchNotFound(id);
    }
    if (context.elapsed() >= timeout) {
      return lastError;
    }
    context.pause(kPollInterval);
  }
}

}  // namespace

ExitCode BatchesCommands::run(CtlContext& context) {
  const std::string action = context.line.argument(1);
  const std::size_t argumentCount = context.line.arguments.size();
  if (action == "list" && argumentCount == 2) {
    return list(context);
  }
  if (action == "show" && argumentCount == 3) {
    return show(context);
  }
  if (action == "cancel" && argumentCount == 3) {
    return cancel(context);
  }
  return context.output.usage("batches: allowed: list, show ID, cancel ID");
}

ExitCode BatchesCommands::list(CtlContext& context) {
  const Result<std::vector<NodeResponse>> responses =
      queryNodes(context.fleet, "store", kBatchesUrl);
  if (!responses) {
    return context.output.fail(responses.error());
  }
  std::vector<JsonDocument> documents;
  std::map<std::string, const cJSON*> batches;
  for (const NodeResponse& response : responses.value()) {
    Result<JsonDocument> document =
        JsonDocument::parse(response.result ? response.result.value().body : "{}", kResponseBounds);
    if (!document) {
      return context.output.fail(document.error());
    }
    documents.push_back(std::move(document).value());
    const cJSON* item = nullptr;
    cJSON_ArrayForEach(item, jsonMember(documents.back().root(), "batches")) {
      batches[cellOf(item, "id")] = item;
    }
  }
  const std::string missing = missingResponses(responses.value());
  if (context.output.isJson()) {
    const JsonDocument document = JsonDocument::object();
    cJSON* array = cJSON_AddArrayToObject(document.root(), "batches");
    for (const auto& batch : batches) {
      cJSON_AddItemToArray(array, cJSON_Duplicate(batch.second, 1));
    }
    cJSON_AddStringToObject(document.root(), "missing", missing.c_str());
    context.output.line(document.print());
    return ExitCode::Ok;
  }
  std::vector<const cJSON*> rows;
  for (const auto& batch : batches) {
    rows.push_back(batch.second);
  }
  printBatches(context, rows);
  if (!missing.empty()) {
    context.output.note("incomplete: no response from " + missing);
  }
  return ExitCode::Ok;
}

ExitCode BatchesCommands::show(CtlContext& context) {
  const Result<NodeResponse> owner = queryOwner(context, context.line.argument(2));
  if (!owner) {
    return context.output.fail(owner.error());
  }
  return printBatch(context, owner.value().result.value().body);
}

ExitCode BatchesCommands::cancel(CtlContext& context) {
  const std::string id = context.line.argument(2);
  const Result<NodeResponse> owner = queryOwner(context, id);
  if (!owner) {
    return context.output.fail(owner.error());
  }
  FleetRequest request;
  request.method = "POST";
  request.url = kBatchesUrl + ("/" + id) + "/cancel";
  request.changesState = true;
  Result<FleetResponse> response = context.fleet.callNode(owner.value().operatorsAddress, request);
  if (!response) {
    Error error = response.error();
    error.detail += "; a cancel may be sent again";
    return context.output.fail(error);
  }
  return printBatch(context, response.value().body);
}

}  // namespace shedshed::ctl
