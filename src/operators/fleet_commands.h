/// @file
/// Commands that concern the fleet as a whole or this node's view of it.
#pragma once

#include "operators/operator_command.h"

namespace shedshed {

/// `POST /v1/fleet/init`: forms the fleet, once.
class InitFleetCommand : public OperatorCommand {
 public:
  InitFleetCommand(std::vector<NodeId> acceptors, std::vector<NodeId> stores)
      : acceptors_(std::move(acceptors)), stores_(std::move(stores)) {}

  /// Decodes the body; the error names path, value and what is allowed.
  static Result<std::unique_ptr<OperatorCommand>> decode(const std::string& body);

  void execute(OperatorServices& services, CommandDone done) override;
  bool changesState() const override { return true; }

 private:
  std::vector<NodeId> acceptors_;
  std::vector<NodeId> stores_;
};

/// `GET /v1/status`.
class StatusCommand : public OperatorCommand {
 public:
  void execute(OperatorServices& services, CommandDone done) override;
};

/// `GET /readyz`: 200, or the typed reason.
class ReadyCommand : public OperatorCommand {
 public:
  void execute(OperatorServices& services, CommandDone done) override;
};

}  // namespace shedshed
