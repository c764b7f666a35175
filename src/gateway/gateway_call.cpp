#include "gateway/gateway_call.h"

#include "settings/json.h"

namespace shedshed {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kInternal = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// `Retry-After` if the tenant is over its rate or all its slots are in use.
constexpr Duration kPoolFullRetryAfter = std::chrono::milliseconds(400);
/// `Retry-After` if no engine is available or the configuration's freshness lease has expired.
constexpr Duration kUnavailableRetryAfter = std::chrono::milliseconds(150);

/// Status for a call that may have run; these statuses do not imply "not run".
int statusOfFailure(ErrorCode code) {
  return code == ErrorCode::DeadlineExceeded ? kGatewayTimeout : kBadGateway;
}

/// Status for a call that did not run.
int statusOfRefusal(ErrorCode code) {
  switch (code) {
  case ErrorCode::InvalidArgument:
    return kBadRequest;
  case ErrorCode::Unauthenticated:
    return kUnauthorized;
  case ErrorCode::PermissionDenied:
    return kForbidden;
  case ErrorCode::NotFound:
    return kNotFound;
  case ErrorCode::AlreadyExists:
    return kConflict;
  case ErrorCode::TooLarge:
    return kTooLarge;
  case ErrorCode::PoolFull:
    return kTooManyRequests;
  case ErrorCode::Internal:
    return kInternal;
  default:
    return kUnavailable;
  }
}

/// Human-readable `message` of the error body that is sent to the caller.
std::string_view userMessage(const Error& error) {
  if (error.ran != Ran::No) {
    return "The answer was lost on its way; the request may have been worked on.";
  }
  switch (error.code) {
  case ErrorCode::PoolFull:
    return "Your account is at its limit; the request was not worked on. Please come back later.";
  case ErrorCode::NoEngine:
    return "No model server is free; the request was not worked on. Please come back later.";
  case ErrorCode::Unauthenticated:
    return "The key is missing, unknown or withdrawn.";
  case ErrorCode::NotFound:
    return "There is nothing at this address.";
  case ErrorCode::InvalidArgument:
    return "The request is malformed.";
  case ErrorCode::TooLarge:
    return "The request is too large.";
  case ErrorCode::DeadlineExceeded:
    return "The time ran out before the request could be worked on.";
  default:
    return "The service is not ready; the request was not worked on. Please come back later.";
  }
}

}  // namespace

GatewayAnswer gatewayErrorAnswer(const Error& error, const std::string& requestId) {
  GatewayAnswer answer;
  answer.status = error.ran == Ran::No ? statusOfRefusal(error.code) : statusOfFailure(error.code);
  const JsonDocument document = JsonDocument::object();
  cJSON* member = cJSON_AddObjectToObject(document.root(), "error");
  cJSON_AddStringToObject(member, "type", std::string(errorTypeName(error.code)).c_str());
  cJSON_AddStringToObject(member, "message", std::string(userMessage(error)).c_str());
  cJSON_AddStringToObject(member, "ran", std::string(ranName(error.ran)).c_str());
  cJSON_AddStringToObject(member, "request_id", requestId.c_str());
  answer.body = document.print();
  answer.headers.push_back({"Content-Type", "application/json"});
  if (answer.status == kTooManyRequests) {
    answer.retryAfter = kPoolFullRetryAfter;
  } else if (answer.status == kUnavailable) {
    answer.retryAfter = kUnavailableRetryAfter;
  }
  return answer;
}

}  // namespace shedshed
