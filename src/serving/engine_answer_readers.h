/// @file
/// Checks an engine's answer while it arrives: it must belong to the request and be whole.
#pragma once

#include "serving/engine_connection.h"
#include "serving/sse_parser.h"

#include <string>
#include <vector>

namespace shedshed {

/// Takes the checked events of a streamed answer.
class EventSink {
 public:
  virtual ~EventSink() = default;

  /// Sends @p events on to the caller, in order. An error means that the caller cannot be reached.
  virtual Status onEvents(const std::vector<std::string>& events,
                          boost::asio::yield_context yield) = 0;
};

/// Data of the event that ends a stream.
inline constexpr const char* kEndOfStream = "[DONE]";

/// Largest whole answer, in bytes.
inline constexpr std::size_t kMaxWholeAnswerBytes = 32U << 20U;

/// Collects a whole answer.
class WholeAnswerReader : public EngineAnswerReader {
 public:
  explicit WholeAnswerReader(std::string requestId) : requestId_(std::move(requestId)) {}

  Status onHeader(const EngineHttpHeader& header) override;
  Status onBody(std::string_view bytes, boost::asio::yield_context yield) override;

  /// Checks the finished answer: a 200 must carry the request's id in its body.
  Status finish() const;

  int status() const { return status_; }
  std::string takeBody() { return std::move(body_); }

 private:
  std::string requestId_;
  int status_ = 0;
  std::string body_;
};

/// Hands a streamed answer on, event by event. The end event is held back until `finish`, so that
/// a caller sees it only if the engine's framing ended too.
class StreamAnswerReader : public EngineAnswerReader {
 public:
  StreamAnswerReader(std::string requestId, EventSink& sink)
      : requestId_(std::move(requestId)), refusal_(requestId_), sink_(sink) {}

  Status onHeader(const EngineHttpHeader& header) override;
  Status onBody(std::string_view bytes, boost::asio::yield_context yield) override;

  /// Checks that the stream ended with its end event, and hands that on. For an answer that is not
  /// a stream, see `refused`.
  Status finish(boost::asio::yield_context yield);

  /// True if the engine answered with a status other than 200; `refusal` has the answer.
  bool refused() const { return refused_; }
  WholeAnswerReader& refusal() { return refusal_; }

  /// True if anything may have reached the caller.
  bool forwarded() const { return forwarded_; }

 private:
  Status checkEvent(const std::string& event);

  std::string requestId_;
  WholeAnswerReader refusal_;
  EventSink& sink_;
  SseParser parser_;
  bool refused_ = false;
  bool endEventReceived_ = false;
  bool forwarded_ = false;
};

}  // namespace shedshed
