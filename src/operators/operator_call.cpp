#include "operators/operator_call.h"

#include <algorithm>

namespace shedshed {

namespace {

constexpr std::size_t kMaxOrderIdBytes = 128;
/// 18 digits always fit into 64 bits.
constexpr std::size_t kMaxVersionDigits = 18;

std::optional<std::uint64_t> parseEntityTag(const std::string& entityTag) {
  const bool quoted = entityTag.size() >= 3 && entityTag.front() == '"' && entityTag.back() == '"';
  if (!quoted) {
    return std::nullopt;
  }
  const std::string digits = entityTag.substr(1, entityTag.size() - 2);
  const bool valid = digits.size() <= kMaxVersionDigits &&
                     digits.find_first_not_of("0123456789") == std::string::npos;
  if (!valid) {
    return std::nullopt;
  }
  return std::stoull(digits);
}

bool isOrderId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxOrderIdBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

Error headerError(const char* name, const std::optional<std::string>& value,
                  const std::string& allowed) {
  const std::string found = value ? "'" + *value + "'" : "nothing";
  return makeError(ErrorCode::InvalidArgument,
                   std::string(name) + ": found " + found + "; allowed: " + allowed);
}

}  // namespace

Result<ChangeHeaders> parseChangeHeaders(const OperatorCall& call) {
  const std::optional<std::uint64_t> version =
      call.ifMatch ? parseEntityTag(*call.ifMatch) : std::nullopt;
  if (!version) {
    return headerError("If-Match", call.ifMatch,
                       "the version that the change builds on, in quotes, as ETag gave it");
  }
  if (!call.orderId || !isOrderId(*call.orderId)) {
    return headerError("Order-Id", call.orderId,
                       "1 to 128 printable characters without spaces; the same on every resend");
  }
  return ChangeHeaders{*version, *call.orderId};
}

}  // namespace shedshed
