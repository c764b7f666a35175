#include "serving/engine_connection.h"

#include "serving/response_head.h"
#include "serving/socket_deadline.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace shedshed {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr ResponseLimits kResponseLimits{16U << 10U, 256U << 20U};

/// Most body bytes passed to the reader at once.
constexpr std::size_t kReadChunkBytes = 16U << 10U;

constexpr const char* kRequestIdHeader = "X-Request-Id";

Result<net::ip::tcp::endpoint> parseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return makeError(ErrorCode::EngineFailed, "the engine address has no port");
  }
  error_code failed;
  const auto ip = net::ip::make_address(address.substr(0, colon), failed);
  const int port = std::atoi(address.c_str() + colon + 1);
  if (failed || port <= 0 || port > 65535) {
    return makeError(ErrorCode::EngineFailed, "the engine address is not ip:port");
  }
  return net::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

http::request<http::string_body> makeHttpRequest(const EngineHttpRequest& request) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(http::field::host, "engine");
  message.set(http::field::content_type, "application/json");
  message.set(kRequestIdHeader, request.requestId);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

EngineHttpHeader parseAnswerHeader(const ResponseParser& parser) {
  EngineHttpHeader header;
  header.status = static_cast<int>(parser.get().result_int());
  header.requestId = std::string(parser.get()[kRequestIdHeader]);
  const auto type = parser.get()[http::field::content_type];
  header.eventStream = type.substr(0, 17) == "text/event-stream";
  return header;
}

/// Drops a response.
class DiscardingReader : public EngineAnswerReader {
 public:
  Status onHeader(const EngineHttpHeader&) override { return okStatus(); }
  Status onBody(std::string_view, net::yield_context) override { return okStatus(); }
};

Error abortedError() {
  return makeError(ErrorCode::Cancelled, "the caller has disconnected", Ran::Unknown);
}

/// Converts a failed socket operation to the error of its cause.
Error toError(const error_code& failed, const SocketDeadline& deadline, const CallAbort& abort) {
  if (abort.aborted()) {
    return abortedError();
  }
  if (deadline.expired()) {
    return makeError(ErrorCode::DeadlineExceeded, "the engine did not respond in time",
                     Ran::Unknown);
  }
  if (failed == http::error::partial_message) {
    return makeError(ErrorCode::ResponseTruncated,
                     "the engine closed the connection before the end of its response",
                     Ran::Unknown);
  }
  return makeError(ErrorCode::EngineFailed, failed.message(), Ran::Unknown);
}

}  // namespace

struct EngineConnection::Exchange {
  const EngineHttpRequest& request;
  EngineAnswerReader& reader;
  const EngineTimeouts& timeouts;
  CallAbort& abort;
  SocketDeadline& deadline;
  boost::beast::flat_buffer buffer;  ///< Bytes that were received after the last response.
};

Status EngineConnection::connect(const std::string& address, const EngineTimeouts& timeouts,
                                 CallAbort& abort, const ServingStrand& strand,
                                 net::yield_context yield) {
  const auto endpoint = parseAddress(address);
  if (!endpoint) {
    return endpoint.error();
  }
  const CallAbort::Scope scope(abort, [this]() { close(); });
  SocketDeadline deadline(strand, socket_);
  deadline.arm(timeouts.connect);
  error_code failed;
  socket_.async_connect(endpoint.value(), yield[failed]);
  if (!failed) {
    socket_.set_option(net::ip::tcp::no_delay(true), failed);
  }
  if (failed || deadline.expired() || abort.aborted()) {
    Error error = toError(failed, deadline, abort);
    error.ran = Ran::No;
    close();
    return error;
  }
  return okStatus();
}

Status EngineConnection::exchange(const EngineHttpRequest& request, EngineAnswerReader& reader,
                                  const EngineTimeouts& timeouts, CallAbort& abort,
                                  const ServingStrand& strand, net::yield_context yield) {
  exchangeComplete_ = false;
  history_.recordExchange(request.requestId);
  if (abort.aborted()) {
    Error error = abortedError();
    error.ran = Ran::No;
    return error;
  }
  const CallAbort::Scope scope(abort, [this]() { close(); });
  SocketDeadline deadline(strand, socket_);
  error_code failed;

  const auto message = makeHttpRequest(request);
  deadline.arm(timeouts.firstByte);
  const std::size_t sentBytes = http::async_write(socket_, message, yield[failed]);
  if (failed) {
    Error error = toError(failed, deadline, abort);
    error.ran = sentBytes == 0 ? Ran::No : Ran::Unknown;
    return error;
  }
  Exchange exchange{request, reader, timeouts, abort, deadline, {}};
  // Each earlier request has one second answer at the most.
  for (std::uint32_t answers = 0; answers < history_.exchanges(); ++answers) {
    const Result<bool> isOwn = readAnswer(exchange, yield);
    if (!isOwn) {
      return isOwn.error();
    }
    if (isOwn.value()) {
      return okStatus();
    }
  }
  return makeError(ErrorCode::ResponseMismatch, "the connection has only answers to other requests",
                   Ran::Unknown);
}

Result<bool> EngineConnection::readAnswer(Exchange& exchange, net::yield_context yield) {
  std::optional<ResponseParser> received;
  exchange.deadline.arm(exchange.timeouts.firstByte);
  error_code failed = readResponseHead(socket_, exchange.buffer, received, kResponseLimits, yield);
  if (failed) {
    return toError(failed, exchange.deadline, exchange.abort);
  }
  ResponseParser& parser = *received;
  if (!parser.is_done() && !parser.chunked() && !parser.content_length()) {
    return makeError(ErrorCode::ResponseTruncated,
                     "the response has neither a Content-Length nor a chunked encoding",
                     Ran::Unknown);
  }
  const EngineHttpHeader header = parseAnswerHeader(parser);
  const bool isSurplus =
      header.requestId != exchange.request.requestId && history_.hasCarried(header.requestId);
  DiscardingReader discarding;
  EngineAnswerReader& reader = isSurplus ? discarding : exchange.reader;
  if (const Status accepted = reader.onHeader(header); !accepted) {
    return accepted.error();
  }
  std::array<char, kReadChunkBytes> chunk;
  bool bodyStarted = false;
  while (!parser.is_done()) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    exchange.deadline.arm(bodyStarted ? exchange.timeouts.betweenEvents
                                      : exchange.timeouts.firstByte);
    http::async_read_some(socket_, exchange.buffer, parser, yield[failed]);
    if (failed == http::error::need_buffer) {
      failed = {};
    }
    if (failed) {
      return toError(failed, exchange.deadline, exchange.abort);
    }
    exchange.deadline.disarm();
    const std::size_t size = chunk.size() - parser.get().body().size;
    bodyStarted = bodyStarted || size > 0;
    if (const Status taken = reader.onBody(std::string_view(chunk.data(), size), yield); !taken) {
      return taken.error();
    }
    if (exchange.abort.aborted()) {
      return abortedError();
    }
  }
  exchange.deadline.disarm();
  const bool reusable =
      parser.keep_alive() && exchange.buffer.size() == 0 && !exchange.abort.aborted();
  exchangeComplete_ = reusable && !isSurplus;
  return !isSurplus;
}

bool EngineConnection::reusable() {
  return exchangeComplete_ && socket_.is_open() && !history_.isExhausted() && hasNoUnreadInput();
}

bool EngineConnection::hasNoUnreadInput() {
  char byte = 0;
  const ssize_t received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void EngineConnection::close() {
  exchangeComplete_ = false;
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace shedshed
