/// @file
/// Common part of the operations on the member list: requests that are resent until all machines
/// have replied, a deadline, and a member list as the result.
#pragma once

#include "register/operation.h"

#include <functional>
#include <optional>

namespace shedshed {

using MembershipDone = std::function<void(Result<MemberList>)>;

/// Base of `FleetFormation` and `MemberReplacement`.
class MembershipOperation : public Operation {
 public:
  MembershipOperation(OperationHost& host, OperationId id, MembershipDone done)
      : host_(host), id_(id), done_(std::move(done)) {}

  void timerExpired(OperationTimer timer) override;
  bool isFinished() const override { return result_.has_value(); }
  void report() override { done_(std::move(*result_)); }

 protected:
  /// Sends the requests of the current step to the machines that have not replied.
  virtual void sendRequests() = 0;
  /// The error to report if the deadline passes in the current step.
  virtual Error deadlineError() const = 0;

  /// Starts the deadline of a step and sends its requests.
  void startRequests();
  void startResendTimer();
  void stopTimers();
  void finish(Result<MemberList> result);

  OperationHost& host_;
  const OperationId id_;

 private:
  MembershipDone done_;
  std::optional<Result<MemberList>> result_;
};

}  // namespace shedshed
