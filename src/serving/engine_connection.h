/// @file
/// One HTTP/1.1 connection to an engine; carries one exchange at a time.
#pragma once

#include "kernel/error.h"
#include "kernel/time.h"
#include "serving/call_abort.h"
#include "serving/serving_threads.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace shedshed {

/// Waits that bound an exchange.
struct EngineTimeouts {
  Duration connect = std::chrono::seconds(1);
  Duration firstByte =
      std::chrono::seconds(120);  ///< Up to the header, then to the first body bytes.
  Duration betweenEvents = std::chrono::seconds(30);  ///< From bytes to the next bytes.
};

/// A request as it goes to an engine.
struct EngineHttpRequest {
  std::string method = "POST";
  std::string target;
  std::string requestId;
  std::string body;
};

/// Header of an engine's answer.
struct EngineHttpHeader {
  int status = 0;
  std::string requestId;  ///< Value of the echoed `X-Request-Id`.
  bool eventStream = false;
};

/// Takes an answer piece by piece. An error ends the exchange and closes the connection.
class EngineAnswerReader {
 public:
  virtual ~EngineAnswerReader() = default;
  virtual Status onHeader(const EngineHttpHeader& header) = 0;
  /// May suspend, which holds back further reading (backpressure).
  virtual Status onBody(std::string_view bytes, boost::asio::yield_context yield) = 0;
};

/// A connection that was opened by `connect`. Use it from one coroutine at a time.
class EngineConnection {
 public:
  explicit EngineConnection(boost::asio::io_context& io) : socket_(io) {}

  /// Connects to "a.b.c.d:port". A failure has `Ran::No`.
  Status connect(const std::string& address, const EngineTimeouts& timeouts, CallAbort& abort,
                 const ServingStrand& strand, boost::asio::yield_context yield);

  /// Sends @p request and reads the answer to the end of its framing.
  ///
  /// The error's `ran` is `No` only if no byte was handed to the network, else `Unknown`.
  Status exchange(const EngineHttpRequest& request, EngineAnswerReader& reader,
                  const EngineTimeouts& timeouts, CallAbort& abort, const ServingStrand& strand,
                  boost::asio::yield_context yield);

  /// True if the connection may carry another exchange: the last one was whole, nothing came after
  /// it, and the engine has neither closed nor sent anything since.
  bool reusable();

  void close();

 private:
  bool hasNoUnreadInput();

  boost::asio::ip::tcp::socket socket_;
  bool exchangeComplete_ = true;
};

}  // namespace shedshed
