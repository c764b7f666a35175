/// @file
/// One HTTP/1.1 connection to an engine that carries opaque calls, one at a time.
#pragma once

#include "gateway/header_names.h"
#include "gateway/opaque_call.h"
#include "kernel/error.h"
#include "serving/call_abort.h"
#include "serving/serving_threads.h"
#include "serving/socket_deadline.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Head of an engine's answer.
struct ResponseHead {
  int status = 0;
  std::vector<HeaderField> headers;  ///< Without those of the connection.
  bool hasRequestId = false;         ///< The answer echoes the id of the call that was sent.
  bool notRun = false;               ///< The engine says that it did not run the call.
  bool isSigned = false;
  bool eventStream = false;
};

/// A connection; use it from one coroutine at a time.
///
/// An error's `ran` is `No` only if no byte of a call was handed to the network.
class UpstreamConnection {
 public:
  UpstreamConnection(boost::asio::io_context& io, const HeaderNames& names);

  /// Connects to "a.b.c.d:port" within @p limit.
  Status connect(const std::string& address, Duration limit, CallAbort& abort,
                 const ServingStrand& strand, boost::asio::yield_context yield);

  /// Sends @p call to the engine @p engineId; @p timeLeft is told to it if the call says so.
  Status send(const OpaqueCall& call, const std::string& engineId, Duration timeLeft,
              CallAbort& abort, const ServingStrand& strand, boost::asio::yield_context yield);

  /// Reads the head of the answer, at most until @p limit has passed.
  Result<ResponseHead> readHead(const OpaqueCall& call, Duration limit, CallAbort& abort,
                                const ServingStrand& strand, boost::asio::yield_context yield);

  /// Reads a piece of the body; empty at its whole end. Valid until the next call.
  Result<std::string_view> readChunk(Duration limit, CallAbort& abort, const ServingStrand& strand,
                                     boost::asio::yield_context yield);

  /// True if the last answer was whole and the connection may carry another call.
  bool reusable();

  /// Time for which the engine keeps the idle connection; a guess if it has not said.
  Duration keepAlive() const { return keepAlive_; }

  void close();

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  ResponseHead parseHead(const OpaqueCall& call);
  Error failure(const boost::system::error_code& failed, const SocketDeadline& deadline,
                const CallAbort& abort) const;

  const HeaderNames& names_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::array<char, 16384> chunk_{};
  Duration keepAlive_;
  bool responseComplete_ = true;
};

}  // namespace shedshed
