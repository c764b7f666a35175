/// @file
/// Which data nodes check the health of an engine.
#pragma once

#include "kernel/node_id.h"
#include "membership/directory.h"

#include <cstddef>
#include <string>
#include <vector>

namespace shedshed {

/// Returns the data nodes that may check engines: those that neither drain nor are confirmed dead,
/// or all live ones if every node drains.
std::vector<NodeId> eligibleCheckers(const NodeTable& nodes);

/// Returns how many of @p candidates come before @p self in the rendezvous order of the engine, at
/// most @p limit. The first nodes in this order check the engine; as every node computes the order
/// from its own directory, no message is needed to agree, and a change of one node moves the
/// engines of that node only.
std::size_t checkerRank(const std::string& engineId, const NodeId& self,
                        const std::vector<NodeId>& candidates, std::size_t limit);

}  // namespace shedshed
