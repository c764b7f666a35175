#include "membership/gossip_forwarder.h"

#include "membership/random_selection.h"

#include <utility>

namespace shedshed {

namespace {

/// Delay of the first forward after an idle time: the minimum duration of a timer.
constexpr Duration kNoDelay{1};

}  // namespace

GossipForwarder::GossipForwarder(CoreContext& context, const DirectoryOptions& options,
                                 TimerId timer)
    : context_(context), options_(options), timer_(timer) {}

void GossipForwarder::enqueue(const GossipDelta& delta) {
  pending_.push_back(delta);
  if (!timerRunning_) {
    timerRunning_ = true;
    context_.startTimer(timer_, kNoDelay);
  }
}

void GossipForwarder::flush(const std::vector<NodeId>& peers) {
  timerRunning_ = !pending_.empty();
  if (pending_.empty()) {
    return;
  }
  // Changes that arrive during the delay share the next message.
  context_.startTimer(timer_, options_.forwardDelay);
  std::vector<NodeId> targets = peers;
  keepRandom(targets, options_.forwardFanout, context_.random());
  const Message message = encodeMessage(DeltaBatch{std::move(pending_), true});
  pending_.clear();
  for (const NodeId& target : targets) {
    context_.send(target, message);
  }
}

}  // namespace shedshed
