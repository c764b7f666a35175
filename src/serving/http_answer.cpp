#include "serving/http_answer.h"

namespace shedshed {

HttpAnswer errorAnswer(const Error& error, const std::string& requestId) {
  HttpAnswer answer;
  answer.status = httpStatusOf(error.code);
  answer.body = errorJson(error, requestId);
  if (answer.status >= 500 || answer.status == 429) {
    answer.retryAfter = kDefaultRetryAfter;
  }
  return answer;
}

}  // namespace shedshed
