/// @file
/// One HTTP call of an operator, independent of the HTTP library.
#pragma once

#include "kernel/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace shedshed {

struct OperatorCall {
  std::string method;
  std::string path;                          ///< Without the query.
  std::map<std::string, std::string> query;  ///< Decoded; the first of equal names.
  std::optional<std::string> authorization;
  std::optional<std::string> ifMatch;
  std::optional<std::string> orderId;
  std::string body;
};

/// Headers that each change must carry.
struct ChangeHeaders {
  std::uint64_t baseVersion = 0;
  std::string orderId;
};

/// Reads `If-Match` and `Order-Id`. Fails with `InvalidArgument` naming the header, its value and
/// what is allowed.
Result<ChangeHeaders> parseChangeHeaders(const OperatorCall& call);

}  // namespace shedshed
