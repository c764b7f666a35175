/// @file
/// Commands that read or change a register: settings, engines, members.
#pragma once

#include "operators/operator_call.h"
#include "operators/operator_command.h"

namespace shedshed {

/// `GET /v1/settings`, `GET /v1/engines`: the value read with a quorum.
class GetRegisterCommand : public OperatorCommand {
 public:
  /// @p emptyValue is returned while the register was never written.
  GetRegisterCommand(std::string registerName, std::string emptyValue)
      : registerName_(std::move(registerName)), emptyValue_(std::move(emptyValue)) {}
  void execute(OperatorServices& services, CommandDone done) override;

 private:
  std::string registerName_;
  std::string emptyValue_;
};

/// `GET /v1/settings?effective=TENANT&route=ROUTE`: values in force and their levels.
class ExplainSettingsCommand : public OperatorCommand {
 public:
  ExplainSettingsCommand(std::string tenant, std::string route)
      : tenant_(std::move(tenant)), route_(std::move(route)) {}
  void execute(OperatorServices& services, CommandDone done) override;

 private:
  CommandReply explain(const RegisterValue& settings) const;

  std::string tenant_;
  std::string route_;
};

/// `GET /v1/members`.
class GetMembersCommand : public OperatorCommand {
 public:
  void execute(OperatorServices& services, CommandDone done) override;
};

/// `PUT /v1/settings`, `PUT /v1/engines`: replaces the value, validated before it is proposed.
class PutRegisterCommand : public OperatorCommand {
 public:
  PutRegisterCommand(std::string registerName, ChangeHeaders headers, std::string value)
      : registerName_(std::move(registerName)), headers_(std::move(headers)),
        value_(std::move(value)) {}
  void execute(OperatorServices& services, CommandDone done) override;
  bool changesState() const override { return true; }

 private:
  Status check(const OperatorServices& services) const;

  std::string registerName_;
  ChangeHeaders headers_;
  std::string value_;
};

/// `PATCH /v1/settings`: a merge patch onto the version in `If-Match`.
///
/// A resend of a patch that took effect must get the original answer, but by then the base value is
/// gone and the merged value cannot be computed again. The patch itself is therefore the content of
/// the change (`ChangeRequest::content`), and a resend is proposed on the original base version:
/// the register finds the order id in its ledger or refuses the change, since versions only rise.
class PatchSettingsCommand : public OperatorCommand {
 public:
  PatchSettingsCommand(ChangeHeaders headers, std::string patch)
      : headers_(std::move(headers)), patch_(std::move(patch)) {}
  void execute(OperatorServices& services, CommandDone done) override;
  bool changesState() const override { return true; }

 private:
  void propose(OperatorServices& services, const RegisterValue& base, const CommandDone& done);

  ChangeHeaders headers_;
  std::string patch_;
};

}  // namespace shedshed
