#include "ctl/node_query.h"

#include <future>

namespace shedshed::ctl {

Result<std::vector<NodeResponse>> queryNodes(FleetClient& fleet, const std::string& role,
                                             const std::string& url) {
  const Result<std::vector<NodeView>> nodes = readFleet(fleet);
  if (!nodes) {
    return nodes.error();
  }
  FleetRequest request;
  request.url = url;
  std::vector<std::future<NodeResponse>> calls;
  for (const NodeView& node : nodes.value()) {
    if (node.role != role || node.isDead() || node.operatorsAddress.empty()) {
      continue;
    }
    const std::string id = node.id;
    const std::string address = node.operatorsAddress;
    calls.push_back(std::async(std::launch::async, [&fleet, request, id, address] {
      return NodeResponse{id, address, fleet.callNode(address, request)};
    }));
  }
  std::vector<NodeResponse> responses;
  for (std::future<NodeResponse>& call : calls) {
    responses.push_back(call.get());
  }
  return responses;
}

bool isNotFoundOnNode(ErrorCode code) {
  return code == ErrorCode::NotFound || code == ErrorCode::NotOwner;
}

std::string missingResponses(const std::vector<NodeResponse>& responses) {
  std::string missing;
  for (const NodeResponse& response : responses) {
    if (!response.result && !isNotFoundOnNode(response.result.error().code)) {
      missing +=
          (missing.empty() ? "" : "; ") + response.node + ": " + response.result.error().detail;
    }
  }
  return missing;
}

}  // namespace shedshed::ctl
