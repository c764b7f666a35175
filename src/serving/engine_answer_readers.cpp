#include "serving/engine_answer_readers.h"

#include "serving/body_json.h"

namespace shedshed {
namespace {

constexpr int kOk = 200;

Error idMismatch(const char* where) {
  return makeError(ErrorCode::ResponseMismatch,
                   std::string("request id mismatch in the engine's response ") + where,
                   Ran::Unknown);
}

Status checkHeaderId(const EngineHttpHeader& header, const std::string& requestId) {
  if (header.requestId != requestId) {
    return idMismatch("header");
  }
  return okStatus();
}

/// Checks that @p text is a JSON object whose `id` is @p requestId.
Status checkBodyId(std::string_view text, const std::string& requestId) {
  const Result<JsonDocument> document = parseBodyObject(text);
  if (!document) {
    return makeError(ErrorCode::EngineFailed, "the engine's response is not a JSON object",
                     Ran::Unknown);
  }
  if (textMember(document.value().root(), "id") != requestId) {
    return idMismatch("body");
  }
  return okStatus();
}

}  // namespace

Status WholeAnswerReader::onHeader(const EngineHttpHeader& header) {
  status_ = header.status;
  return checkHeaderId(header, requestId_);
}

Status WholeAnswerReader::onBody(std::string_view bytes, boost::asio::yield_context) {
  if (body_.size() + bytes.size() > kMaxWholeAnswerBytes) {
    return makeError(ErrorCode::EngineFailed, "the engine's response exceeds the size limit",
                     Ran::Unknown);
  }
  body_.append(bytes);
  return okStatus();
}

Status WholeAnswerReader::finish() const {
  return status_ == kOk ? checkBodyId(body_, requestId_) : okStatus();
}

Status StreamAnswerReader::onHeader(const EngineHttpHeader& header) {
  const Status checked = checkHeaderId(header, requestId_);
  if (!checked) {
    return checked;
  }
  if (header.status != kOk) {
    refused_ = true;
    return refusal_.onHeader(header);
  }
  if (!header.eventStream) {
    return makeError(ErrorCode::EngineFailed,
                     "the engine's response to a streaming request is not an event stream",
                     Ran::Unknown);
  }
  return okStatus();
}

Status StreamAnswerReader::onBody(std::string_view bytes, boost::asio::yield_context yield) {
  if (refused_) {
    return refusal_.onBody(bytes, yield);
  }
  std::vector<std::string> events;
  const Status fed = parser_.feed(bytes, events);
  if (!fed) {
    return makeError(ErrorCode::EngineFailed, fed.error().detail, Ran::Unknown);
  }
  std::vector<std::string> checked;
  Status status = okStatus();
  for (std::string& event : events) {
    status = checkEvent(event);
    if (!status) {
      break;
    }
    if (!endEventReceived_) {
      checked.push_back(std::move(event));
    }
  }
  if (!checked.empty()) {
    forwarded_ = true;
    const Status sent = sink_.onEvents(checked, yield);
    if (!sent) {
      return sent;
    }
  }
  return status;
}

Status StreamAnswerReader::checkEvent(const std::string& event) {
  if (endEventReceived_) {
    return makeError(ErrorCode::EngineFailed, "event received after the end of the stream",
                     Ran::Unknown);
  }
  if (event == kEndOfStream) {
    endEventReceived_ = true;
    return okStatus();
  }
  return checkBodyId(event, requestId_);
}

Status StreamAnswerReader::finish(boost::asio::yield_context yield) {
  if (refused_) {
    return refusal_.finish();
  }
  if (!endEventReceived_ || parser_.hasPartialEvent()) {
    return makeError(ErrorCode::ResponseTruncated, "the stream ended without its end event",
                     Ran::Unknown);
  }
  forwarded_ = true;
  return sink_.onEvents({kEndOfStream}, yield);
}

}  // namespace shedshed
