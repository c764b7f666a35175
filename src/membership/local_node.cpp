#include "membership/local_node.h"

#include "membership/incarnation.h"

#include <utility>

namespace shedshed {

LocalNode::LocalNode(NodeInfo info, std::uint64_t runTag)
    : info_(std::move(info)), runTag_(runTag & kRunTagMask) {
  info_.state = NodeState::Alive;
  info_.incarnation = composeIncarnation(1, runTag_);
}

bool LocalNode::setDraining(bool draining) {
  const NodeState state = draining ? NodeState::Draining : NodeState::Alive;
  if (info_.state == state) {
    return false;
  }
  info_.state = state;
  return true;
}

bool LocalNode::isForeign(const GossipVersion& seen, const GossipVersion& published) const {
  const bool isNewer = seen.incarnation > info_.incarnation || published < seen;
  const bool isConcurrentRun =
      incarnationCount(seen.incarnation) == incarnationCount(info_.incarnation) &&
      seen.incarnation != info_.incarnation;
  return isNewer || isConcurrentRun;
}

void LocalNode::raiseIncarnationAbove(std::uint64_t incarnation) {
  info_.incarnation = composeIncarnation(incarnationCount(incarnation) + 1, runTag_);
}

}  // namespace shedshed
