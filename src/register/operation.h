/// @file
/// Operations of the register service, which run until they are decided or their deadline passes,
/// and the interface to their host.
#pragma once

#include "kernel/core.h"
#include "register/quorum.h"
#include "register/register_messages.h"
#include "register/register_options.h"

#include <cstdint>
#include <string>

namespace shedshed {

/// Identifies an operation of this process.
using OperationId = std::uint64_t;

/// Timers of one operation.
enum class OperationTimer : std::uint8_t {
  Deadline = 0,  ///< The operation fails.
  Round = 1,     ///< The pair of quorum rounds is abandoned.
  Resend = 2,    ///< Requests without a reply are resent.
  Delay = 3,     ///< End of a backoff, or of the wait for further promises.
};

/// Services of the node for its operations.
class OperationHost {
 public:
  virtual ~OperationHost() = default;
  virtual CoreContext& context() = 0;
  virtual const RegisterSafeguards& safeguards() const = 0;
  /// The newest member list that is known to be committed.
  virtual const KnownMembers& members() const = 0;
  /// Returns an unused ballot above all observed ones.
  virtual Ballot nextBallot() = 0;
  /// An acceptor has promised @p ballot.
  virtual void observeBallot(const Ballot& ballot) = 0;
  /// An acceptor holds a newer member list than @p version.
  virtual void membersOutdated(std::uint64_t version) = 0;
  /// @p value is proved to be committed.
  virtual void committed(const std::string& registerName, const RegisterValue& value) = 0;
  virtual void startTimer(OperationId operation, OperationTimer timer, Duration after) = 0;
  virtual void stopTimer(OperationId operation, OperationTimer timer) = 0;
};

/// One operation. Receives the replies to all requests of this node and ignores those that are not
/// its own. Nothing of it is durable: after a crash its caller repeats it.
class Operation {
 public:
  virtual ~Operation() = default;

  virtual void start() = 0;
  virtual void timerExpired(OperationTimer timer) = 0;
  virtual bool isFinished() const = 0;
  /// Calls back with the result. Only once, when finished.
  virtual void report() = 0;

  virtual void onPrepareReply(const NodeId& from, const PrepareReply& reply);
  virtual void onAcceptReply(const NodeId& from, const AcceptReply& reply);
  virtual void onIdentityReply(const NodeId& from, const IdentityReply& reply);
  virtual void onFormReply(const NodeId& from, const FormReply& reply);
  virtual void onMembersAcknowledged(const NodeId& from, const MembersAcknowledged& reply);
};

}  // namespace shedshed
