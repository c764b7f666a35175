#include "ctl/store_replacement.h"

#include "settings/json.h"

#include <algorithm>

namespace shedshed::ctl {

namespace {

constexpr std::chrono::milliseconds kPollInterval(200);

/// True if the same request may succeed later.
bool isRetryable(const Error& error) {
  const ExitCode code = exitCodeOf(error);
  return code == ExitCode::Unavailable || code == ExitCode::Unknown;
}

std::string partitionProgress(std::uint64_t count, std::uint64_t total) {
  return std::to_string(count) + " of " + std::to_string(total) + " partitions";
}

}  // namespace

ExitCode StoreReplacement::run() {
  const std::chrono::seconds timeout(context_.line.timeoutSeconds);
  while (true) {
    const StepResult step = advance();
    if (step == StepResult::Done) {
      return printDone();
    }
    if (step == StepResult::Failed) {
      return failureCode_;
    }
    if (context_.elapsed() >= timeout) {
      const Error late = makeError(ErrorCode::DeadlineExceeded, "not done yet: " + lastProgress_ +
                                                                    "; run the same command again");
      context_.output.fail(late);
      return ExitCode::NotInForceYet;
    }
    context_.pause(kPollInterval);
  }
}

StoreReplacement::StepResult StoreReplacement::advance() {
  const Result<std::vector<NodeView>> nodes = readFleet(context_.fleet);
  if (!nodes && !isRetryable(nodes.error())) {
    failureCode_ = context_.output.fail(nodes.error());
    return StepResult::Failed;
  }
  if (!nodes) {
    reportProgress("no node responded: " + nodes.error().detail);
    return StepResult::Pending;
  }
  const auto joining = std::find_if(nodes.value().begin(), nodes.value().end(),
                                    [this](const NodeView& node) { return node.id == newId_; });
  if (joining == nodes.value().end() || !joining->responded()) {
    reportProgress("waiting for " + newId_ + " to join");
    return StepResult::Pending;
  }
  if (!joining->store) {
    failureCode_ = context_.output.fail(makeError(
        ErrorCode::InvalidArgument, newId_ + " has role " + joining->role + "; expected a store"));
    return StepResult::Failed;
  }
  const StoreView store = *joining->store;
  if (!admitted_ && !store.isMember && !store.isComplete()) {
    reportProgress(newId_ + " is copying: holds " + partitionProgress(store.complete, store.total));
    return StepResult::Pending;
  }
  if (!admitted_) {
    return admitStore(joining->operatorsAddress);
  }
  if (store.isAcknowledged()) {
    return StepResult::Done;
  }
  reportProgress(newId_ + " is a member: " + partitionProgress(store.acknowledged, store.total) +
                 " recovered with the new members");
  return StepResult::Pending;
}

Status StoreReplacement::checkMembers() {
  const Result<std::vector<std::string>> stores = memberStores(context_.fleet);
  if (!stores) {
    return stores.error();
  }
  const bool known =
      std::any_of(stores.value().begin(), stores.value().end(),
                  [this](const std::string& store) { return store == oldId_ || store == newId_; });
  if (!known) {
    return makeError(ErrorCode::NotFound, oldId_ + " is not a member store; see shedctl members");
  }
  return okStatus();
}

StoreReplacement::StepResult StoreReplacement::admitStore(const std::string& operatorsAddress) {
  if (const Status members = checkMembers(); !members) {
    return handleFailure(members.error());
  }
  reportProgress(newId_ + " holds all partitions: changing the members list");
  const JsonDocument body = JsonDocument::object();
  cJSON_AddStringToObject(body.root(), "old", oldId_.c_str());
  cJSON_AddStringToObject(body.root(), "new", newId_.c_str());
  FleetRequest request;
  request.method = "POST";
  request.url = "/v1/stores/replace";
  request.body = body.print();
  request.changesState = true;
  const Result<FleetResponse> response = context_.fleet.callNode(operatorsAddress, request);
  if (response) {
    admitted_ = true;
    return StepResult::Pending;
  }
  return handleFailure(response.error());
}

StoreReplacement::StepResult StoreReplacement::handleFailure(const Error& error) {
  if (!isRetryable(error)) {
    failureCode_ = context_.output.fail(error);
    return StepResult::Failed;
  }
  reportProgress(error.detail);
  return StepResult::Pending;
}

void StoreReplacement::reportProgress(const std::string& progress) {
  if (progress != lastProgress_) {
    context_.output.note(progress);
  }
  lastProgress_ = progress;
}

ExitCode StoreReplacement::printDone() {
  const std::uint64_t waited = static_cast<std::uint64_t>(context_.elapsed().count());
  if (!context_.output.isJson()) {
    context_.output.line(newId_ + " holds all registers and partitions in place of " + oldId_ +
                         ", after " + std::to_string(waited) + " ms");
    return ExitCode::Ok;
  }
  const JsonDocument document = JsonDocument::object();
  cJSON_AddStringToObject(document.root(), "old", oldId_.c_str());
  cJSON_AddStringToObject(document.root(), "new", newId_.c_str());
  cJSON_AddBoolToObject(document.root(), "done", 1);
  addUnsigned(document.root(), "waited_ms", waited);
  context_.output.line(document.print());
  return ExitCode::Ok;
}

}  // namespace shedshed::ctl
