/// @file
/// Table of the keys of a settings level: name, unit, range and where the value is stored. Parsing,
/// inheritance and explanation all use this table, so that each key is defined in one place.
#pragma once

#include "settings/settings.h"

#include <functional>

namespace shedshed {

/// A key that may be set at every level of the settings tree.
class SettingField {
 public:
  using Overrides = SettingsTree::Overrides;

  /// All keys, in the order of docs/API.md.
  static const std::vector<SettingField>& all();

  /// Returns the field named @p name, or nullptr.
  static const SettingField* find(std::string_view name);

  const std::string& name() const { return name_; }

  /// Checks @p number and returns the number to store; nullopt if it is not allowed.
  std::optional<double> acceptNumber(double number) const;

  /// Returns the number of the enumerator named @p name; nullopt if the field has none of that
  /// name.
  std::optional<double> acceptName(std::string_view name) const;

  /// Describes the allowed values, for errors.
  std::string allowed() const;

  /// Stores @p number in @p overrides.
  void set(Overrides& overrides, double number) const { set_(overrides, number); }

  /// True if @p overrides contains this key.
  bool isSet(const Overrides& overrides) const { return isSet_(overrides); }

  /// Copies the key from @p overrides to @p effective if it is set.
  void apply(const Overrides& overrides, EffectiveSettings& effective) const {
    apply_(overrides, effective);
  }

  /// Returns the JSON text of the value in @p effective.
  std::string valueText(const EffectiveSettings& effective) const;

 private:
  enum class Kind : std::uint8_t { Number, Integer, RefusalStatus, FailMode };

  SettingField(std::string name, Kind kind, double minimum, double maximum)
      : name_(std::move(name)), kind_(kind), minimum_(minimum), maximum_(maximum) {}

  /// Builds a field stored as a plain number or enumeration.
  template <class T>
  static SettingField plain(std::string name, Kind kind, double minimum, double maximum,
                            std::optional<T> Overrides::*overriding, T EffectiveSettings::*value);

  /// Builds a field stored as a duration; the JSON number counts @p unit.
  static SettingField duration(std::string name, Kind kind, double minimum, double maximum,
                               Duration unit, std::optional<Duration> Overrides::*overriding,
                               Duration EffectiveSettings::*value);

  static std::vector<SettingField> build();

  std::string name_;
  Kind kind_;
  double minimum_;
  double maximum_;
  std::function<void(Overrides&, double)> set_;
  std::function<bool(const Overrides&)> isSet_;
  std::function<void(const Overrides&, EffectiveSettings&)> apply_;
  std::function<double(const EffectiveSettings&)> number_;
};

}  // namespace shedshed
