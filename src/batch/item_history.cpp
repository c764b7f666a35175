#include "batch/item_history.h"

namespace shedshed {
namespace {

constexpr int kInternalServerError = 500;

std::string describe(const EngineAttempt& attempt) {
  const std::string result = attempt.status != 0 ? std::to_string(attempt.status) : attempt.error;
  if (attempt.connection == 0) {
    return attempt.engine + ":" + result;
  }
  return attempt.engine + "/" + std::to_string(attempt.connection) + "." +
         std::to_string(attempt.exchange) + ":" + result;
}

}  // namespace

void ItemHistory::add(const EngineAttempt& attempt) {
  requestId_ = attempt.requestId;
  failedAttempts_ += attempt.status == kInternalServerError ? 1 : 0;
  attempts_.push_back(attempt);
  if (attempts_.size() > kMaxAttempts) {
    attempts_.pop_front();
    ++dropped_;
  }
}

std::string ItemHistory::text() const {
  std::string text = dropped_ == 0 ? std::string() : std::to_string(dropped_) + " earlier";
  for (const EngineAttempt& attempt : attempts_) {
    text += text.empty() ? "" : " ";
    text += describe(attempt);
  }
  return text;
}

}  // namespace shedshed
