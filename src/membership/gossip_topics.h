/// @file
/// Small versioned values that each node publishes to all nodes of the fleet.
#pragma once

#include "kernel/node_id.h"

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>

namespace shedshed {

/// Version of one origin's values: rises with each change. Versions of different origins are not
/// comparable.
struct GossipVersion {
  std::uint64_t incarnation = 0;  ///< Incarnation of the origin.
  std::uint32_t sequence = 0;     ///< Number of the change within the incarnation, from 1.

  bool operator==(const GossipVersion& other) const {
    return incarnation == other.incarnation && sequence == other.sequence;
  }
  bool operator<(const GossipVersion& other) const {
    return incarnation != other.incarnation ? incarnation < other.incarnation
                                            : sequence < other.sequence;
  }
  MSGPACK_DEFINE(incarnation, sequence);
};

/// Publishes and receives values by topic. Core thread only.
class GossipTopics {
 public:
  /// Receives one value. Empty bytes mean that the origin no longer publishes the topic.
  using Listener =
      std::function<void(const NodeId& origin, const GossipVersion& version, const std::string&)>;

  virtual ~GossipTopics() = default;

  /// Replaces this node's value of @p topic and disseminates it to all live nodes at once; nodes
  /// that miss it pull it later. Values should stay below a kilobyte.
  virtual void publish(const std::string& topic, const std::string& bytes) = 0;

  /// Calls @p listener at once with each known value of @p topic, this node's own included, and
  /// then with each newer one. Values of one origin arrive in order of their versions; some may be
  /// skipped.
  virtual void subscribe(const std::string& topic, Listener listener) = 0;
};

}  // namespace shedshed
