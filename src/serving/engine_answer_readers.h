/// @file
/// Validates engine answers while they are received: request id, completeness and size.
#pragma once

#include "serving/engine_connection.h"
#include "serving/sse_parser.h"

#include <string>
#include <vector>

namespace shedshed {

/// Receives the validated events of a streamed answer.
class EventSink {
 public:
  virtual ~EventSink() = default;

  /// Forwards @p events to the caller, in order. Fails if the caller has disconnected.
  virtual Status onEvents(const std::vector<std::string>& events,
                          boost::asio::yield_context yield) = 0;
};

/// Data of the last event of a stream.
inline constexpr const char* kEndOfStream = "[DONE]";

/// Largest answer that is not streamed, in bytes.
inline constexpr std::size_t kMaxWholeAnswerBytes = 32U << 20U;

/// Buffers an answer that is not streamed.
class WholeAnswerReader : public EngineAnswerReader {
 public:
  explicit WholeAnswerReader(std::string requestId) : requestId_(std::move(requestId)) {}

  Status onHeader(const EngineHttpHeader& header) override;
  Status onBody(std::string_view bytes, boost::asio::yield_context yield) override;

  /// Validates the complete answer: a body with status 200 must contain the request id.
  Status finish() const;

  int status() const { return status_; }
  std::string takeBody() { return std::move(body_); }

 private:
  std::string requestId_;
  int status_ = 0;
  std::string body_;
};

/// Forwards a streamed answer event by event. The end event is buffered until `finish`, so that the
/// caller receives it only after the engine has completed the HTTP message too.
class StreamAnswerReader : public EngineAnswerReader {
 public:
  StreamAnswerReader(std::string requestId, EventSink& sink)
      : requestId_(std::move(requestId)), refusal_(requestId_), sink_(sink) {}

  Status onHeader(const EngineHttpHeader& header) override;
  Status onBody(std::string_view bytes, boost::asio::yield_context yield) override;

  /// Checks that the stream ended with its end event and forwards that event. If `refused`,
  /// validates the buffered answer instead.
  Status finish(boost::asio::yield_context yield);

  /// True if the engine answered with a status other than 200; `refusal` holds that answer.
  bool refused() const { return refused_; }
  WholeAnswerReader& refusal() { return refusal_; }

  /// True if any event may have reached the caller.
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
