/// @file
/// Commands that show the slots, batches and calls of a node, and cancel batches.
#pragma once

#include "operators/operator_command.h"

namespace shedshed {

/// `GET /v1/slots`: the pools that this store owns, the holders of their slots, and
/// how the size of each pool is derived.
class SlotsCommand : public OperatorCommand {
 public:
  void execute(OperatorServices& services, CommandDone done) override;
};

/// `GET /v1/batches`: the batches of all tenants that this store owns.
class ListBatchesCommand : public OperatorCommand {
 public:
  void execute(OperatorServices& services, CommandDone done) override;
};

/// `GET /v1/batches/{id}`.
class ShowBatchCommand : public OperatorCommand {
 public:
  explicit ShowBatchCommand(std::string batchId) : batchId_(std::move(batchId)) {}
  void execute(OperatorServices& services, CommandDone done) override;

 private:
  std::string batchId_;
};

/// `POST /v1/batches/{id}/cancel`.
class CancelBatchCommand : public OperatorCommand {
 public:
  explicit CancelBatchCommand(std::string batchId) : batchId_(std::move(batchId)) {}
  void execute(OperatorServices& services, CommandDone done) override;
  bool changesState() const override { return true; }

 private:
  std::string batchId_;
};

/// `GET /v1/requests/{id}`: the decisions of this node about one call.
class ExplainCallCommand : public OperatorCommand {
 public:
  explicit ExplainCallCommand(std::string requestId) : requestId_(std::move(requestId)) {}
  void execute(OperatorServices& services, CommandDone done) override;

 private:
  std::string requestId_;
};

}  // namespace shedshed
