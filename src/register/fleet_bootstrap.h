/// @file
/// Forms the fleet automatically when all of its machines start for the first time.
#pragma once

#include "kernel/core.h"
#include "membership/directory.h"
#include "register/register_core.h"

#include <vector>

namespace shedshed {

/// Times of `FleetBootstrapCore`.
struct FleetBootstrapOptions {
  /// Interval of the checks of the directory.
  Duration checkInterval = std::chrono::milliseconds(200);
  /// Time for which the acceptors and the stores must be unchanged.
  Duration stabilityPeriod = std::chrono::milliseconds(1200);
  /// Time after which any node may form the fleet instead of the first seed, and with fewer
  /// acceptors than needed.
  Duration fallbackDelay = std::chrono::seconds(6);
  /// Disks that may be lost at once without loss of acknowledged data.
  std::uint32_t toleratedLosses = 1;
};

/// Maximum number of acceptors; further register nodes with a disk are standbys that replace a lost
/// acceptor.
inline constexpr std::size_t kMaxAcceptors = 9;

/// Returns the number of acceptors or replicas of which a majority remains after
/// @p toleratedLosses.
constexpr std::size_t membersNeeded(std::size_t toleratedLosses) {
  return 2 * toleratedLosses + 1;
}

/// Forms the fleet once, of the register nodes with a disk and all stores in the directory, and
/// only if the platform declared the first start of the entire fleet.
///
/// Acceptors: an acknowledged change survives the loss of `toleratedLosses` disks only if a
/// majority is larger than that, which takes `membersNeeded` acceptors. The seeds alone may be
/// fewer, so the other register nodes are acceptors too, up to `kMaxAcceptors`. If there are fewer
/// than needed, formation is delayed by `fallbackDelay` and then logs a warning.
///
/// Safety: `FleetFormation` writes nothing unless every machine of the list is empty or holds the
/// same list. A machine that lost its disk is not started with the first-start flag, and its new
/// store id makes another list, so no second history can begin.
class FleetBootstrapCore : public Core {
 public:
  /// Keeps references; they must outlive it. @p seeds are register nodes, the same on all nodes.
  FleetBootstrapCore(CoreContext& context, RegisterCore& registers, const Directory& directory,
                     std::vector<NodeId> seeds, FleetBootstrapOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

 private:
  bool isFormed() const { return registers_.knownMembers().version != 0; }
  bool mayForm();
  bool seedsAreLive(const NodeTable& nodes) const;
  /// Live register nodes with a disk, taken from the zones in turn, seeds first.
  std::vector<NodeId> chooseAcceptors(const NodeTable& nodes) const;
  /// The live stores, taken from the zones in turn, so that neighbours lie in different zones.
  std::vector<NodeId> chooseStores(const NodeTable& nodes) const;
  void form();

  CoreContext& context_;
  RegisterCore& registers_;
  const Directory& directory_;
  std::vector<NodeId> seeds_;
  const FleetBootstrapOptions options_;
  Time startedAt_{};
  Time unchangedSince_{};
  std::vector<NodeId> acceptors_;
  std::vector<NodeId> stores_;
  bool forming_ = false;
};

}  // namespace shedshed
