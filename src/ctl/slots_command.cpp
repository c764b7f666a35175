#include "ctl/slots_command.h"

#include "ctl/json_cell.h"
#include "ctl/node_query.h"

#include <map>

namespace shedshed::ctl {

namespace {

/// The responses of all stores. The documents own the nodes that the maps point to.
struct MergedSlots {
  std::vector<JsonDocument> documents;
  std::map<std::string, const cJSON*> pools;  ///< By limiter and key.
  std::map<std::string, const cJSON*> lending;
};

double numberMember(const cJSON* object, const char* name) {
  const cJSON* member = jsonMember(object, name);
  return cJSON_IsNumber(member) ? member->valuedouble : 0;
}

void mergeResponse(MergedSlots& merged, const std::string& body) {
  Result<JsonDocument> document = JsonDocument::parse(body, kResponseBounds);
  if (!document) {
    return;
  }
  merged.documents.push_back(std::move(document).value());
  const cJSON* root = merged.documents.back().root();
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, jsonMember(root, "pools")) {
    const cJSON*& latest = merged.pools[cellOf(item, "limiter") + " " + cellOf(item, "key")];
    if (latest == nullptr || numberMember(latest, "epoch") < numberMember(item, "epoch")) {
      latest = item;
    }
  }
  cJSON_ArrayForEach(item, jsonMember(root, "lending")) {
    merged.lending[cellOf(item, "model")] = item;
  }
}

/// Returns the formula of the pool size N with its values, in one line.
std::string sizeExplanation(const cJSON* pool, const MergedSlots& merged) {
  const auto lending = merged.lending.find(cellOf(pool, "key"));
  if (cellOf(pool, "limiter") == "batch") {
    return lending == merged.lending.end() ? "lendable capacity"
                                           : "room " + cellOf(lending->second, "room") +
                                                 " - live " + cellOf(lending->second, "live") +
                                                 " - reserve " + cellOf(lending->second, "reserve");
  }
  return "ceil(" + cellOf(pool, "per_s") + "/s x " + cellOf(pool, "hold_ms") + " ms) + " +
         cellOf(pool, "burst") + " = " + cellOf(pool, "unscaled") + ", x " + cellOf(pool, "scale");
}

void printTables(CtlContext& context, const MergedSlots& merged) {
  TextTable pools({"POOL", "KEY", "N", "LIVE", "BATCH_ITEMS", "WHY N", "REMARK"});
  TextTable slots({"POOL", "KEY", "SLOT", "CLASS", "HOLDER", "AGE_MS", "EXPIRES_IN_MS"});
  for (const auto& entry : merged.pools) {
    const cJSON* pool = entry.second;
    const bool recovering = cJSON_IsTrue(jsonMember(pool, "recovering")) != 0;
    pools.add({cellOf(pool, "limiter"), cellOf(pool, "key"), cellOf(pool, "size"),
               cellOf(pool, "live"), cellOf(pool, "batch_items"), sizeExplanation(pool, merged),
               recovering ? "recovering" : ""});
    const cJSON* slot = nullptr;
    cJSON_ArrayForEach(slot, jsonMember(pool, "slots")) {
      slots.add({cellOf(pool, "limiter"), cellOf(pool, "key"), cellOf(slot, "number"),
                 cellOf(slot, "class"), cellOf(slot, "holder"), cellOf(slot, "age_ms"),
                 cellOf(slot, "expires_in_ms")});
    }
  }
  context.output.table(pools);
  context.output.line("");
  context.output.table(slots);
}

void printJson(CtlContext& context, const MergedSlots& merged, const std::string& missing) {
  const JsonDocument document = JsonDocument::object();
  cJSON* pools = cJSON_AddArrayToObject(document.root(), "pools");
  for (const auto& entry : merged.pools) {
    cJSON_AddItemToArray(pools, cJSON_Duplicate(entry.second, 1));
  }
  cJSON* lending = cJSON_AddArrayToObject(document.root(), "lending");
  for (const auto& entry : merged.lending) {
    cJSON_AddItemToArray(lending, cJSON_Duplicate(entry.second, 1));
  }
  cJSON_AddStringToObject(document.root(), "missing", missing.c_str());
  context.output.line(document.print());
}

}  // namespace

ExitCode SlotsCommand::run(CtlContext& context) {
  const Result<std::vector<NodeResponse>> responses =
      queryNodes(context.fleet, "store", "/v1/slots");
  if (!responses) {
    return context.output.fail(responses.error());
  }
  MergedSlots merged;
  for (const NodeResponse& response : responses.value()) {
    if (response.result) {
      mergeResponse(merged, response.result.value().body);
    }
  }
  const std::string missing = missingResponses(responses.value());
  if (context.output.isJson()) {
    printJson(context, merged, missing);
  } else {
    printTables(context, merged);
  }
  if (!missing.empty()) {
    context.output.note("incomplete: no response from " + missing);
  }
  return ExitCode::Ok;
}

}  // namespace shedshed::ctl
