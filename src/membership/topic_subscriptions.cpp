#include "membership/topic_subscriptions.h"

#include <utility>

namespace shedshed {

void TopicSubscriptions::add(const std::string& topic, GossipTopics::Listener listener) {
  listeners_[topic].push_back(std::move(listener));
}

void TopicSubscriptions::notify(const NodeId& origin, const GossipVersion& version,
                                const std::string& topic, const std::string& bytes) const {
  const auto found = listeners_.find(topic);
  if (found == listeners_.end()) {
    return;
  }
  for (const GossipTopics::Listener& listener : found->second) {
    listener(origin, version, bytes);
  }
}

}  // namespace shedshed
