#include "ctl/stores_commands.h"

#include "ctl/fleet_view.h"
#include "ctl/store_replacement.h"
#include "settings/ip_port.h"
#include "settings/json.h"

namespace shedshed::ctl {

namespace {

constexpr std::chrono::milliseconds kPollInterval(200);

std::vector<NodeView> filterStores(const std::vector<NodeView>& nodes) {
  std::vector<NodeView> stores;
  for (const NodeView& node : nodes) {
    if (node.role == "store") {
      stores.push_back(node);
    }
  }
  return stores;
}

void printTable(CtlContext& context, const std::vector<NodeView>& stores) {
  TextTable table({"STORE", "ZONE", "STATE", "MEMBER", "HELD", "SETTLED", "TOTAL", "REMARK"});
  for (const NodeView& node : stores) {
    std::vector<std::string> row = {node.id, node.zone, node.state};
    if (node.store) {
      row.push_back(node.store->isMember ? "yes" : "no");
      row.push_back(std::to_string(node.store->complete));
      row.push_back(std::to_string(node.store->acknowledged));
      row.push_back(std::to_string(node.store->total));
    } else {
      row.insert(row.end(), 4, "-");
    }
    row.push_back(node.failure);
    table.add(std::move(row));
  }
  context.output.table(table);
}

void printJson(CtlContext& context, const std::vector<NodeView>& stores) {
  const JsonDocument document = JsonDocument::object();
  cJSON* array = cJSON_AddArrayToObject(document.root(), "stores");
  for (const NodeView& node : stores) {
    cJSON* item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "id", node.id.c_str());
    cJSON_AddStringToObject(item, "zone", node.zone.c_str());
    cJSON_AddStringToObject(item, "state", node.state.c_str());
    if (node.store) {
      cJSON_AddBoolToObject(item, "member", node.store->isMember ? 1 : 0);
      addUnsigned(item, "held", node.store->complete);
      addUnsigned(item, "settled", node.store->acknowledged);
      addUnsigned(item, "total", node.store->total);
    } else {
      cJSON_AddStringToObject(item, "failure", node.failure.c_str());
    }
    cJSON_AddItemToArray(array, item);
  }
  context.output.line(document.print());
}

void print(CtlContext& context, const std::vector<NodeView>& stores) {
  if (context.output.isJson()) {
    printJson(context, stores);
  } else {
    printTable(context, stores);
  }
}

/// Returns the members that have not reported that they hold all data.
std::vector<std::string> incompleteMembers(const std::vector<std::string>& members,
                                           const std::vector<NodeView>& nodes) {
  std::vector<std::string> missing;
  for (const std::string& id : members) {
    bool acknowledged = false;
    for (const NodeView& node : nodes) {
      acknowledged = acknowledged || (node.id == id && node.store && node.store->isAcknowledged());
    }
    if (!acknowledged) {
      missing.push_back(id);
    }
  }
  return missing;
}

std::string join(const std::vector<std::string>& texts) {
  std::string text;
  for (const std::string& item : texts) {
    text += (text.empty() ? "" : ", ") + item;
  }
  return text;
}

}  // namespace

ExitCode StoresCommands::run(CtlContext& context) {
  const std::string action = context.line.argument(1);
  if (action == "list") {
    return list(context);
  }
  if (action == "replace") {
    return replace(context);
  }
  if (action == "repair") {
    return repair(context);
  }
  return context.output.usage("stores: found \"" + action + "\"; allowed: list, repair, replace");
}

ExitCode StoresCommands::list(CtlContext& context) {
  const Result<std::vector<NodeView>> nodes = readFleet(context.fleet);
  if (!nodes) {
    return context.output.fail(nodes.error());
  }
  print(context, filterStores(nodes.value()));
  return ExitCode::Ok;
}

ExitCode StoresCommands::replace(CtlContext& context) {
  const std::string oldId = context.line.argument(2);
  const std::string newId = context.line.argument(3);
  if (!isIpPort(oldId) || !isIpPort(newId) || context.line.arguments.size() != 4) {
    return context.output.usage("stores replace needs OLD and NEW: the internal addresses "
                                "\"ip:port\" of the member and of the empty store");
  }
  return StoreReplacement(context, oldId, newId).run();
}

ExitCode StoresCommands::repair(CtlContext& context) {
  const std::chrono::seconds timeout(context.line.timeoutSeconds);
  std::string lastProgress;
  while (true) {
    const Result<std::vector<std::string>> members = memberStores(context.fleet);
    const Result<std::vector<NodeView>> nodes = readFleet(context.fleet);
    if (!members || !nodes) {
      return context.output.fail(members ? nodes.error() : members.error());
    }
    const std::vector<std::string> missing = incompleteMembers(members.value(), nodes.value());
    if (missing.empty() && !members.value().empty()) {
      print(context, filterStores(nodes.value()));
      return ExitCode::Ok;
    }
    const std::string progress = "not complete yet: " + join(missing);
    if (progress != lastProgress) {
      context.output.note(progress);
    }
    lastProgress = progress;
    if (context.elapsed() >= timeout) {
      context.output.fail(makeError(ErrorCode::DeadlineExceeded,
                                    progress + "; replace a lost store by an empty one with "
                                               "shedctl stores replace"));
      return ExitCode::NotInForceYet;
    }
    context.pause(kPollInterval);
  }
}

}  // namespace shedshed::ctl
