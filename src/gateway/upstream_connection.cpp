#include "gateway/upstream_connection.h"

#include "gateway/http_syntax.h"
#include "wire/tcp_endpoint.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <sys/socket.h>

namespace shedshed {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr ResponseLimits kResponseLimits{32U << 10U, 256U << 20U};
/// Assumed keep-alive time of an engine that sends no `Keep-Alive` header.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(4);
/// `TCP_USER_TIMEOUT`: if sent bytes stay unacknowledged for this long, the engine's host is
/// assumed to be down and the connection fails.
constexpr std::chrono::milliseconds kUnackedTimeout{1500};

std::string_view toView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

void appendHeader(std::string& text, std::string_view name, std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

/// Checks the texts of a request head that come from outside. Header fields are checked by
/// `ForwardedHeaders`.
Status checkRequestHead(const OpaqueCall& call) {
  const std::array<std::string_view, 4> values = {call.host, call.requestId, call.tenant,
                                                  call.resumeAfter};
  const bool valid = isFieldName(call.method) && isOriginFormTarget(call.target) &&
                     std::all_of(values.begin(), values.end(), isFieldValue);
  return valid ? okStatus()
               : makeError(ErrorCode::InvalidArgument,
                           "the request has control characters in its head", Ran::No);
}

std::string requestText(const OpaqueCall& call, const HeaderNames& names,
                        const std::string& engineId, Duration timeLeft) {
  std::string text;
  text.reserve(512 + call.body.size());
  text.append(call.method).append(" ").append(call.target).append(" HTTP/1.1\r\n");
  appendHeader(text, "Host", call.host);
  for (const HeaderField& field : call.headers) {
    appendHeader(text, field.name, field.value);
  }
  appendHeader(text, names.requestId, call.requestId);
  appendHeader(text, names.expectedEngine, engineId);
  if (!call.tenant.empty()) {
    appendHeader(text, names.tenant, call.tenant);
  }
  if (call.forwardDeadline) {
    appendHeader(text, names.deadline,
                 std::to_string(std::max<std::int64_t>(1, toMilliseconds(timeLeft))));
  }
  if (!call.resumeAfter.empty()) {
    appendHeader(text, names.resumeAfter, call.resumeAfter);
  }
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    appendHeader(text, "Content-Length", std::to_string(call.body.size()));
  }
  text.append("\r\n").append(call.body);
  return text;
}

/// Parses the seconds of `Keep-Alive: timeout=N`; nullopt without `timeout`.
std::optional<Duration> parseKeepAlive(std::string_view value) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t begin = value.find(kTimeout);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string digits(value.substr(begin + kTimeout.size()));
  return std::chrono::seconds(std::strtol(digits.c_str(), nullptr, 10));
}

}  // namespace

UpstreamConnection::UpstreamConnection(net::io_context& io, const HeaderNames& names)
    : names_(names), socket_(io), keepAlive_(kDefaultKeepAlive) {}

Error UpstreamConnection::failure(const error_code& failed, const SocketDeadline& deadline,
                                  const CallAbort& abort) const {
  if (abort.aborted()) {
    return makeError(ErrorCode::Cancelled, "the client has disconnected", Ran::Unknown);
  }
  if (deadline.expired()) {
    return makeError(ErrorCode::DeadlineExceeded, "the engine did not respond in time",
                     Ran::Unknown);
  }
  if (failed == http::error::partial_message) {
    return makeError(ErrorCode::ResponseTruncated,
                     "the response ended before the length given by its framing", Ran::Unknown);
  }
  return makeError(ErrorCode::EngineFailed, failed.message(), Ran::Unknown);
}

Status UpstreamConnection::connect(const std::string& address, Duration limit, CallAbort& abort,
                                   const ServingStrand& strand, net::yield_context yield) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    return endpoint.error();
  }
  const CallAbort::Scope scope(abort, [this]() { close(); });
  SocketDeadline deadline(strand, socket_);
  deadline.arm(limit);
  error_code failed;
  socket_.async_connect(endpoint.value(), yield[failed]);
  if (failed || deadline.expired() || abort.aborted()) {
    Error error = failure(failed, deadline, abort);
    error.ran = Ran::No;
    close();
    return error;
  }
  error_code ignored;
  socket_.set_option(net::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  setUnackedTimeout(socket_, kUnackedTimeout);
  return okStatus();
}

Status UpstreamConnection::send(const OpaqueCall& call, const std::string& engineId,
                                Duration timeLeft, CallAbort& abort, const ServingStrand& strand,
                                net::yield_context yield) {
  responseComplete_ = false;
  sendFailed_ = false;
  history_.recordExchange(call.requestId);
  if (abort.aborted()) {
    return makeError(ErrorCode::Cancelled, "the client has disconnected", Ran::No);
  }
  if (Status checked = checkRequestHead(call); !checked) {
    return checked;
  }
  const CallAbort::Scope scope(abort, [this]() { close(); });
  SocketDeadline deadline(strand, socket_);
  const std::string text = requestText(call, names_, engineId, timeLeft);
  error_code failed;
  std::size_t sent = socket_.write_some(net::buffer(text), failed);
  if (failed == net::error::would_block || failed == net::error::try_again) {
    failed = {};
    sent = 0;
  }
  if (!failed && sent < text.size()) {
    deadline.arm(timeLeft);
    sent += net::async_write(socket_, net::buffer(text) + sent, yield[failed]);
  }
  if (failed) {
    sendFailed_ = true;
    Error error = failure(failed, deadline, abort);
    error.ran = sent == 0 ? Ran::No : Ran::Unknown;
    return error;
  }
  return okStatus();
}

ResponseHead UpstreamConnection::parseHead() {
  ResponseHead head;
  const auto& message = parser_->get();
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message.base()) {
    const std::string_view name = toView(field.name_string());
    const std::string_view value = toView(field.value());
    if (sameHeaderName(name, "Keep-Alive")) {
      keepAlive_ = parseKeepAlive(value).value_or(keepAlive_);
    }
    if (isConnectionHeader(name)) {
      continue;
    }
    if (sameHeaderName(name, names_.requestId)) {
      head.requestId = value;
    }
    head.notRun = head.notRun || sameHeaderName(name, names_.notRun);
    head.isSigned = head.isSigned || sameHeaderName(name, names_.signature);
    if (sameHeaderName(name, "Content-Type")) {
      head.eventStream = value.substr(0, 17) == "text/event-stream";
    }
    head.headers.push_back({std::string(name), std::string(value)});
  }
  return head;
}

Result<ResponseHead> UpstreamConnection::readHead(Duration limit, CallAbort& abort,
                                                  const ServingStrand& strand,
                                                  net::yield_context yield) {
  const CallAbort::Scope scope(abort, [this]() { close(); });
  SocketDeadline deadline(strand, socket_);
  deadline.arm(limit);
  const error_code failed = readResponseHead(socket_, buffer_, parser_, kResponseLimits, yield);
  if (failed || abort.aborted()) {
    return failure(failed, deadline, abort);
  }
  return parseHead();
}

Status UpstreamConnection::checkBodyFraming() const {
  if (sendFailed_ && parser_->need_eof()) {
    return makeError(ErrorCode::ResponseTruncated,
                     "the connection failed during the request, and the response has no length",
                     Ran::Unknown);
  }
  return okStatus();
}

Result<std::string_view> UpstreamConnection::readChunk(Duration limit, CallAbort& abort,
                                                       const ServingStrand& strand,
                                                       net::yield_context yield) {
  const CallAbort::Scope scope(abort, [this]() { close(); });
  SocketDeadline deadline(strand, socket_);
  deadline.arm(limit);
  while (!parser_->is_done()) {
    parser_->get().body().data = chunk_.data();
    parser_->get().body().size = chunk_.size();
    error_code failed;
    http::async_read_some(socket_, buffer_, *parser_, yield[failed]);
    const std::size_t size = chunk_.size() - parser_->get().body().size;
    if (failed == http::error::need_buffer) {
      failed = {};
    }
    if (failed || abort.aborted()) {
      return failure(failed, deadline, abort);
    }
    if (size > 0) {
      return std::string_view(chunk_.data(), size);
    }
  }
  // Bytes after a complete response belong to no call, so the connection must not be reused.
  responseComplete_ = parser_->keep_alive() && buffer_.size() == 0;
  return std::string_view();
}

bool UpstreamConnection::reusable() {
  if (!responseComplete_ || !socket_.is_open() || history_.isExhausted()) {
    return false;
  }
  char byte = 0;
  const ssize_t received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void UpstreamConnection::close() {
  responseComplete_ = false;
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace shedshed
