/// @file
/// JSON encoding of the members and of the status of a node.
#pragma once

#include "operators/operator_services.h"

#include <string>

namespace shedshed {

/// Returns `{"acceptors": [{"id", "store_id"}], "stores": [...]}`.
std::string membersJson(const MemberList& members);

/// Returns the body of `GET /v1/status`.
std::string statusJson(const NodeStatus& status);

const char* roleName(NodeRole role);
const char* nodeStateName(NodeState state);
const char* engineStateName(EngineState state);

}  // namespace shedshed
