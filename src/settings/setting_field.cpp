#include "settings/setting_field.h"

#include "settings/json.h"

#include <cmath>

namespace shedshed {

namespace {

constexpr double kTooManyRequests = 429;
constexpr double kServiceUnavailable = 503;
constexpr std::string_view kFailOpenName = "open";
constexpr std::string_view kFailClosedName = "closed";

std::string numberText(double number) {
  return JsonDocument(cJSON_CreateNumber(number)).print();
}

}  // namespace

template <class T>
SettingField SettingField::plain(std::string name, Kind kind, double minimum, double maximum,
                                 std::optional<T> Overrides::*overriding,
                                 T EffectiveSettings::*value) {
  SettingField field(std::move(name), kind, minimum, maximum);
  field.set_ = [overriding](Overrides& overrides, double number) {
    overrides.*overriding = static_cast<T>(number);
  };
  field.isSet_ = [overriding](const Overrides& overrides) {
    return (overrides.*overriding).has_value();
  };
  field.apply_ = [overriding, value](const Overrides& overrides, EffectiveSettings& effective) {
    effective.*value = (overrides.*overriding).value_or(effective.*value);
  };
  field.number_ = [value](const EffectiveSettings& effective) {
    return static_cast<double>(effective.*value);
  };
  return field;
}

SettingField SettingField::duration(std::string name, Kind kind, double minimum, double maximum,
                                    Duration unit, std::optional<Duration> Overrides::*overriding,
                                    Duration EffectiveSettings::*value) {
  SettingField field(std::move(name), kind, minimum, maximum);
  const double ticksPerUnit = static_cast<double>(unit.count());
  field.set_ = [overriding, ticksPerUnit](Overrides& overrides, double number) {
    overrides.*overriding = Duration(std::llround(number * ticksPerUnit));
  };
  field.isSet_ = [overriding](const Overrides& overrides) {
    return (overrides.*overriding).has_value();
  };
  field.apply_ = [overriding, value](const Overrides& overrides, EffectiveSettings& effective) {
    effective.*value = (overrides.*overriding).value_or(effective.*value);
  };
  field.number_ = [value, ticksPerUnit](const EffectiveSettings& effective) {
    return static_cast<double>((effective.*value).count()) / ticksPerUnit;
  };
  return field;
}

std::vector<SettingField> SettingField::build() {
  using E = EffectiveSettings;
  using O = Overrides;
  const Duration second = std::chrono::seconds(1);
  const Duration millisecond = std::chrono::milliseconds(1);
  return {
      plain("per_s", Kind::Number, 0, 100000, &O::perSecond, &E::perSecond),
      plain("burst", Kind::Integer, 0, 100000, &O::burst, &E::burst),
      duration("live_slot_ttl_s", Kind::Number, 1, 3600, second, &O::liveSlotTtl, &E::liveSlotTtl),
      duration("item_slot_ttl_s", Kind::Number, 1, 3600, second, &O::itemSlotTtl, &E::itemSlotTtl),
      duration("poll_ms", Kind::Integer, 10, 10000, millisecond, &O::poll, &E::poll),
      duration("block_ms", Kind::Integer, 0, 60000, millisecond, &O::block, &E::block),
      plain("fail_mode", Kind::FailMode, 0, 1, &O::failMode, &E::failMode),
      plain("refusal_status", Kind::RefusalStatus, kTooManyRequests, kServiceUnavailable,
            &O::refusalStatus, &E::refusalStatus),
      duration("retry_after_s", Kind::Integer, 1, 3600, second, &O::retryAfter, &E::retryAfter),
      duration("requeue_delay_s", Kind::Number, 0.1, 3600, second, &O::requeueDelay,
               &E::requeueDelay),
      plain("routing_load_bound", Kind::Number, 1, 100, &O::routingLoadBound, &E::routingLoadBound),
      plain("batch_reserve", Kind::Number, 0, 1, &O::batchReserve, &E::batchReserve),
      plain("max_body_bytes", Kind::Integer, 1024, 64 << 20, &O::maxBodyBytes, &E::maxBodyBytes),
      plain("max_batch_items", Kind::Integer, 1, 1000000, &O::maxBatchItems, &E::maxBatchItems),
  };
}

const std::vector<SettingField>& SettingField::all() {
  static const std::vector<SettingField> fields = build();
  return fields;
}

const SettingField* SettingField::find(std::string_view name) {
  for (const SettingField& field : all()) {
    if (field.name_ == name) {
      return &field;
    }
  }
  return nullptr;
}

std::optional<double> SettingField::acceptNumber(double number) const {
  if (kind_ == Kind::FailMode) {
    return std::nullopt;
  }
  if (kind_ == Kind::RefusalStatus && number != kTooManyRequests && number != kServiceUnavailable) {
    return std::nullopt;
  }
  if (kind_ == Kind::Integer && std::floor(number) != number) {
    return std::nullopt;
  }
  if (number < minimum_ || number > maximum_) {
    return std::nullopt;
  }
  return number;
}

std::optional<double> SettingField::acceptName(std::string_view name) const {
  if (kind_ != Kind::FailMode) {
    return std::nullopt;
  }
  if (name == kFailOpenName) {
    return static_cast<double>(FailMode::Open);
  }
  if (name == kFailClosedName) {
    return static_cast<double>(FailMode::Closed);
  }
  return std::nullopt;
}

std::string SettingField::allowed() const {
  const std::string range = "from " + numberText(minimum_) + " to " + numberText(maximum_);
  switch (kind_) {
  case Kind::Number:
    return "a number " + range;
  case Kind::Integer:
    return "a whole number " + range;
  case Kind::RefusalStatus:
    return "429 or 503";
  case Kind::FailMode:
    return "\"open\" or \"closed\"";
  }
  return {};
}

std::string SettingField::valueText(const EffectiveSettings& effective) const {
  if (kind_ == Kind::FailMode) {
    const bool open = effective.failMode == FailMode::Open;
    return "\"" + std::string(open ? kFailOpenName : kFailClosedName) + "\"";
  }
  return numberText(number_(effective));
}

}  // namespace shedshed
