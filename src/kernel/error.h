/// @file
/// Typed failures. Every fallible function returns `Result<T>`; no failure is a bare string.
#pragma once

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace shedshed {

/// Stable failure types. `errorTypeName` gives the spelling used in JSON and logs; names never
/// change once released.
enum class ErrorCode : std::uint16_t {
  Internal,              ///< A broken invariant inside this process.
  InvalidArgument,       ///< The request or value is malformed; `detail` names the path.
  TooLarge,              ///< A body, header, batch or tree is over its bound.
  Unauthenticated,       ///< Missing, unknown or withdrawn key.
  PermissionDenied,      ///< The key is known but may not do this.
  NotFound,              ///< No such object, proved by the owner.
  VersionConflict,       ///< The register moved past the version that the change builds on.
  IdempotencyKeyReused,  ///< The idempotency key was applied before with other content.
  OutcomeUnknown,        ///< The operation may or may not have taken effect.
  NotOwner,              ///< This node does not own the partition (or was fenced).
  StaleEpoch,            ///< The sender's epoch is below the promised one.
  NoQuorum,              ///< A majority did not answer in time.
  NotReady,              ///< Still recovering, or without a proved configuration.
  Draining,              ///< This node takes no new work.
  PoolFull,              ///< Every numbered slot of the pool is held.
  StoreUnavailable,      ///< The slot or batch store could not be reached.
  NoEngine,              ///< No ready engine serves the model.
  EngineFailed,          ///< The engine answered with an error, or not at all.
  ResponseMismatch,      ///< The engine's answer belongs to another request.
  ResponseTruncated,     ///< The engine's answer ended before its own framing said so.
  DeadlineExceeded,      ///< The time allowed ran out.
  Cancelled,             ///< The caller or an operator cancelled it.
  StorageFull,           ///< The ring of files has no room that can be freed.
  StorageCorrupt,        ///< A record in the middle of the ring fails its checksum.
  StorageFailed,         ///< The operating system refused a read, write or sync.
  AlreadyExists,         ///< The object exists with other content.
};

/// Whether the call that failed reached an engine.
enum class Ran : std::uint8_t { No, Unknown, Yes };

/// Returns the stable snake_case name of @p code.
std::string_view errorTypeName(ErrorCode code);

/// Returns "no", "unknown" or "yes".
std::string_view ranName(Ran ran);

/// A typed failure with a human-readable detail. `detail` is for people only; programs decide by
/// `code`.
struct Error {
  ErrorCode code = ErrorCode::Internal;
  std::string detail;
  Ran ran = Ran::No;
};

/// Builds an `Error`; usable directly as the return value of a `Result` function.
inline Error makeError(ErrorCode code, std::string detail = {}, Ran ran = Ran::No) {
  return Error{code, std::move(detail), ran};
}

template <class T>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using Status = Result<void>;

/// The successful `Status`.
inline Status okStatus() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace shedshed
