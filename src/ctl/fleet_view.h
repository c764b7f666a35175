/// @file
/// The status of every node, as reported by the node itself.
#pragma once

#include "ctl/fleet_client.h"
#include "settings/json.h"

#include <map>
#include <optional>

namespace shedshed::ctl {

/// Progress of a store's replicas of the partitions.
struct StoreView {
  bool isMember = false;           ///< The members list contains it with its current disk.
  std::uint64_t complete = 0;      ///< Partitions replicated completely.
  std::uint64_t acknowledged = 0;  ///< Of these, the ones whose owner counts it as a replica.
  std::uint64_t total = 0;
  bool isComplete() const { return total != 0 && complete == total; }
  bool isAcknowledged() const { return isMember && total != 0 && acknowledged == total; }
};

/// One node as the directory lists it, with its own status if it responded.
struct NodeView {
  std::string id;
  std::string role;
  std::string state;
  std::string zone;
  std::string operatorsAddress;
  std::string statusJson;  ///< Body of its `GET /v1/status`; empty without a response.
  std::string failure;     ///< Why there was no response.
  bool ready = false;
  std::optional<StoreView> store;  ///< Of a store that responded.
  std::uint64_t freshRemainingMs = 0;
  std::uint64_t ownedPartitions = 0;
  std::map<std::string, std::uint64_t> versions;  ///< In force, by register.

  bool responded() const { return !statusJson.empty(); }
  bool isDead() const { return state == "dead"; }
  std::uint64_t versionOf(const std::string& registerName) const {
    const auto found = versions.find(registerName);
    return found == versions.end() ? 0 : found->second;
  }
};

/// Reads the list of nodes from any node, then the status of all of them concurrently. The
/// nodes are sorted by id.
Result<std::vector<NodeView>> readFleet(FleetClient& fleet);

/// Returns the internal addresses of the members that are stores.
Result<std::vector<std::string>> memberStores(FleetClient& fleet);

}  // namespace shedshed::ctl
