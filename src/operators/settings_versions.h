/// @file
/// Changes of the settings under versions that the operator names.
#pragma once

#include "register/configuration_register.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace shedshed {

/// One order of an operator.
struct SettingsUpdate {
  enum class Kind : std::uint8_t { Replace, ChangeItems };
  Kind kind = Kind::Replace;
  std::uint64_t baseVersion = 0;  ///< The named version that it builds on; 0 for the first.
  std::string body;  ///< The whole settings, or a change as `applyItemChange` takes it.
};

/// What became of an order.
struct SettingsUpdateOutcome {
  std::uint64_t version = 0;  ///< The named version in force after it, if it is known.
  bool repeated = false;      ///< The order had taken effect before this call.
};

/// Takes orders at any node. Core thread only.
///
/// Safety of a resend: the register's order id is the hash of the order itself, so whichever node
/// gets the same bytes on the same base finds the order in the ledger and acknowledges it again;
/// no other order has that id. The named base is compared with the value that the proposal builds
/// on: the register's own compare-and-swap then makes the two comparisons one step.
class SettingsVersions {
 public:
  using Done = std::function<void(Result<SettingsUpdateOutcome>)>;

  /// Keeps a reference to @p configuration, which must outlive it.
  explicit SettingsVersions(ConfigurationRegister& configuration) : configuration_(configuration) {}

  /// Calls @p done once: with the outcome once a majority has synced it, or with
  /// - `VersionConflict`: another version is in force; the order did not and will not take effect;
  /// - `InvalidArgument` or `TooLarge`: the order is not valid on its base; nothing changed;
  /// - `NoQuorum` or `OutcomeUnknown`: send the same order again, to any node.
  void submit(SettingsUpdate order, Done done);

  /// Reads the newest settings with a majority; empty if none were ever taken.
  void read(std::function<void(Result<std::string>)> done);

 private:
  struct Attempt {
    SettingsUpdate order;
    Done done;
    std::uint32_t attemptCount = 0;
  };
  void propose(const std::shared_ptr<Attempt>& attempt);
  void proposeOn(const std::shared_ptr<Attempt>& attempt, const RegisterValue& current);
  void change(const std::shared_ptr<Attempt>& attempt, ChangeRequest request, bool onBase,
              Error refusal);

  ConfigurationRegister& configuration_;
};

}  // namespace shedshed
