#include "register/membership_operation.h"

namespace shedshed {

void MembershipOperation::startRequests() {
  host_.startTimer(id_, OperationTimer::Deadline, kOperationDeadline);
  sendRequests();
}

void MembershipOperation::startResendTimer() {
  host_.startTimer(id_, OperationTimer::Resend, kResendInterval);
}

void MembershipOperation::timerExpired(OperationTimer timer) {
  if (isFinished()) {
    return;
  }
  if (timer == OperationTimer::Resend) {
    sendRequests();
  } else if (timer == OperationTimer::Deadline) {
    finish(deadlineError());
  }
}

void MembershipOperation::stopTimers() {
  host_.stopTimer(id_, OperationTimer::Deadline);
  host_.stopTimer(id_, OperationTimer::Resend);
}

void MembershipOperation::finish(Result<MemberList> result) {
  stopTimers();
  result_ = std::move(result);
}

}  // namespace shedshed
