#include "operators/status_json.h"

#include "settings/json.h"

namespace shedshed {

namespace {

void addMembers(cJSON* object, const char* name, const std::vector<MemberList::Member>& members) {
  cJSON* array = cJSON_AddArrayToObject(object, name);
  for (const MemberList::Member& member : members) {
    cJSON* item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "id", member.id.address.c_str());
    cJSON_AddStringToObject(item, "store_id", member.storeId.c_str());
    cJSON_AddItemToArray(array, item);
  }
}

void addNode(cJSON* array, const NodeInfo& node) {
  cJSON* item = cJSON_CreateObject();
  cJSON_AddStringToObject(item, "id", node.id.address.c_str());
  cJSON_AddStringToObject(item, "role", roleName(node.role));
  cJSON_AddStringToObject(item, "state", nodeStateName(node.state));
  cJSON_AddStringToObject(item, "zone", node.zone.c_str());
  addUnsigned(item, "incarnation", node.incarnation);
  cJSON_AddStringToObject(item, "store_id", node.storeId.c_str());
  cJSON_AddStringToObject(item, "operators_address", node.operatorsAddress.c_str());
  cJSON_AddStringToObject(item, "callers_address", node.clientAddress.c_str());
  cJSON_AddItemToArray(array, item);
}

void addNodes(cJSON* object, const NodeStatus& status) {
  cJSON* array = cJSON_AddArrayToObject(object, "nodes");
  if (!status.nodes) {
    return;
  }
  for (const NodeInfo& node : status.nodes->nodes) {
    addNode(array, node);
  }
}

void addVersions(cJSON* object, const NodeStatus& status) {
  cJSON* versions = cJSON_AddObjectToObject(object, "versions");
  for (const auto& entry : status.versionsInForce) {
    addUnsigned(versions, entry.first.c_str(), entry.second);
  }
}

void addEpochs(cJSON* object, const NodeStatus& status) {
  cJSON* array = cJSON_AddArrayToObject(object, "epochs");
  for (const PartitionEpoch& epoch : status.epochs) {
    cJSON* item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "table", epoch.table.c_str());
    addUnsigned(item, "partition", epoch.partition);
    addUnsigned(item, "epoch", epoch.epoch);
    cJSON_AddBoolToObject(item, "owner", epoch.owner ? 1 : 0);
    cJSON_AddItemToArray(array, item);
  }
}

void addStore(cJSON* object, const NodeStatus& status) {
  if (!status.store) {
    return;
  }
  cJSON* store = cJSON_AddObjectToObject(object, "store");
  cJSON_AddBoolToObject(store, "member", status.store->isMember ? 1 : 0);
  addUnsigned(store, "held", status.store->held);
  addUnsigned(store, "settled", status.store->settled);
  addUnsigned(store, "total", status.store->total);
}

void addEngineCounts(cJSON* object, const NodeStatus& status) {
  cJSON* engines = cJSON_AddObjectToObject(object, "engines");
  if (!status.engines) {
    return;
  }
  std::map<EngineState, std::uint64_t> counts = {{EngineState::Unknown, 0},
                                                 {EngineState::Ready, 0},
                                                 {EngineState::Draining, 0},
                                                 {EngineState::Gone, 0}};
  for (const EngineInfo& engine : status.engines->engines) {
    ++counts[engine.state];
  }
  for (const auto& count : counts) {
    addUnsigned(engines, engineStateName(count.first), count.second);
  }
}

}  // namespace

std::string membersJson(const MemberList& members) {
  const JsonDocument document = JsonDocument::object();
  addMembers(document.root(), "acceptors", members.acceptors);
  addMembers(document.root(), "stores", members.stores);
  return document.print();
}

std::string statusJson(const NodeStatus& status) {
  const JsonDocument document = JsonDocument::object();
  cJSON* root = document.root();
  cJSON_AddStringToObject(root, "node", status.self.address.c_str());
  cJSON_AddStringToObject(root, "role", roleName(status.role));
  cJSON_AddStringToObject(root, "zone", status.zone.c_str());
  cJSON_AddBoolToObject(root, "ready", status.ready.has_value() ? 1 : 0);
  if (!status.ready) {
    const std::string reason(errorTypeName(status.ready.error().code));
    cJSON_AddStringToObject(root, "not_ready_reason", reason.c_str());
  }
  const std::int64_t fresh = toMilliseconds(status.freshRemaining);
  addUnsigned(root, "fresh_remaining_ms", fresh > 0 ? static_cast<std::uint64_t>(fresh) : 0);
  addVersions(root, status);
  addNodes(root, status);
  addEpochs(root, status);
  addStore(root, status);
  addEngineCounts(root, status);
  return document.print();
}

const char* roleName(NodeRole role) {
  switch (role) {
  case NodeRole::Data:
    return "data";
  case NodeRole::Register:
    return "register";
  case NodeRole::Store:
    return "store";
  }
  return "unknown";
}

const char* nodeStateName(NodeState state) {
  switch (state) {
  case NodeState::Alive:
    return "alive";
  case NodeState::Suspect:
    return "suspect";
  case NodeState::Draining:
    return "draining";
  case NodeState::Dead:
    return "dead";
  }
  return "unknown";
}

const char* engineStateName(EngineState state) {
  switch (state) {
  case EngineState::Unknown:
    return "unknown";
  case EngineState::Ready:
    return "ready";
  case EngineState::Draining:
    return "draining";
  case EngineState::Gone:
    return "gone";
  }
  return "unknown";
}

}  // namespace shedshed
