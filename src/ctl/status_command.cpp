#include "ctl/status_command.h"

#include "ctl/fleet_view.h"

#include <algorithm>

namespace shedshed::ctl {

namespace {

constexpr const char* kRegisters[] = {"settings", "engines", "members"};

using Versions = std::map<std::string, std::uint64_t>;

Versions newestVersions(const std::vector<NodeView>& nodes) {
  Versions newest;
  for (const NodeView& node : nodes) {
    for (const auto& version : node.versions) {
      newest[version.first] = std::max(newest[version.first], version.second);
    }
  }
  return newest;
}

/// Returns the registers of which @p node does not have the newest version.
std::vector<std::string> outdatedRegisters(const NodeView& node, const Versions& newest) {
  std::vector<std::string> names;
  for (const auto& version : newest) {
    if (node.responded() && node.versionOf(version.first) < version.second) {
      names.push_back(version.first);
    }
  }
  return names;
}

std::string nodeRemark(const NodeView& node, const Versions& newest) {
  if (!node.responded()) {
    return node.isDead() ? "" : "no response: " + node.failure;
  }
  std::string remark;
  for (const std::string& name : outdatedRegisters(node, newest)) {
    remark += (remark.empty() ? "behind in " : ", ") + name;
  }
  return remark;
}

void printTable(CtlContext& context, const std::vector<NodeView>& nodes, const Versions& newest) {
  TextTable table({"NODE", "ROLE", "ZONE", "STATE", "READY", "SETTINGS", "ENGINES", "MEMBERS",
                   "FRESH_MS", "OWNS", "REMARK"});
  for (const NodeView& node : nodes) {
    std::vector<std::string> row = {node.id, node.role, node.zone, node.state};
    row.push_back(node.responded() ? (node.ready ? "yes" : "no") : "-");
    for (const char* name : kRegisters) {
      row.push_back(node.responded() ? std::to_string(node.versionOf(name)) : "-");
    }
    row.push_back(node.responded() ? std::to_string(node.freshRemainingMs) : "-");
    row.push_back(node.responded() ? std::to_string(node.ownedPartitions) : "-");
    row.push_back(nodeRemark(node, newest));
    table.add(std::move(row));
  }
  context.output.table(table);
}

void printJson(CtlContext& context, const std::vector<NodeView>& nodes, const Versions& newest) {
  const JsonDocument document = JsonDocument::object();
  cJSON* versions = cJSON_AddObjectToObject(document.root(), "newest_versions");
  for (const auto& version : newest) {
    addUnsigned(versions, version.first.c_str(), version.second);
  }
  cJSON* array = cJSON_AddArrayToObject(document.root(), "nodes");
  for (const NodeView& node : nodes) {
    cJSON* item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "id", node.id.c_str());
    cJSON_AddStringToObject(item, "role", node.role.c_str());
    cJSON_AddStringToObject(item, "zone", node.zone.c_str());
    cJSON_AddStringToObject(item, "state", node.state.c_str());
    cJSON* behind = cJSON_AddArrayToObject(item, "behind_in");
    for (const std::string& name : outdatedRegisters(node, newest)) {
      cJSON_AddItemToArray(behind, cJSON_CreateString(name.c_str()));
    }
    if (node.responded()) {
      cJSON_AddRawToObject(item, "status", node.statusJson.c_str());
    } else {
      cJSON_AddStringToObject(item, "failure", node.failure.c_str());
    }
    cJSON_AddItemToArray(array, item);
  }
  context.output.line(document.print());
}

}  // namespace

ExitCode StatusCommand::run(CtlContext& context) {
  const Result<std::vector<NodeView>> nodes = readFleet(context.fleet);
  if (!nodes) {
    return context.output.fail(nodes.error());
  }
  const Versions newest = newestVersions(nodes.value());
  if (context.output.isJson()) {
    printJson(context, nodes.value(), newest);
  } else {
    printTable(context, nodes.value(), newest);
  }
  return ExitCode::Ok;
}

}  // namespace shedshed::ctl
