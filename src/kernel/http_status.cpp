#include "kernel/http_status.h"

namespace shedshed {
namespace {

constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kEndOfStatuses = 600;

}  // namespace

bool isFinalHttpStatus(unsigned status) {
  return status >= kFirstSuccess && status < kEndOfStatuses;
}

bool isHttpSuccess(unsigned status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

unsigned httpStatusOf(ErrorCode code) {
  switch (code) {
  case ErrorCode::InvalidArgument:
    return 400;
  case ErrorCode::Unauthenticated:
    return 401;
  case ErrorCode::PermissionDenied:
    return 403;
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::VersionConflict:
  case ErrorCode::IdempotencyKeyReused:
  case ErrorCode::AlreadyExists:
  case ErrorCode::Cancelled:
    return 409;
  case ErrorCode::TooLarge:
    return 413;
  case ErrorCode::PoolFull:
    return 429;
  case ErrorCode::OutcomeUnknown:
  case ErrorCode::EngineFailed:
  case ErrorCode::ResponseMismatch:
  case ErrorCode::ResponseTruncated:
    return 502;
  case ErrorCode::NotReady:
  case ErrorCode::Draining:
  case ErrorCode::NoEngine:
  case ErrorCode::NoQuorum:
  case ErrorCode::NotOwner:
  case ErrorCode::StaleEpoch:
  case ErrorCode::StoreUnavailable:
  case ErrorCode::StorageFull:
    return 503;
  case ErrorCode::DeadlineExceeded:
    return 504;
  case ErrorCode::Internal:
  case ErrorCode::StorageCorrupt:
  case ErrorCode::StorageFailed:
    return 500;
  }
  return 500;
}

}  // namespace shedshed
