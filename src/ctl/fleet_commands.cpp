#include "ctl/fleet_commands.h"

#include "settings/json.h"

#include <algorithm>

namespace shedshed::ctl {

namespace {

void addAddresses(cJSON* object, const char* name, const std::vector<std::string>& addresses) {
  cJSON* array = cJSON_AddArrayToObject(object, name);
  for (const std::string& address : addresses) {
    cJSON_AddItemToArray(array, cJSON_CreateString(address.c_str()));
  }
}

/// Returns the sorted ids of the members below @p name.
std::vector<std::string> memberIds(const cJSON* root, const char* name) {
  std::vector<std::string> ids;
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, jsonMember(root, name)) {
    const Result<std::string> id = jsonString(item, "id", name);
    ids.push_back(id ? id.value() : std::string());
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::vector<std::string> sorted(std::vector<std::string> texts) {
  std::sort(texts.begin(), texts.end());
  return texts;
}

void addMemberRows(TextTable& table, const char* role, const cJSON* root, const char* name) {
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, jsonMember(root, name)) {
    const Result<std::string> id = jsonString(item, "id", name);
    const Result<std::string> storeId = jsonString(item, "store_id", name);
    if (id && storeId) {
      table.add({role, id.value(), storeId.value()});
    }
  }
}

ExitCode printMembers(CtlContext& context, const std::string& body) {
  if (context.output.isJson()) {
    context.output.line(body);
    return ExitCode::Ok;
  }
  const Result<JsonDocument> document = JsonDocument::parse(body);
  if (!document) {
    return context.output.fail(document.error());
  }
  TextTable table({"PART", "NODE", "STORE_ID"});
  addMemberRows(table, "acceptor", document.value().root(), "acceptors");
  addMemberRows(table, "store", document.value().root(), "stores");
  context.output.table(table);
  return ExitCode::Ok;
}

FleetRequest membersRequest() {
  FleetRequest request;
  request.url = "/v1/members";
  return request;
}

}  // namespace

ExitCode InitCommand::run(CtlContext& context) {
  const CommandLine& line = context.line;
  if (line.acceptors.empty() || line.stores.empty()) {
    return context.output.usage("init needs --acceptors and --stores: internal addresses of all "
                                "control processes, and of those on store machines");
  }
  const JsonDocument body = JsonDocument::object();
  addAddresses(body.root(), "acceptors", line.acceptors);
  addAddresses(body.root(), "stores", line.stores);
  FleetRequest request;
  request.method = "POST";
  request.url = "/v1/fleet/init";
  request.body = body.print();
  request.changesState = true;
  const Result<FleetResponse> response = context.fleet.call(request);
  if (response) {
    return printMembers(context, response.value().body);
  }
  if (response.error().code == ErrorCode::AlreadyExists && hasRequestedMembers(context)) {
    context.output.note("the fleet was already formed with these members");
    return MembersCommand().run(context);
  }
  return context.output.fail(response.error());
}

bool InitCommand::hasRequestedMembers(CtlContext& context) {
  const Result<FleetResponse> response = context.fleet.call(membersRequest());
  if (!response) {
    return false;
  }
  const Result<JsonDocument> document = JsonDocument::parse(response.value().body);
  if (!document) {
    return false;
  }
  const cJSON* root = document.value().root();
  return memberIds(root, "acceptors") == sorted(context.line.acceptors) &&
         memberIds(root, "stores") == sorted(context.line.stores);
}

ExitCode MembersCommand::run(CtlContext& context) {
  const Result<FleetResponse> response = context.fleet.call(membersRequest());
  if (!response) {
    return context.output.fail(response.error());
  }
  return printMembers(context, response.value().body);
}

}  // namespace shedshed::ctl
