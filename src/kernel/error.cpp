#include "kernel/error.h"

namespace shedshed {

std::string_view errorTypeName(ErrorCode code) {
  switch (code) {
  case ErrorCode::Internal:
    return "internal";
  case ErrorCode::InvalidArgument:
    return "invalid_argument";
  case ErrorCode::TooLarge:
    return "too_large";
  case ErrorCode::Unauthenticated:
    return "unauthenticated";
  case ErrorCode::PermissionDenied:
    return "permission_denied";
  case ErrorCode::NotFound:
    return "not_found";
  case ErrorCode::VersionConflict:
    return "version_conflict";
  case ErrorCode::IdempotencyKeyReused:
    return "order_id_reused";
  case ErrorCode::OutcomeUnknown:
    return "outcome_unknown";
  case ErrorCode::NotOwner:
    return "not_owner";
  case ErrorCode::StaleEpoch:
    return "stale_epoch";
  case ErrorCode::NoQuorum:
    return "no_quorum";
  case ErrorCode::NotReady:
    return "not_ready";
  case ErrorCode::Draining:
    return "draining";
  case ErrorCode::PoolFull:
    return "pool_full";
  case ErrorCode::StoreUnavailable:
    return "store_unavailable";
  case ErrorCode::NoEngine:
    return "no_engine";
  case ErrorCode::EngineFailed:
    return "engine_failed";
  case ErrorCode::ResponseMismatch:
    return "response_mismatch";
  case ErrorCode::ResponseTruncated:
    return "response_truncated";
  case ErrorCode::DeadlineExceeded:
    return "deadline_exceeded";
  case ErrorCode::Cancelled:
    return "cancelled";
  case ErrorCode::StorageFull:
    return "storage_full";
  case ErrorCode::StorageCorrupt:
    return "storage_corrupt";
  case ErrorCode::StorageFailed:
    return "storage_failed";
  case ErrorCode::AlreadyExists:
    return "already_exists";
  }
  return "internal";
}

std::string_view ranName(Ran ran) {
  switch (ran) {
  case Ran::No:
    return "no";
  case Ran::Unknown:
    return "unknown";
  case Ran::Yes:
    return "yes";
  }
  return "unknown";
}

}  // namespace shedshed
