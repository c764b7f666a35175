/// @file
/// Retirement of members: requests and progress.
#pragma once

#include "membership/directory.h"
#include "register/configuration_register.h"

#include <functional>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace shedshed {

/// One member that is to leave the fleet.
struct Retirement {
  NodeId node;
  std::string name;        ///< Name of the machine for operators.
  NodeId successor;        ///< Replaces the member; empty until a standby offers itself.
  bool completed = false;  ///< The successor is caught up and counts towards all majorities.
  MSGPACK_DEFINE(node, name, successor, completed);
};

/// Value of the register `kRetirementsRegister`.
struct RetirementList {
  std::vector<Retirement> entries;
  MSGPACK_DEFINE(entries);
};

/// Starts and tracks retirements. The state is a register, so that any node can serve the requests
/// and a repeated request finds the first one. Core thread only.
class Retirements {
 public:
  /// Keeps references; they must outlive it.
  Retirements(ConfigurationRegister& registers, ConfigurationSource& configuration,
              const Directory& directory);

  /// Begins the retirement of the store named @p name. @p done is called once: with success, also
  /// if it had begun before, or with
  /// - `NotFound`: no store has that name;
  /// - `StoreUnavailable`: no standby could replace it, too few members would remain;
  /// - `NoQuorum`, `OutcomeUnknown`, `VersionConflict`: repeat the same request.
  void begin(const std::string& name, std::function<void(Status)> done);

  /// Reports whether the retirement of @p name is completed. Fails with `NotFound` or `NoQuorum`.
  void isCompleted(const std::string& name, std::function<void(Result<bool>)> done);

  /// The retirements known to this node that are not completed.
  std::vector<Retirement> pending() const;

  /// The nodes of all retirements, completed ones included.
  std::vector<NodeId> nodes() const;

  /// Proposes the changed @p entry; it has no effect if the list has changed in the meantime.
  void update(const Retirement& entry);

 private:
  void change(const RegisterValue& base, const RetirementList& list, const std::string& action,
              std::function<void(Status)> done);
  Status addEntry(const std::string& name, RetirementList& list) const;

  ConfigurationRegister& registers_;
  const Directory& directory_;
  RegisterValue value_;
  RetirementList list_;
  std::vector<MemberList::Member> stores_;
};

}  // namespace shedshed
