#include "operators/http_errors.h"

namespace shedshed {

namespace {

/// Sent with 429 and 503.
constexpr unsigned kRetryAfterSeconds = 1;

}  // namespace

const char* httpReasonOf(unsigned status) {
  switch (status) {
  case 200:
    return "OK";
  case 201:
    return "Created";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 403:
    return "Forbidden";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 413:
    return "Payload Too Large";
  case 429:
    return "Too Many Requests";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Internal Server Error";
  }
}

std::optional<unsigned> retryAfterSecondsOf(ErrorCode code) {
  const unsigned status = httpStatusOf(code);
  if (status == 503 || status == 429) {
    return kRetryAfterSeconds;
  }
  return std::nullopt;
}

std::optional<ErrorCode> errorCodeOfName(const std::string& name) {
  const auto last = static_cast<unsigned>(ErrorCode::AlreadyExists);
  for (unsigned number = 0; number <= last; ++number) {
    const auto code = static_cast<ErrorCode>(number);
    if (errorTypeName(code) == name) {
      return code;
    }
  }
  return std::nullopt;
}

}  // namespace shedshed
