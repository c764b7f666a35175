#include "operators/register_commands.h"

#include "kernel/message.h"
#include "operators/status_json.h"
#include "settings/json.h"
#include "settings/merge_patch.h"
#include "settings/settings.h"

namespace shedshed {

namespace {

constexpr const char* kEmptySettings = "{}";

CommandReply changeReply(const Result<ChangeOutcome>& outcome) {
  if (!outcome) {
    return errorReply(outcome.error());
  }
  const JsonDocument document = JsonDocument::object();
  addUnsigned(document.root(), "version", outcome.value().version);
  cJSON_AddBoolToObject(document.root(), "repeated", outcome.value().repeated ? 1 : 0);
  return jsonReply(document.print(), outcome.value().version);
}

/// Returns a callback that answers with the outcome of a change.
std::function<void(Result<ChangeOutcome>)> changeCallback(CommandDone done) {
  return [done = std::move(done)](const Result<ChangeOutcome>& outcome) {
    done(changeReply(outcome));
  };
}

Status checkSettings(std::string_view value) {
  const Result<SettingsTree> tree = SettingsTree::parse(value);
  if (!tree) {
    return tree.error();
  }
  return okStatus();
}

}  // namespace

void GetRegisterCommand::execute(OperatorServices& services, CommandDone done) {
  const auto answer = [emptyValue = emptyValue_,
                       done = std::move(done)](const Result<RegisterValue>& read) {
    if (!read) {
      done(errorReply(read.error()));
      return;
    }
    const std::string& value = read.value().value;
    done(jsonReply(value.empty() ? emptyValue : value, read.value().version));
  };
  services.configuration.read(registerName_, answer);
}

void ExplainSettingsCommand::execute(OperatorServices& services, CommandDone done) {
  // `done` keeps this command alive.
  const auto answer = [this, done = std::move(done)](const Result<RegisterValue>& read) {
    done(read ? explain(read.value()) : errorReply(read.error()));
  };
  services.configuration.read(kSettingsRegister, answer);
}

CommandReply ExplainSettingsCommand::explain(const RegisterValue& settings) const {
  const Result<SettingsTree> tree =
      SettingsTree::parse(settings.value.empty() ? kEmptySettings : settings.value);
  if (!tree) {
    return errorReply(tree.error());
  }
  const JsonDocument document = JsonDocument::object();
  addUnsigned(document.root(), "version", settings.version);
  cJSON_AddStringToObject(document.root(), "tenant", tenant_.c_str());
  cJSON_AddStringToObject(document.root(), "route", route_.c_str());
  cJSON* values = cJSON_AddArrayToObject(document.root(), "values");
  for (const ExplainedSetting& setting : tree.value().explainEffective(tenant_, route_)) {
    cJSON* item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "name", setting.name.c_str());
    cJSON_AddRawToObject(item, "value", setting.value.c_str());
    cJSON_AddStringToObject(item, "level", std::string(settingLevelName(setting.level)).c_str());
    cJSON_AddItemToArray(values, item);
  }
  return jsonReply(document.print(), settings.version);
}

void GetMembersCommand::execute(OperatorServices& services, CommandDone done) {
  const auto answer = [done = std::move(done)](const Result<RegisterValue>& read) {
    if (!read) {
      done(errorReply(read.error()));
      return;
    }
    if (read.value().version == 0) {
      done(jsonReply(membersJson(MemberList{}), 0));
      return;
    }
    const Result<MemberList> members = decodeRecord<MemberList>(read.value().value);
    done(members
             ? jsonReply(membersJson(members.value()), read.value().version)
             : errorReply(makeError(ErrorCode::Internal, "members: " + members.error().detail)));
  };
  services.configuration.read(kMembersRegister, answer);
}

Status PutRegisterCommand::check(const OperatorServices& services) const {
  return registerName_ == kSettingsRegister ? checkSettings(value_) : services.checkEngines(value_);
}

void PutRegisterCommand::execute(OperatorServices& services, CommandDone done) {
  if (Status status = check(services); !status) {
    done(errorReply(status.error()));
    return;
  }
  ChangeRequest request;
  request.registerName = registerName_;
  request.baseVersion = headers_.baseVersion;
  request.idempotencyKey = headers_.orderId;
  request.value = value_;
  services.configuration.change(std::move(request), changeCallback(std::move(done)));
}

void PatchSettingsCommand::execute(OperatorServices& services, CommandDone done) {
  // `done` keeps this command alive.
  const auto onBaseRead = [this, &services,
                           done = std::move(done)](const Result<RegisterValue>& read) {
    if (!read) {
      done(errorReply(read.error()));
      return;
    }
    propose(services, read.value(), done);
  };
  services.configuration.read(kSettingsRegister, onBaseRead);
}

void PatchSettingsCommand::propose(OperatorServices& services, const RegisterValue& base,
                                   const CommandDone& done) {
  if (base.version < headers_.baseVersion) {
    // Not proposed: the register could reach that version in the meantime, with a value that the
    // patch was not applied to.
    done(errorReply(
        makeError(ErrorCode::VersionConflict,
                  "the newest version is " + std::to_string(base.version) + ", below If-Match")));
    return;
  }
  ChangeRequest request;
  request.registerName = kSettingsRegister;
  request.baseVersion = headers_.baseVersion;
  request.idempotencyKey = headers_.orderId;
  request.content = patch_;
  // Once the register is past the base version the value cannot take effect; the change can only
  // be answered from the ledger.
  request.value = base.value;
  if (base.version == headers_.baseVersion) {
    Result<std::string> merged = applyMergePatch(base.value, patch_);
    if (!merged) {
      done(errorReply(merged.error()));
      return;
    }
    if (Status status = checkSettings(merged.value()); !status) {
      done(errorReply(status.error()));
      return;
    }
    request.value = std::move(merged).value();
  }
  services.configuration.change(std::move(request), changeCallback(done));
}

}  // namespace shedshed
