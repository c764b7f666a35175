/// @file
/// Commands that change which stores hold the partitions.
#pragma once

#include "operators/operator_command.h"

namespace shedshed {

/// `POST /v1/stores/replace`: admits the store that gets the call in place of another member.
///
/// The call goes to the new store itself, because only that store knows which partitions it holds.
/// It is admitted only while it holds all of them, since from then on it counts towards majorities.
class ReplaceStoreCommand : public OperatorCommand {
 public:
  ReplaceStoreCommand(NodeId oldId, NodeId newId)
      : oldId_(std::move(oldId)), newId_(std::move(newId)) {}

  /// Decodes the body; the error names path, value and what is allowed.
  static Result<std::unique_ptr<OperatorCommand>> decode(const std::string& body);

  void execute(OperatorServices& services, CommandDone done) override;
  bool changesState() const override { return true; }

 private:
  Status check(const OperatorServices& services) const;

  NodeId oldId_;
  NodeId newId_;
};

}  // namespace shedshed
