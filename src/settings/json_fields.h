/// @file
/// Readers of optional members of a JSON object, with their ranges.
///
/// Each reader leaves the value as it is if the member is absent, and otherwise fails with an
/// `InvalidArgument` error that names path, value and range.
#pragma once

#include "kernel/error.h"
#include "kernel/time.h"
#include "settings/json.h"

#include <cstdint>
#include <initializer_list>
#include <string>

namespace shedshed {

/// Largest value that `readCount` accepts.
inline constexpr double kMaxCount = 1e9;

/// Reads a number from @p minimum to @p maximum.
Status readNumber(const cJSON* object, const char* name, const std::string& path, double minimum,
                  double maximum, double& value);

/// Reads a number from 0 to `kMaxCount`; a fraction is truncated.
template <class Count>
Status readCount(const cJSON* object, const char* name, const std::string& path, Count& count) {
  double number = static_cast<double>(count);
  Status status = readNumber(object, name, path, 0, kMaxCount, number);
  if (status) {
    count = static_cast<Count>(number);
  }
  return status;
}

/// Reads an integral number of tokens.
Status readTokens(const cJSON* object, const char* name, const std::string& path,
                  std::uint64_t& tokens);

/// Reads a duration given as a number of @p unit.
Status readDuration(const cJSON* object, const char* name, const std::string& path, Duration unit,
                    Duration& duration);

/// Reads a boolean.
Status readBool(const cJSON* object, const char* name, const std::string& path, bool& value);

/// Returns the first failure of several checks.
Status firstFailure(std::initializer_list<Status> checks);

}  // namespace shedshed
