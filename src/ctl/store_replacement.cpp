#include "ctl/store_replacement.h"

#include "settings/json.h"

#include <algorithm>

namespace shedshed::ctl {

namespace {

constexpr std::chrono::milliseconds kPollInterval(200);

/// True if the same request may succeed later.
bool isWorthRepeating(const Error& error) {
  const ExitCode code = exitCodeOf(error);
  return code == ExitCode::Unavailable || code == ExitCode::Unknown;
}

std::string share(std::uint64_t part, std::uint64_t total) {
  return std::to_string(part) + " of " + std::to_string(total) + " partitions";
}

}  // namespace

ExitCode StoreReplacement::run() {
  const std::chrono::seconds limit(context_.line.timeoutSeconds);
  while (true) {
    const Step step = advance();
    if (step == Step::Done) {
      return printDone();
    }
    if (step == Step::Failed) {
      return failure_;
    }
    if (context_.elapsed() >= limit) {
      const Error late = makeError(ErrorCode::DeadlineExceeded,
                                   "not done yet: " + reported_ + "; run the same command again");
      context_.output.fail(late);
      return ExitCode::NotInForceYet;
    }
    context_.pause(kPollInterval);
  }
}

StoreReplacement::Step StoreReplacement::advance() {
  const Result<std::vector<NodeView>> nodes = readFleet(context_.fleet);
  if (!nodes && !isWorthRepeating(nodes.error())) {
    failure_ = context_.output.fail(nodes.error());
    return Step::Failed;
  }
  if (!nodes) {
    report("no node answers: " + nodes.error().detail);
    return Step::Pending;
  }
  const auto joining = std::find_if(nodes.value().begin(), nodes.value().end(),
                                    [this](const NodeView& node) { return node.id == newId_; });
  if (joining == nodes.value().end() || !joining->responded()) {
    report("waiting for " + newId_ + " to join");
    return Step::Pending;
  }
  if (!joining->store) {
    failure_ = context_.output.fail(
        makeError(ErrorCode::InvalidArgument, newId_ + " is a " + joining->role + ", no store"));
    return Step::Failed;
  }
  const StoreView store = *joining->store;
  if (!admitted_ && !store.isMember && !store.isComplete()) {
    report(newId_ + " copies: holds " + share(store.complete, store.total));
    return Step::Pending;
  }
  if (!admitted_) {
    return admit(joining->operatorsAddress);
  }
  if (store.isAcknowledged()) {
    return Step::Done;
  }
  report(newId_ + " is admitted: " + share(store.acknowledged, store.total) +
         " are owned under the new members");
  return Step::Pending;
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
    return makeError(ErrorCode::NotFound,
                     oldId_ + " is no member that is a store; see shedctl members");
  }
  return okStatus();
}

StoreReplacement::Step StoreReplacement::admit(const std::string& operatorsAddress) {
  if (const Status members = checkMembers(); !members) {
    return failed(members.error());
  }
  report(newId_ + " holds all partitions: changing the members");
  const JsonDocument body = JsonDocument::object();
  cJSON_AddStringToObject(body.root(), "old", oldId_.c_str());
  cJSON_AddStringToObject(body.root(), "new", newId_.c_str());
  FleetRequest request;
  request.method = "POST";
  request.url = "/v1/stores/replace";
  request.body = body.print();
  request.changesState = true;
  const Result<FleetResponse> answer = context_.fleet.callNode(operatorsAddress, request);
  if (answer) {
    admitted_ = true;
    return Step::Pending;
  }
  return failed(answer.error());
}

StoreReplacement::Step StoreReplacement::failed(const Error& error) {
  if (!isWorthRepeating(error)) {
    failure_ = context_.output.fail(error);
    return Step::Failed;
  }
  report(error.detail);
  return Step::Pending;
}

void StoreReplacement::report(const std::string& progress) {
  if (progress != reported_) {
    context_.output.note(progress);
  }
  reported_ = progress;
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
