/// @file
/// Members that are to be emptied and taken away, and how far that is.
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
  std::string name;        ///< Name that the operator knows the machine by.
  NodeId successor;        ///< Replaces it; empty while none has offered itself.
  bool completed = false;  ///< The successor is caught up and counts towards all majorities.
  MSGPACK_DEFINE(node, name, successor, completed);
};

/// Value of the register `kRetirementsRegister`.
struct RetirementList {
  std::vector<Retirement> entries;
  MSGPACK_DEFINE(entries);
};

/// Begins and follows retirements. The state is a register, so that any node serves
/// the requests and a repeated request finds the first one. Core thread only.
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

  /// Tells whether the retirement of @p name is completed. Fails with `NotFound` or `NoQuorum`.
  void isCompleted(const std::string& name, std::function<void(Result<bool>)> done);

  /// The retirements in force on this node that are not completed.
  std::vector<Retirement> pending() const;

  /// The nodes of all retirements, completed ones included.
  std::vector<NodeId> nodes() const;

  /// Changes the entry of @p node if it still is as this node knows it.
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
