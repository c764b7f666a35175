/// @file
/// Forms a fleet by itself when all of it starts for the first time.
#pragma once

#include "kernel/core.h"
#include "membership/directory.h"
#include "register/register_core.h"

#include <vector>

namespace shedshed {

/// Times of `FleetBootstrapCore`.
struct FleetBootstrapOptions {
  Duration checkInterval =
      std::chrono::milliseconds(200);  ///< Interval of the checks of the directory.
  Duration stabilityPeriod =
      std::chrono::milliseconds(1200);  ///< The set of stores was the same for this.
  /// A node that isn't the first of the seeds forms the fleet only after this time.
  Duration fallbackDelay = std::chrono::seconds(6);
  /// Disks that may be lost at once without the loss of anything acknowledged.
  std::uint32_t toleratedLosses = 1;
};

/// Most acceptors of the registers; further register nodes with a disk are standbys for a lost one.
inline constexpr std::size_t kMaxAcceptors = 9;

/// Acceptors or replicas of which a majority is left when @p toleratedLosses are gone.
constexpr std::size_t membersNeeded(std::size_t toleratedLosses) {
  return 2 * toleratedLosses + 1;
}

/// Forms the fleet of all register nodes with a disk and all stores that the directory shows, once,
/// and only if the platform said that this is the first start of the entire fleet.
///
/// Acceptors: an acknowledged change survives the loss of `toleratedLosses` disks only if a
/// majority is larger than that, which takes `membersNeeded` acceptors. The seeds alone may be
/// fewer, so the other register nodes are acceptors too, up to `kMaxAcceptors`. A fleet that has
/// fewer than needed waits for them for `fallbackDelay` and is then formed with a warning in the
/// log.
///
/// Safety: `FleetFormation` writes nothing unless every machine of the list is empty or holds the
/// same list. A machine that lost its disk does not get the flag of a first start, and its new
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
