/// @file
/// Settings in force for the batch route of a tenant.
#pragma once

#include "register/configuration_register.h"
#include "settings/settings.h"

#include <string>

namespace shedshed {

/// The route under which tenants override settings of batches.
inline constexpr const char* kBatchRoute = "/v1/batches";

/// Follows the settings register. A value that cannot be parsed leaves the one before in force.
/// Core thread only.
class BatchSettings {
 public:
  /// @p configuration and this object live as long as each other's process.
  explicit BatchSettings(ConfigurationSource& configuration);
  BatchSettings(const BatchSettings&) = delete;
  BatchSettings& operator=(const BatchSettings&) = delete;

  EffectiveSettings effective(const std::string& tenant) const;

  /// Time after its submission at which all results of a batch of @p route are due; 0: none.
  Duration completionObjective(const std::string& route) const;

  /// Limit of the queued tokens of one tenant on @p route; 0 if there is none.
  std::uint64_t queuedTokenLimit(const std::string& route) const;
  /// True if any route limits the queued tokens.
  bool limitsQueuedTokens() const;

 private:
  SettingsTree tree_;
};

}  // namespace shedshed
