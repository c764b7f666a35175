/// @file
/// Changes of the settings whose versions are assigned by the operator (named versions).
#pragma once

#include "register/configuration_register.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace shedshed {

/// One change of the settings that an operator requests.
struct SettingsUpdate {
  enum class Kind : std::uint8_t { Replace, ChangeItems };
  Kind kind = Kind::Replace;
  std::uint64_t baseVersion = 0;  ///< The named version that it applies to; 0 for the first.
  std::string body;  ///< The complete settings, or a change in the form of `applyItemChange`.
};

/// Outcome of a settings update.
struct SettingsUpdateOutcome {
  std::uint64_t version = 0;  ///< The named version in force after it, if it is known.
  bool repeated = false;      ///< The update had taken effect before this call.
};

/// Accepts updates at any node. Core thread only.
///
/// Resends are safe: the idempotency key is made of the hash of the update itself, so any node that
/// gets the same bytes on the same base finds the update in the register's ledger and acknowledges
/// it again; no other update has that key. The named base version is compared with the value that
/// the proposal builds on; the register's compare-and-swap then makes the two comparisons atomic.
class SettingsVersions {
 public:
  using Done = std::function<void(Result<SettingsUpdateOutcome>)>;

  /// Keeps a reference to @p configuration, which must outlive it.
  explicit SettingsVersions(ConfigurationRegister& configuration) : configuration_(configuration) {}

  /// Calls @p done once: with the outcome once a majority has persisted it, or with
  /// - `VersionConflict`: another version is in force; the update did not and will not take effect;
  /// - `InvalidArgument` or `TooLarge`: the update is not valid on its base; nothing changed;
  /// - `NoQuorum` or `OutcomeUnknown`: send the same update again, to any node.
  void submit(SettingsUpdate update, Done done);

  /// Reads the newest settings with a majority; empty if none were ever accepted.
  void read(std::function<void(Result<std::string>)> done);

 private:
  struct Attempt {
    SettingsUpdate update;
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
