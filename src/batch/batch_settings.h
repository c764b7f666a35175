/// @file
/// Effective settings of batches, by tenant and route.
#pragma once

#include "register/configuration_register.h"
#include "settings/settings.h"

#include <string>

namespace shedshed {

/// The route under which tenants override batch settings.
inline constexpr const char* kBatchRoute = "/v1/batches";

/// Subscribes to the settings register. A value that cannot be parsed is ignored, and the previous
/// one stays in effect. Core thread only.
class BatchSettings {
 public:
  /// The subscription is permanent: @p configuration and this object must live as long as the
  /// process.
  explicit BatchSettings(ConfigurationSource& configuration);
  BatchSettings(const BatchSettings&) = delete;
  BatchSettings& operator=(const BatchSettings&) = delete;

  EffectiveSettings effective(const std::string& tenant) const;

  /// Time after submission by which all results of a batch of @p route are due; 0 if there is none.
  Duration completionObjective(const std::string& route) const;

  /// Limit on the queued tokens of one tenant on @p route; 0 if there is none.
  std::uint64_t queuedTokenLimit(const std::string& route) const;
  /// True if any route limits the queued tokens.
  bool limitsQueuedTokens() const;

 private:
  SettingsTree tree_;
};

}  // namespace shedshed
