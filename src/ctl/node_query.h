/// @file
/// Queries all nodes of a role, each of which holds a part of the result.
#pragma once

#include "ctl/fleet_client.h"
#include "ctl/fleet_view.h"

#include <string>
#include <vector>

namespace shedshed::ctl {

/// The response of one node.
struct NodeResponse {
  std::string node;
  std::string operatorsAddress;
  Result<FleetResponse> result;
};

/// Reads @p url from every node of @p role that is not dead. Fails if no node returns the list of
/// nodes.
Result<std::vector<NodeResponse>> queryNodes(FleetClient& fleet, const std::string& role,
                                             const std::string& url);

/// The ids of the nodes without a response, with the reason; "" if all responded. Nodes that do not
/// have the requested object (`NotFound`, `NotOwner`) count as having responded.
std::string missingResponses(const std::vector<NodeResponse>& responses);

/// True if @p code means that the node does not have the requested object.
bool isNotFoundOnNode(ErrorCode code);

}  // namespace shedshed::ctl
