#include "register/retirements.h"

#include "kernel/message.h"
#include "register/member_lists.h"

#include <algorithm>

namespace shedshed {
namespace {

RetirementList decodeList(const RegisterValue& value) {
  Result<RetirementList> list = decodeRecord<RetirementList>(value.value);
  return list ? std::move(list.value()) : RetirementList{};
}

std::vector<Retirement>::iterator findByName(RetirementList& list, const std::string& name) {
  return std::find_if(list.entries.begin(), list.entries.end(),
                      [&](const Retirement& entry) { return entry.name == name; });
}

}  // namespace

Retirements::Retirements(ConfigurationRegister& registers, ConfigurationSource& configuration,
                         const Directory& directory)
    : registers_(registers), directory_(directory) {
  configuration.subscribe(kRetirementsRegister, [this](const RegisterValue& value) {
    value_ = value;
    list_ = decodeList(value);
  });
  configuration.subscribe(kMembersRegister, [this](const RegisterValue& value) {
    const Result<MemberList> members = decodeRecord<MemberList>(value.value);
    if (members) {
      stores_ = members.value().stores;
    }
  });
}

std::vector<Retirement> Retirements::pending() const {
  std::vector<Retirement> pending;
  std::copy_if(list_.entries.begin(), list_.entries.end(), std::back_inserter(pending),
               [](const Retirement& entry) { return !entry.completed; });
  return pending;
}

std::vector<NodeId> Retirements::nodes() const {
  std::vector<NodeId> nodes;
  for (const Retirement& entry : list_.entries) {
    nodes.push_back(entry.node);
  }
  return nodes;
}

// A machine that is not a member counts towards no majority: its retirement completes at once.
Status Retirements::addEntry(const std::string& name, RetirementList& list) const {
  const std::shared_ptr<const NodeTable> table = directory_.table();
  const NodeInfo* target = nullptr;
  std::size_t standbys = 0;
  for (const NodeInfo& node : table->nodes) {
    if (node.role != NodeRole::Store) {
      continue;
    }
    if (node.name == name) {
      target = &node;
    }
    const bool isRetiring =
        std::any_of(list.entries.begin(), list.entries.end(),
                    [&](const Retirement& entry) { return entry.node == node.id; });
    const bool isStandby =
        node.state != NodeState::Dead && !isListed(stores_, node.id) && !isRetiring;
    standbys += isStandby && node.name != name ? 1 : 0;
  }
  if (target == nullptr) {
    return makeError(ErrorCode::NotFound, "no store is named " + name);
  }
  const bool member = isListed(stores_, target->id);
  const auto pendingCount = static_cast<std::size_t>(
      std::count_if(list.entries.begin(), list.entries.end(),
                    [](const Retirement& entry) { return !entry.completed; }));
  if (member && standbys <= pendingCount) {
    return makeError(ErrorCode::StoreUnavailable, "no other store can replace it");
  }
  list.entries.push_back({target->id, name, {}, !member});
  return okStatus();
}

void Retirements::change(const RegisterValue& base, const RetirementList& list,
                         const std::string& action, std::function<void(Status)> done) {
  ChangeRequest request;
  request.registerName = kRetirementsRegister;
  request.baseVersion = base.version;
  request.idempotencyKey = action + " on " + std::to_string(base.version);
  request.value = encodeRecord(list);
  registers_.change(std::move(request), [done](const Result<ChangeOutcome>& outcome) {
    done(outcome ? okStatus() : Status(outcome.error()));
  });
}

void Retirements::begin(const std::string& name, std::function<void(Status)> done) {
  registers_.read(kRetirementsRegister, [this, name, done](const Result<RegisterValue>& read) {
    if (!read) {
      done(read.error());
      return;
    }
    RetirementList list = decodeList(read.value());
    if (findByName(list, name) != list.entries.end()) {
      done(okStatus());
      return;
    }
    if (const Status added = addEntry(name, list); !added) {
      done(added);
      return;
    }
    change(read.value(), list, "retire " + name, done);
  });
}

void Retirements::isCompleted(const std::string& name, std::function<void(Result<bool>)> done) {
  registers_.read(kRetirementsRegister, [name, done](const Result<RegisterValue>& read) {
    if (!read) {
      done(read.error());
      return;
    }
    RetirementList list = decodeList(read.value());
    const auto found = findByName(list, name);
    if (found == list.entries.end()) {
      done(makeError(ErrorCode::NotFound, "no retirement of " + name));
      return;
    }
    done(found->completed);
  });
}

void Retirements::update(const Retirement& entry) {
  RetirementList list = list_;
  const auto found = findByName(list, entry.name);
  if (found == list.entries.end()) {
    return;
  }
  *found = entry;
  change(value_, list, "update " + entry.name + " " + entry.successor.address,
         [](const Status&) {});
}

}  // namespace shedshed
