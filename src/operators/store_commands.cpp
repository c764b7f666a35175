#include "operators/store_commands.h"

#include "operators/status_json.h"
#include "settings/ip_port.h"
#include "settings/json.h"

namespace shedshed {

namespace {

constexpr JsonBounds kReplaceBounds{4U << 10U, 2};

Result<NodeId> parseAddress(const cJSON* root, const char* name) {
  const cJSON* member = jsonMember(root, name);
  if (!cJSON_IsString(member) || !isIpPort(member->valuestring)) {
    return jsonError(std::string("/") + name, member, "the \"ip:port\" of a store");
  }
  return NodeId{member->valuestring};
}

}  // namespace

Result<std::unique_ptr<OperatorCommand>> ReplaceStoreCommand::decode(const std::string& body) {
  const Result<JsonDocument> document = JsonDocument::parse(body, kReplaceBounds);
  if (!document) {
    return document.error();
  }
  const cJSON* root = document.value().root();
  if (!cJSON_IsObject(root)) {
    return jsonError("", root, "an object with old and new");
  }
  for (const cJSON* member = root->child; member != nullptr; member = member->next) {
    const std::string name = member->string;
    if (name != "old" && name != "new") {
      return jsonError("/" + name, member, "no such key; the keys here are old, new");
    }
  }
  Result<NodeId> oldId = parseAddress(root, "old");
  if (!oldId) {
    return oldId.error();
  }
  Result<NodeId> newId = parseAddress(root, "new");
  if (!newId) {
    return newId.error();
  }
  return std::unique_ptr<OperatorCommand>(
      std::make_unique<ReplaceStoreCommand>(std::move(oldId).value(), std::move(newId).value()));
}

Status ReplaceStoreCommand::check(const OperatorServices& services) const {
  const NodeId self = services.status().self;
  if (services.storeAdmission == nullptr || self != newId_) {
    return makeError(ErrorCode::InvalidArgument, "/new: found \"" + newId_.address +
                                                     "\"; allowed: the store that gets the call, "
                                                     "this is " +
                                                     self.address);
  }
  const StoreProgress progress = services.storeAdmission->progress();
  const bool complete = progress.total != 0 && progress.held == progress.total;
  if (!progress.isMember && !complete) {
    return makeError(ErrorCode::NotReady, newId_.address + " holds only " +
                                              std::to_string(progress.held) + " of " +
                                              std::to_string(progress.total) + " partitions");
  }
  return okStatus();
}

void ReplaceStoreCommand::execute(OperatorServices& services, CommandDone done) {
  if (const Status allowed = check(services); !allowed) {
    done(errorReply(allowed.error()));
    return;
  }
  const auto answer = [done = std::move(done)](const Result<MemberList>& members) {
    done(members ? jsonReply(membersJson(members.value())) : errorReply(members.error()));
  };
  services.storeAdmission->replace(oldId_, answer);
}

}  // namespace shedshed
