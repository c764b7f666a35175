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

/// Writes the answer to one call. Every write has a time-out, after which the connection is closed,
/// so that a caller that does not read cannot block the call.
class CallerWriter : public EventSink {
 public:
  CallerWriter(boost::asio::ip::tcp::socket& socket, const ServingStrand& strand,
               Duration writeTimeout)
      : socket_(socket), deadline_(strand, socket), writeTimeout_(writeTimeout) {}

  void setRequestId(std::string requestId) { requestId_ = std::move(requestId); }

  /// Sets a callback that runs before the first event is sent.
  void onFirstEvent(std::function<void()> callback) { onFirstEvent_ = std::move(callback); }

  /// Writes a complete answer. Returns false if the write failed.
  bool writeAnswer(const HttpAnswer& answer, bool keepAlive, boost::asio::yield_context yield);

  /// Sends the interim response to `Expect: 100-continue`.
  bool writeContinue(boost::asio::yield_context yield);

  /// Sends events as `id: N`, `data: …`, numbered from 0; starts the stream if needed.
  Status onEvents(const std::vector<std::string>& events,
                  boost::asio::yield_context yield) override;

  /// True once a stream has been started.
  bool streamStarted() const { return streamStarted_; }

  /// Number of events sent.
  std::uint64_t eventCount() const { return nextEvent_; }

  /// Ends a complete stream with the last chunk.
  bool endStream(boost::asio::yield_context yield);

  /// Sends an error event. The connection must then be closed without the last chunk, so that the
  /// caller cannot take the stream for complete.
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
