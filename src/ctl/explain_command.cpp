#include "ctl/explain_command.h"

#include "ctl/json_cell.h"
#include "ctl/node_answers.h"

namespace shedshed::ctl {

namespace {

ExitCode printTable(CtlContext& context, const NodeResponse& answer) {
  const Result<JsonDocument> document = JsonDocument::parse(answer.answer.value().body);
  if (!document) {
    return context.output.fail(document.error());
  }
  TextTable table({"AFTER_MS", "STEP", "DETAIL"});
  const cJSON* step = nullptr;
  cJSON_ArrayForEach(step, jsonMember(document.value().root(), "steps")) {
    table.add({cellOf(step, "after_ms"), cellOf(step, "step"), cellOf(step, "detail")});
  }
  context.output.line("call " + context.line.word(1) + " on " + answer.node);
  context.output.table(table);
  return ExitCode::Ok;
}

void printJson(CtlContext& context, const NodeResponse& answer) {
  const JsonDocument document = JsonDocument::object();
  cJSON_AddStringToObject(document.root(), "node", answer.node.c_str());
  cJSON_AddRawToObject(document.root(), "call", answer.answer.value().body.c_str());
  context.output.line(document.print());
}

}  // namespace

ExitCode ExplainCommand::run(CtlContext& context) {
  if (context.line.words.size() != 2) {
    return context.output.usage("explain needs the call's X-Request-Id");
  }
  const std::string id = context.line.word(1);
  const auto answers = queryNodes(context.fleet, "data", "/v1/requests/" + id);
  if (!answers) {
    return context.output.fail(answers.error());
  }
  for (const NodeResponse& answer : answers.value()) {
    if (!answer.answer) {
      continue;
    }
    if (context.output.isJson()) {
      printJson(context, answer);
      return ExitCode::Ok;
    }
    return printTable(context, answer);
  }
  const std::string missing = missingResponses(answers.value());
  if (!missing.empty()) {
    return context.output.fail(
        makeError(ErrorCode::StoreUnavailable, "no node that answers knows the call; " + missing));
  }
  return context.output.fail(
      makeError(ErrorCode::NotFound,
                "no data node remembers call " + id + "; each keeps its last calls only"));
}

}  // namespace shedshed::ctl
