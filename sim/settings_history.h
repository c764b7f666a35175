/// @file
/// The settings that simulated operators have proposed, by their text.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace shedshed::sim {

inline constexpr int kTenants = 4;
inline constexpr int kKeysPerTenant = 6;

/// Bearer key number @p index of tenant number @p tenant.
std::string callerKey(int tenant, int index);
std::string tenantName(int tenant);

/// Contents of one settings value. Each value contains the ID of the order that proposed it, so
/// that all values differ.
struct SettingsModel {
  std::string orderId;
  std::uint32_t burst = 12;
  std::set<std::string> withdrawnKeys;

  /// The JSON of the settings register.
  std::string text() const;
};

/// Remembers the model of each proposed text.
class SettingsHistory {
 public:
  /// Returns the text of @p model.
  std::string propose(const SettingsModel& model);
  /// Returns the model of @p text; the initial model for the empty text, nullptr for an unknown
  /// one.
  const SettingsModel* find(const std::string& text) const;

 private:
  SettingsModel initial_;
  std::map<std::string, SettingsModel> models_;
};

}  // namespace shedshed::sim
