/// @file
/// HTTP/1.1 connection to an engine. Carries one exchange at a time.
#pragma once

#include "kernel/error.h"
#include "kernel/time.h"
#include "serving/call_abort.h"
#include "serving/connection_history.h"
#include "serving/serving_threads.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace shedshed {

/// Time-outs of an exchange.
struct EngineTimeouts {
  Duration connect = std::chrono::seconds(1);
  Duration firstByte =
      std::chrono::seconds(120);  ///< For the header, then for the first body bytes.
  Duration betweenEvents = std::chrono::seconds(30);  ///< Between two reads of body bytes.
};

/// A request to an engine.
struct EngineHttpRequest {
  std::string method = "POST";
  std::string target;
  std::string requestId;
  std::string body;
};

/// Header of an engine's response.
struct EngineHttpHeader {
  int status = 0;
  std::string requestId;  ///< Value of the echoed `X-Request-Id`.
  bool eventStream = false;
};

/// Receives a response incrementally. An error ends the exchange, and the connection is then not
/// reused.
class EngineAnswerReader {
 public:
  virtual ~EngineAnswerReader() = default;
  virtual Status onHeader(const EngineHttpHeader& header) = 0;
  /// May suspend the coroutine; no more input is read meanwhile (backpressure).
  virtual Status onBody(std::string_view bytes, boost::asio::yield_context yield) = 0;
};

/// A connection to one engine. Must be used by one coroutine at a time.
class EngineConnection {
 public:
  explicit EngineConnection(boost::asio::io_context& io) : socket_(io) {}

  /// Connects to "a.b.c.d:port". The error has `Ran::No`.
  Status connect(const std::string& address, const EngineTimeouts& timeouts, CallAbort& abort,
                 const ServingStrand& strand, boost::asio::yield_context yield);

  /// Sends @p request and reads the complete response. Second responses to requests that the
  /// connection carried before are dropped.
  ///
  /// The `ran` of the error is `No` only if no byte was written to the socket, else `Unknown`.
  Status exchange(const EngineHttpRequest& request, EngineAnswerReader& reader,
                  const EngineTimeouts& timeouts, CallAbort& abort, const ServingStrand& strand,
                  boost::asio::yield_context yield);

  /// Returns true if the connection can carry another exchange: the last one was complete, and the
  /// engine has neither closed the connection nor sent further bytes.
  bool reusable();

  const ConnectionHistory& history() const { return history_; }

  void close();

 private:
  struct Exchange;

  /// Reads one response; false if it was dropped.
  Result<bool> readAnswer(Exchange& exchange, boost::asio::yield_context yield);
  /// Returns true if the connection is open and no input is waiting.
  bool hasNoUnreadInput();

  ConnectionHistory history_;
  boost::asio::ip::tcp::socket socket_;
  bool exchangeComplete_ = true;
};

}  // namespace shedshed
