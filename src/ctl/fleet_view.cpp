#include "ctl/fleet_view.h"

#include <algorithm>
#include <future>

namespace shedshed::ctl {

namespace {

FleetRequest statusRequest() {
  FleetRequest request;
  request.url = "/v1/status";
  return request;
}

std::string stringMember(const cJSON* object, const char* name) {
  const cJSON* member = jsonMember(object, name);
  return cJSON_IsString(member) ? member->valuestring : "";
}

std::uint64_t toUnsigned(const cJSON* node) {
  return cJSON_IsNumber(node) && node->valuedouble >= 0
             ? static_cast<std::uint64_t>(node->valuedouble)
             : 0;
}

NodeView parseListedNode(const cJSON* node) {
  NodeView view;
  view.id = stringMember(node, "id");
  view.role = stringMember(node, "role");
  view.state = stringMember(node, "state");
  view.zone = stringMember(node, "zone");
  view.operatorsAddress = stringMember(node, "operators_address");
  return view;
}

void parseStatus(NodeView& view, const std::string& body) {
  const Result<JsonDocument> document = JsonDocument::parse(body);
  if (!document) {
    view.failure = document.error().detail;
    return;
  }
  const cJSON* root = document.value().root();
  view.statusJson = body;
  view.ready = cJSON_IsTrue(jsonMember(root, "ready")) != 0;
  view.freshRemainingMs = toUnsigned(jsonMember(root, "fresh_remaining_ms"));
  if (const cJSON* store = jsonMember(root, "store"); cJSON_IsObject(store)) {
    view.store = StoreView{
        cJSON_IsTrue(jsonMember(store, "member")) != 0, toUnsigned(jsonMember(store, "held")),
        toUnsigned(jsonMember(store, "settled")), toUnsigned(jsonMember(store, "total"))};
  }
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, jsonMember(root, "versions")) {
    view.versions[item->string] = toUnsigned(item);
  }
  cJSON_ArrayForEach(item, jsonMember(root, "epochs")) {
    view.ownedPartitions += cJSON_IsTrue(jsonMember(item, "owner")) != 0 ? 1 : 0;
  }
}

void queryNode(FleetClient& fleet, NodeView& view) {
  if (view.operatorsAddress.empty()) {
    view.failure = "no operators' address";
    return;
  }
  const Result<FleetResponse> response = fleet.callNode(view.operatorsAddress, statusRequest());
  if (response) {
    parseStatus(view, response.value().body);
  } else {
    view.failure = response.error().detail;
  }
}

}  // namespace

Result<std::vector<NodeView>> readFleet(FleetClient& fleet) {
  const Result<FleetResponse> response = fleet.call(statusRequest());
  if (!response) {
    return response.error();
  }
  const Result<JsonDocument> document = JsonDocument::parse(response.value().body);
  if (!document) {
    return document.error();
  }
  std::vector<NodeView> views;
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, jsonMember(document.value().root(), "nodes")) {
    views.push_back(parseListedNode(item));
  }
  std::vector<std::future<void>> calls;
  for (NodeView& view : views) {
    if (!view.isDead()) {
      calls.push_back(std::async(std::launch::async, [&fleet, &view] { queryNode(fleet, view); }));
    }
  }
  for (std::future<void>& call : calls) {
    call.get();
  }
  std::sort(views.begin(), views.end(),
            [](const NodeView& left, const NodeView& right) { return left.id < right.id; });
  return views;
}

Result<std::vector<std::string>> memberStores(FleetClient& fleet) {
  FleetRequest request;
  request.url = "/v1/members";
  const Result<FleetResponse> response = fleet.call(request);
  if (!response) {
    return response.error();
  }
  const Result<JsonDocument> document = JsonDocument::parse(response.value().body);
  if (!document) {
    return document.error();
  }
  std::vector<std::string> ids;
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, jsonMember(document.value().root(), "stores")) {
    const Result<std::string> id = jsonString(item, "id", "stores");
    if (!id) {
      return id.error();
    }
    ids.push_back(id.value());
  }
  return ids;
}

}  // namespace shedshed::ctl
