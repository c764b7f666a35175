/// @file
/// Interfaces of the node that operators' commands use.
#pragma once

#include "batch/batch_client.h"
#include "engines/engine_table.h"
#include "membership/directory.h"
#include "register/configuration_register.h"
#include "slots/pool_explanation.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Forms the fleet: writes the first value of the members register. Core thread only.
class FleetForming {
 public:
  virtual ~FleetForming() = default;

  /// Forms a fleet whose registers are kept by @p acceptors and whose partitions by @p stores.
  /// Must only be called on an explicit request of an operator: machines that all lost their disks
  /// must not form a new fleet, with a second history, by themselves.
  ///
  /// @p done is called once with the members, or with `AlreadyExists` if the fleet was formed
  /// before, `NoQuorum` if a machine could not be reached and nothing was formed, or
  /// `OutcomeUnknown`.
  virtual void formFleet(std::vector<NodeId> acceptors, std::vector<NodeId> stores,
                         std::function<void(Result<MemberList>)> done) = 0;
};

/// One partition as this node sees it.
struct PartitionEpoch {
  std::string table;  ///< "slots" or "batches".
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;
  bool owner = false;  ///< True if this node owns the partition under that epoch.
};

/// Progress of a store in replicating the partitions.
struct StoreProgress {
  bool isMember = false;      ///< The members list names this store with its present disk.
  std::uint32_t held = 0;     ///< Partitions held in full.
  std::uint32_t settled = 0;  ///< Of these, the ones whose owner counts this store as a replica.
  std::uint32_t total = 0;
};

/// Admits this store as the replacement of another member. Core thread only.
class StoreAdmission {
 public:
  virtual ~StoreAdmission() = default;

  virtual StoreProgress progress() const = 0;

  /// Replaces @p oldId by this node in the members register. Safe to repeat after any failure.
  virtual void replace(const NodeId& oldId, std::function<void(Result<MemberList>)> done) = 0;
};

/// Lists, shows and cancels the batches of all tenants on this store. Core thread only.
class BatchAdmin {
 public:
  virtual ~BatchAdmin() = default;
  virtual std::vector<BatchStatus> list() const = 0;
  /// Fails with `NotFound`, or with `NotOwner` or `NotReady` if another store may know the batch.
  virtual void status(const std::string& batchId,
                      std::function<void(Result<BatchStatus>)> done) = 0;
  /// As `status`; safe to repeat.
  virtual void cancel(const std::string& batchId,
                      std::function<void(Result<BatchStatus>)> done) = 0;
};

/// This node's view of itself and of the fleet.
struct NodeStatus {
  NodeId self;
  NodeRole role = NodeRole::Data;
  std::string zone;
  Status ready = okStatus();  ///< The reason if the node is not ready.
  /// Remaining time for which the configuration is proved to be current; zero or less if it is
  /// not. A remaining time, since a deadline would be meaningless on another machine's clock.
  Duration freshRemaining{0};
  std::map<std::string, std::uint64_t> versionsInForce;  ///< By register name.
  std::shared_ptr<const NodeTable> nodes;
  std::vector<PartitionEpoch> epochs;
  std::optional<StoreProgress> store;          ///< On store nodes only.
  std::shared_ptr<const EngineTable> engines;  ///< Null on nodes that do not know the engines.
};

/// The services that commands use. All are called on the core thread, except `metrics`.
struct OperatorServices {
  ConfigurationRegister& configuration;
  /// Null on processes that cannot form a fleet; `init` is then refused with `NotReady`.
  FleetForming* fleetForming = nullptr;
  /// Checks an `engines` value; the error names path, value and what is allowed.
  std::function<Status(std::string_view)> checkEngines;
  std::function<NodeStatus()> status;
  /// Prometheus text. Called on an HTTP thread.
  std::function<std::string()> metrics;
  /// Null on nodes that are not stores.
  StoreAdmission* storeAdmission = nullptr;
  BatchAdmin* batches = nullptr;
  /// The pools of the partitions that this store owns. Empty function on nodes that are not stores.
  std::function<SlotExplanation()> slots;
  /// What was decided about one call, as JSON; nullopt if this node does not know it. Empty
  /// function on nodes that do not serve clients.
  std::function<std::optional<std::string>(const std::string& requestId)> explainCall;
};

/// Runs tasks on the core thread.
class OperatorExecutor {
 public:
  virtual ~OperatorExecutor() = default;

  /// Queues @p task. Any thread.
  virtual void post(std::function<void()> task) = 0;
};

}  // namespace shedshed
