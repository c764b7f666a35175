/// @file
/// The outcome of one attempt to run a call on one engine.
#pragma once

#include "gateway/upstream_connection.h"
#include "kernel/error.h"

#include <string>

namespace shedshed {

/// How an attempt ended.
enum class AttemptOutcome {
  Rejected,  ///< The engine has not run the call and never will.
  Failed,    ///< The call may have run; there is no complete response.
  Answered,  ///< `head` and `body` hold the complete response.
  Streamed,  ///< The complete stream went to the sink.
};

/// One attempt. Fields apply to the outcomes that they name.
struct UpstreamAttempt {
  AttemptOutcome outcome = AttemptOutcome::Rejected;
  Error error;                   ///< Of `Rejected` and `Failed`.
  bool noEngineLeft = false;     ///< Of `Rejected`: every ready engine was attempted or excluded.
  ResponseHead head;             ///< Of `Answered`.
  std::string body;              ///< Of `Answered`.
  bool responseStarted = false;  ///< Of `Failed`: bytes of a stream went to the sink.
  std::string lastEventId;       ///< Of `Failed`: id of the last complete event sent to the sink.
  std::string engine;            ///< Id of the engine; empty if none was ready.
  std::uint64_t connection = 0;  ///< Number of the connection; 0 if none was open.
  std::uint32_t exchange = 0;    ///< Number of the exchange on the connection, from 1.
};

/// Returns an attempt that no engine ran: nothing was sent, or the engine reported "not run".
inline UpstreamAttempt rejectedAttempt(Error error) {
  UpstreamAttempt attempt;
  attempt.outcome = AttemptOutcome::Rejected;
  attempt.error = std::move(error);
  attempt.error.ran = Ran::No;
  return attempt;
}

/// Returns a failed attempt that the engine may have run.
inline UpstreamAttempt failedAttempt(Error error) {
  UpstreamAttempt attempt;
  attempt.outcome = AttemptOutcome::Failed;
  attempt.error = std::move(error);
  attempt.error.ran = Ran::Unknown;
  return attempt;
}

}  // namespace shedshed
