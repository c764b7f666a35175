#include "ctl/explain_command.h"

#include "ctl/json_cell.h"
#include "ctl/node_query.h"

namespace shedshed::ctl {

namespace {

ExitCode printTable(CtlContext& context, const NodeResponse& response) {
  const Result<JsonDocument> document = JsonDocument::parse(response.result.value().body);
  if (!document) {
    return context.output.fail(document.error());
  }
  TextTable table({"AFTER_MS", "STEP", "DETAIL"});
  const cJSON* step = nullptr;
  cJSON_ArrayForEach(step, jsonMember(document.value().root(), "steps")) {
    table.add({cellOf(step, "after_ms"), cellOf(step, "step"), cellOf(step, "detail")});
  }
  context.output.line("call " + context.line.argument(1) + " on " + response.node);
  context.output.table(table);
  return ExitCode::Ok;
}

void printJson(CtlContext& context, const NodeResponse& response) {
  const JsonDocument document = JsonDocument::object();
  cJSON_AddStringToObject(document.root(), "node", response.node.c_str());
  cJSON_AddRawToObject(document.root(), "call", response.result.value().body.c_str());
  context.output.line(document.print());
}

}  // namespace

ExitCode ExplainCommand::run(CtlContext& context) {
  if (context.line.arguments.size() != 2) {
    return context.output.usage("explain needs the call's X-Request-Id");
  }
  const std::string id = context.line.argument(1);
  const auto responses = queryNodes(context.fleet, "data", "/v1/requests/" + id);
  if (!responses) {
    return context.output.fail(responses.error());
  }
  for (const NodeResponse& response : responses.value()) {
    if (!response.result) {
      continue;
    }
    if (context.output.isJson()) {
      printJson(context, response);
      return ExitCode::Ok;
    }
    return printTable(context, response);
  }
  const std::string missing = missingResponses(responses.value());
  if (!missing.empty()) {
    return context.output.fail(
        makeError(ErrorCode::StoreUnavailable,
                  "no responding node has a record of the call; no response from " + missing));
  }
  return context.output.fail(
      makeError(ErrorCode::NotFound, "no data node has a record of call " + id +
                                         "; each keeps its most recent calls only"));
}

}  // namespace shedshed::ctl
