/// @file
/// A control process on one event loop: registers, the reader of the engine listing, and on store
/// machines the partitions.
#pragma once

#include "assembly/control_cores.h"
#include "operators/settings_versions.h"
#include "process/event_loop_node.h"
#include "register/fleet_bootstrap.h"
#include "register/membership_join_core.h"
#include "register/successor_core.h"
#include "storage/log_structured_store.h"

namespace shedshed {

/// Segment size and count of the log store on a disk of @p diskMegabytes; the defaults for 0.
LogStoreOptions logStoreOptionsFor(std::uint32_t diskMegabytes);

/// Runs one control process from startup to shutdown.
class StateProcess {
 public:
  /// Starts to listen on the event loop; called before the process serves.
  using Starter = std::function<Status()>;

  /// @p logStore is null on a register node without a disk: it serves operators and reads the
  /// listing, but is no acceptor. Arguments must outlive the object.
  StateProcess(const ProcessSettings& settings, const ProcessKeys& keys,
               LogStructuredStore* logStore);

  EventLoopNode& node() { return node_; }
  ControlCores& cores() { return *cores_; }
  SettingsVersions& settingsVersions() { return *settingsVersions_; }
  Retirements& retirements() { return *retirements_; }
  bool draining() const { return draining_; }

  /// Builds the cores. Called once, before `run`. @p listing reads the listing of engines on
  /// register nodes; it may use `node().loop` and must outlive the object.
  void assemble(ListingSource& listing);

  /// Runs until the platform asks to stop. Returns the exit code. @p start is called first.
  int run(const Starter& start);

 private:
  void assembleMembershipJoin();
  void drain();
  bool ownershipReleased();

  const ProcessSettings& settings_;
  const std::string storeId_;
  EventLoopNode node_;
  std::unique_ptr<ControlCores> cores_;
  std::unique_ptr<SettingsVersions> settingsVersions_;
  std::unique_ptr<FleetBootstrapCore> bootstrap_;
  std::unique_ptr<Retirements> retirements_;
  std::unique_ptr<ReplicaStatus> replicas_;         ///< Null on register nodes.
  std::unique_ptr<SuccessorCore> successor_;        ///< Null on register nodes.
  std::unique_ptr<JoinConditions> joinConditions_;  ///< Null without a disk.
  std::unique_ptr<MembershipJoinCore> join_;        ///< Null without a disk.
  bool draining_ = false;
};

}  // namespace shedshed
