/// @file
/// One HTTP/1.1 connection to an engine that carries opaque calls, one at a time.
#pragma once

#include "gateway/header_names.h"
#include "gateway/opaque_call.h"
#include "kernel/error.h"
#include "serving/call_abort.h"
#include "serving/connection_history.h"
#include "serving/response_head.h"
#include "serving/serving_threads.h"
#include "serving/socket_deadline.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Head of an engine's response.
struct ResponseHead {
  int status = 0;
  std::vector<HeaderField> headers;  ///< Without hop-by-hop headers.
  std::string requestId;             ///< Id of the call that the response echoes; empty if none.
  bool notRun = false;               ///< The engine reports that it did not run the call.
  bool isSigned = false;
  bool eventStream = false;
};

/// A connection to an engine, used by one coroutine at a time.
///
/// An error's `ran` is `No` only if no byte of the call was written to the socket.
class UpstreamConnection {
 public:
  UpstreamConnection(boost::asio::io_context& io, const HeaderNames& names);

  /// Connects to "a.b.c.d:port" within @p limit.
  Status connect(const std::string& address, Duration limit, CallAbort& abort,
                 const ServingStrand& strand, boost::asio::yield_context yield);

  /// Sends @p call to the engine @p engineId, with @p timeLeft as its deadline if the call's
  /// `forwardDeadline` is set.
  Status send(const OpaqueCall& call, const std::string& engineId, Duration timeLeft,
              CallAbort& abort, const ServingStrand& strand, boost::asio::yield_context yield);

  /// Reads the head of the response. Fails with `DeadlineExceeded` after @p limit, and with
  /// `EngineFailed` if the head is not valid HTTP.
  Result<ResponseHead> readHead(Duration limit, CallAbort& abort, const ServingStrand& strand,
                                boost::asio::yield_context yield);

  /// Fails with `ResponseTruncated` if nothing can tell whether the body of the response will be
  /// complete: it has no framing but the end of the connection, which failed during `send`. The
  /// system reports a reset only once, so that after a failed write it looks like an orderly end to
  /// the next read.
  Status checkBodyFraming() const;

  /// Reads the next bytes of the body; empty at the end of a complete body. Valid until the next
  /// call.
  Result<std::string_view> readChunk(Duration limit, CallAbort& abort, const ServingStrand& strand,
                                     boost::asio::yield_context yield);

  /// Returns true if the last response was complete and the connection may carry another call.
  bool reusable();

  const ConnectionHistory& history() const { return history_; }

  /// Time for which the engine keeps an idle connection open; a default if it sent no `Keep-Alive`.
  Duration keepAlive() const { return keepAlive_; }

  void close();

 private:
  ResponseHead parseHead();
  Error failure(const boost::system::error_code& failed, const SocketDeadline& deadline,
                const CallAbort& abort) const;

  const HeaderNames& names_;
  ConnectionHistory history_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<ResponseParser> parser_;
  std::array<char, 16384> chunk_{};
  Duration keepAlive_;
  bool responseComplete_ = true;
  bool sendFailed_ = false;  ///< The connection failed while the current call was sent.
};

}  // namespace shedshed
