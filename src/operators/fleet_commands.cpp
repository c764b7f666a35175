#include "operators/fleet_commands.h"

#include "operators/status_json.h"
#include "settings/ip_port.h"
#include "settings/json.h"

#include <set>

namespace shedshed {

namespace {

/// Maximum addresses in each list of an `init` request.
constexpr int kMaxInitialMembers = 32;
constexpr JsonBounds kInitBounds{64U << 10U, 3};

Result<std::vector<NodeId>> parseAddresses(const cJSON* root, const char* name) {
  const std::string path = std::string("/") + name;
  const cJSON* array = jsonMember(root, name);
  const int size = cJSON_IsArray(array) ? cJSON_GetArraySize(array) : 0;
  if (size < 1 || size > kMaxInitialMembers) {
    return jsonError(path, array,
                     "an array of 1 to " + std::to_string(kMaxInitialMembers) + " addresses");
  }
  std::vector<NodeId> ids;
  std::set<std::string> seen;
  for (const cJSON* item = array->child; item != nullptr; item = item->next) {
    const bool valid = cJSON_IsString(item) && isIpPort(item->valuestring) &&
                       seen.insert(item->valuestring).second;
    if (!valid) {
      return jsonError(path + "/" + std::to_string(ids.size()), item,
                       "an \"ip:port\" that is listed only once");
    }
    ids.push_back(NodeId{item->valuestring});
  }
  return ids;
}

}  // namespace

Result<std::unique_ptr<OperatorCommand>> InitFleetCommand::decode(const std::string& body) {
  const Result<JsonDocument> document = JsonDocument::parse(body, kInitBounds);
  if (!document) {
    return document.error();
  }
  const cJSON* root = document.value().root();
  if (!cJSON_IsObject(root)) {
    return jsonError("", root, "an object with acceptors and stores");
  }
  for (const cJSON* member = root->child; member != nullptr; member = member->next) {
    const std::string name = member->string;
    if (name != "acceptors" && name != "stores") {
      return jsonError("/" + name, member, "no such key; the keys here are acceptors, stores");
    }
  }
  Result<std::vector<NodeId>> acceptors = parseAddresses(root, "acceptors");
  if (!acceptors) {
    return acceptors.error();
  }
  Result<std::vector<NodeId>> stores = parseAddresses(root, "stores");
  if (!stores) {
    return stores.error();
  }
  return std::unique_ptr<OperatorCommand>(
      std::make_unique<InitFleetCommand>(std::move(acceptors).value(), std::move(stores).value()));
}

void InitFleetCommand::execute(OperatorServices& services, CommandDone done) {
  if (services.fleetForming == nullptr) {
    done(errorReply(
        makeError(ErrorCode::NotReady,
                  "this process cannot form a fleet; send the call to a control process")));
    return;
  }
  const auto answer = [done = std::move(done)](const Result<MemberList>& members) {
    done(members ? jsonReply(membersJson(members.value())) : errorReply(members.error()));
  };
  services.fleetForming->formFleet(acceptors_, stores_, answer);
}

void StatusCommand::execute(OperatorServices& services, CommandDone done) {
  done(jsonReply(statusJson(services.status())));
}

void ReadyCommand::execute(OperatorServices& services, CommandDone done) {
  const Status ready = services.status().ready;
  done(ready ? jsonReply(R"({"ready":true})") : errorReply(ready.error()));
}

}  // namespace shedshed
