/// @file
/// The durable state of one register on an acceptor.
#pragma once

#include "register/applied_change_log.h"
#include "register/change_log_fetch.h"
#include "register/register_messages.h"
#include "register/synced_outbox.h"

#include <optional>
#include <string>

namespace shedshed {

/// The promised ballot, the accepted state and the applied-change log up to that state. Each change
/// is persisted as one atomic step, requested before the method returns; replies sent through the
/// same outbox leave only after it is synced.
class AcceptorRegister {
 public:
  explicit AcceptorRegister(std::string name) : name_(std::move(name)) {}

  /// Restores the register from @p records; fails with `StorageCorrupt` and the key.
  Status load(const RecordReader& records);

  const Ballot& promised() const { return promised_; }
  const AcceptedState& accepted() const { return accepted_; }
  const AppliedChangeLog& log() const { return log_; }

  /// Promises to accept nothing below @p ballot, which must not be below the promised one.
  void promise(const Ballot& ballot, SyncedOutbox& outbox);

  /// Accepts @p state, whose ballot must not be below the promised one.
  /// @return false if the log does not reach the preceding version and must be fetched first
  bool accept(const AcceptedState& state, SyncedOutbox& outbox);

  /// Accepts the first state of a new fleet. The register must be empty.
  void acceptInitial(const AcceptedState& state, SyncedOutbox& outbox);

  /// Starts or continues fetching the log up to @p upToVersion. @return the request to send
  ChangeLogRequest fetchLog(std::uint64_t upToVersion);

  /// Adds a fetched chunk. @return the next request to send, if any
  std::optional<ChangeLogRequest> addLogChunk(const ChangeLogChunk& chunk);

 private:
  bool extendLog(const AcceptedState& state);
  void persistAccepted(SyncedOutbox& outbox);

  const std::string name_;
  Ballot promised_;
  AcceptedState accepted_;
  AppliedChangeLog log_;
  std::optional<ChangeLogFetch> fetch_;  ///< Log fetch in progress; not durable.
};

}  // namespace shedshed
