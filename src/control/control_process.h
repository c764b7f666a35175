/// @file
/// Wiring of `shedshed-control`.
#pragma once

#include "assembly/control_cores.h"
#include "process/node_process.h"
#include "storage/log_structured_store.h"
#include "storage/posix_file_system.h"

#include <memory>

namespace shedshed {

/// Forms fleets for the operators' `init` command through the node's register service.
class RegisterFleetForming : public FleetForming {
 public:
  /// @p replicas stores hold each partition of the fleet.
  RegisterFleetForming(RegisterCore& registers, std::uint32_t replicas)
      : registers_(registers), replicas_(replicas) {}
  void formFleet(std::vector<NodeId> acceptors, std::vector<NodeId> stores,
                 std::function<void(Result<MemberList>)> done) override {
    registers_.formFleet(std::move(acceptors), std::move(stores), replicas_, std::move(done));
  }

 private:
  RegisterCore& registers_;
  const std::uint32_t replicas_;
};

/// Admits this store through the node's register service; progress is that of its partitions.
class RegisterStoreAdmission : public StoreAdmission {
 public:
  /// Keeps references; they must outlive it.
  RegisterStoreAdmission(const NodeId& self, RegisterCore& registers,
                         const PartitionCore& partitions)
      : self_(self), registers_(registers), partitions_(partitions) {}
  StoreProgress progress() const override;
  void replace(const NodeId& oldId, std::function<void(Result<MemberList>)> done) override {
    registers_.replaceMember(oldId, self_, std::move(done));
  }

 private:
  const NodeId self_;
  RegisterCore& registers_;
  const PartitionCore& partitions_;
};

/// Lists and cancels the batches of all tenants on this store.
class OwnerBatchAdmin : public BatchAdmin {
 public:
  /// Keeps a reference; it must outlive this object.
  explicit OwnerBatchAdmin(BatchOwnerCore& batches) : batches_(batches) {}
  std::vector<BatchStatus> list() const override { return batches_.list(); }
  void status(const std::string& batchId, std::function<void(Result<BatchStatus>)> done) override {
    batches_.statusForOperator(batchId, std::move(done));
  }
  void cancel(const std::string& batchId, std::function<void(Result<BatchStatus>)> done) override {
    batches_.cancelForOperator(batchId, std::move(done));
  }

 private:
  BatchOwnerCore& batches_;
};

/// Runs one control process from startup to shutdown.
class ControlProcess {
 public:
  /// @p logStore must be open; null on a register node without a disk. Arguments must outlive the
  /// object.
  ControlProcess(const ProcessSettings& settings, const ProcessKeys& keys,
                 LogStructuredStore* logStore);

  /// Runs until the platform asks to stop. Returns the exit code.
  int run();

 private:
  NodeStatus status();
  void drain();
  bool ownershipReleased();
  void addStoreServices();

  const ProcessSettings& settings_;
  NodeProcess process_;
  ControlCores cores_;
  RegisterFleetForming forming_;
  std::unique_ptr<RegisterStoreAdmission> admission_;  ///< Null on register nodes.
  std::unique_ptr<OwnerBatchAdmin> batches_;           ///< Null on register nodes.
  OperatorServices services_;
  bool draining_ = false;  ///< Core thread only.
};

}  // namespace shedshed
