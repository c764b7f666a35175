/// @file
/// The subscribers of gossip topics on this node.
#pragma once

#include "membership/gossip_topics.h"

#include <map>
#include <string>
#include <vector>

namespace shedshed {

/// Delivers changed records to the listeners of their topic, in the order of subscription. Core
/// thread only.
class TopicSubscriptions {
 public:
  void add(const std::string& topic, GossipTopics::Listener listener);

  /// Calls each listener of @p topic; empty @p bytes mean that @p origin withdrew the topic.
  void notify(const NodeId& origin, const GossipVersion& version, const std::string& topic,
              const std::string& bytes) const;

 private:
  std::map<std::string, std::vector<GossipTopics::Listener>> listeners_;
};

}  // namespace shedshed
