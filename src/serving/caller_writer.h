/// @file
/// Writes answers and event streams to a caller.
#pragma once

#include "serving/engine_answer_readers.h"
#include "serving/http_answer.h"
#include "serving/socket_deadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace shedshed {

/// Writes the answer to one call. Every write is bounded in time; a caller that does not read is
/// dropped.
class CallerWriter : public EventSink {
 public:
  CallerWriter(boost::asio::ip::tcp::socket& socket, const ServingStrand& strand,
               Duration writeTimeout)
      : socket_(socket), deadline_(strand, socket), writeTimeout_(writeTimeout) {}

  void setRequestId(std::string requestId) { requestId_ = std::move(requestId); }

  /// Called when the first event is about to be sent.
  void onFirstEvent(std::function<void()> callback) { onFirstEvent_ = std::move(callback); }

  /// Writes a whole answer. False if the caller cannot be reached.
  bool writeAnswer(const HttpAnswer& answer, bool keepAlive, boost::asio::yield_context yield);

  /// Asks for the body that the caller holds back (`Expect: 100-continue`).
  bool writeContinue(boost::asio::yield_context yield);

  /// Sends events as `id: N`, `data: …`, numbered from 0; starts the stream if needed.
  Status onEvents(const std::vector<std::string>& events,
                  boost::asio::yield_context yield) override;

  /// True once a stream has been started.
  bool streamStarted() const { return streamStarted_; }

  /// Number of events sent.
  std::uint64_t eventCount() const { return nextEvent_; }

  /// Ends a whole stream with the last chunk.
  bool endStream(boost::asio::yield_context yield);

  /// Sends the error event. The caller must then close the connection, without the last chunk.
  bool failStream(const Error& error, boost::asio::yield_context yield);

 private:
  bool startStream(boost::asio::yield_context yield);
  bool writeText(const std::string& text, boost::asio::yield_context yield);
  bool writeChunk(const std::string& text, boost::asio::yield_context yield);

  boost::asio::ip::tcp::socket& socket_;
  SocketDeadline deadline_;
  Duration writeTimeout_;
  std::string requestId_;
  std::function<void()> onFirstEvent_;
  bool streamStarted_ = false;
  std::uint64_t nextEvent_ = 0;
};

}  // namespace shedshed
