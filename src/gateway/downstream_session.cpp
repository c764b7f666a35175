#include "gateway/downstream_session.h"

#include "serving/message_framing.h"
#include "wire/tcp_endpoint.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdio>

namespace shedshed {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds kUnackedTimeout{3000};
/// Time-out of the request body, added to that of the header.
constexpr Duration kBodyTimeout = std::chrono::seconds(10);

std::string_view toView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::optional<Duration> parseMilliseconds(std::string_view text) {
  std::int64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || number < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(number);
}

/// Counts a call as active for the lifetime of the object.
class ActiveCall {
 public:
  explicit ActiveCall(std::size_t& count) : count_(count) { ++count_; }
  ~ActiveCall() { --count_; }
  ActiveCall(const ActiveCall&) = delete;
  ActiveCall& operator=(const ActiveCall&) = delete;

 private:
  std::size_t& count_;
};

}  // namespace

DownstreamSession::DownstreamSession(GatewayShared& shared, net::ip::tcp::socket socket,
                                     const ServingStrand& strand)
    : shared_(shared), services_(shared.services), socket_(std::move(socket)), strand_(strand) {
  error_code ignored;
  socket_.set_option(net::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  setUnackedTimeout(socket_, kUnackedTimeout);
}

ClientLimits DownstreamSession::clientLimits() const {
  const auto settings = services_.settings.read();
  return settings == nullptr ? ClientLimits{} : settings->routes().clientLimits();
}

void DownstreamSession::run(net::yield_context yield) {
  while (serve(yield)) {
  }
}

bool DownstreamSession::waitForRequest(Duration idle, net::yield_context yield) {
  if (buffer_.size() > 0) {
    return true;
  }
  if (shared_.stopping) {
    return false;
  }
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(idle);
  error_code failed;
  shared_.idleSessions.insert(this);
  socket_.async_wait(net::ip::tcp::socket::wait_read, yield[failed]);
  shared_.idleSessions.erase(this);
  return !failed;
}

void DownstreamSession::closeIfIdle() {
  error_code failed;
  if (socket_.available(failed) == 0 || failed) {
    socket_.close(failed);
  }
}

bool DownstreamSession::readRequest(Parser& parser, const ClientLimits& limits,
                                    DownstreamWriter& writer, net::yield_context yield) {
  parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
  parser.body_limit(limits.maxBodyBytes);
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(limits.headerTimeout);
  error_code failed;
  http::async_read_header(socket_, buffer_, parser, yield[failed]);
  if (failed == http::error::header_limit || failed == http::error::body_limit) {
    refusal_ = makeError(ErrorCode::TooLarge, "the request header or body exceeds its size limit");
    return true;
  }
  const bool malformed =
      failed && failed.category() == make_error_code(http::error::bad_method).category();
  if (malformed && failed != http::error::end_of_stream && failed != http::error::partial_message) {
    refusal_ = makeError(ErrorCode::InvalidArgument, "malformed HTTP request: " + failed.message());
    return true;
  }
  if (failed) {
    return false;
  }
  if (const Status framing = checkRequestFraming(parser.get().base()); !framing) {
    refusal_ = framing.error();
    return true;
  }
  if (parser.is_done()) {
    return true;
  }
  if (parser.get()[http::field::expect] == "100-continue" && !writer.writeContinue(yield)) {
    return false;
  }
  deadline.arm(limits.headerTimeout + kBodyTimeout);
  http::async_read(socket_, buffer_, parser, yield[failed]);
  if (failed == http::error::body_limit) {
    refusal_ = makeError(ErrorCode::TooLarge, "the request body exceeds its size limit");
    return true;
  }
  if (failed && failed.category() == make_error_code(http::error::bad_method).category() &&
      failed != http::error::partial_message) {
    refusal_ = makeError(ErrorCode::InvalidArgument, "malformed request body: " + failed.message());
    return true;
  }
  return !failed;
}

Status DownstreamSession::extractCall(Parser& parser, GatewayCall& call) {
  const HeaderNames& names = services_.names;
  auto& message = parser.get();
  OpaqueCall& opaque = call.call;
  opaque.method = std::string(toView(message.method_string()));
  opaque.target = std::string(toView(message.target()));
  for (const auto& field : message.base()) {
    const std::string_view name = toView(field.name_string());
    const std::string_view value = toView(field.value());
    if (sameHeaderName(name, "Host")) {
      opaque.host = std::string(value);
    } else if (sameHeaderName(name, "Authorization")) {
      const bool scheme = value.substr(0, names.keyScheme.size()) == names.keyScheme;
      call.key = scheme ? std::string(value.substr(names.keyScheme.size())) : std::string();
    } else if (sameHeaderName(name, names.requestId)) {
      opaque.requestId = std::string(value);
    } else if (sameHeaderName(name, names.deadline)) {
      if (const auto left = parseMilliseconds(value)) {
        opaque.deadline = call.arrived + *left;
        opaque.forwardDeadline = true;
      }
    } else if (sameHeaderName(name, names.resumeAfter)) {
      opaque.resumeAfter = std::string(value);
    } else if (Status added = opaque.headers.add(name, value, names); !added) {
      return added;
    }
  }
  opaque.prompt = parsePromptHints(opaque.headers.value(names.promptParts),
                                   opaque.headers.value(names.tokenCount));
  opaque.body = std::move(message.body());
  return okStatus();
}

bool DownstreamSession::serve(net::yield_context yield) {
  const ClientLimits limits = clientLimits();
  if (!waitForRequest(limits.idleTimeout, yield)) {
    return false;
  }
  DownstreamWriter writer(socket_, strand_);
  Parser parser;
  refusal_.reset();
  if (!readRequest(parser, limits, writer, yield)) {
    return false;
  }
  if (refusal_) {
    return refuse(*refusal_, {}, writer, yield);
  }
  const ActiveCall active(shared_.activeCalls);
  GatewayCall call(strand_, writer);
  call.arrived = services_.core.now();
  const bool keepAlive = parser.keep_alive();
  if (Status extracted = extractCall(parser, call); !extracted) {
    return refuse(extracted.error(), call.call.requestId, writer, yield);
  }
  return answer(call, writer, keepAlive, yield);
}

bool DownstreamSession::answer(GatewayCall& call, DownstreamWriter& writer, bool keepAlive,
                               net::yield_context yield) {
  Result<GatewayStep> step = GatewayStep::Continue;
  writer.setClosing(services_.draining || !keepAlive);
  {
    const CallerWatch watch(socket_, call.abort, services_.counters);
    for (const auto& filter : shared_.filters) {
      step = filter->apply(call, yield);
      if (!step || step.value() == GatewayStep::Answered) {
        break;
      }
    }
  }
  call.slots.release();
  const std::string outcome = step ? "ok" : std::string(errorTypeName(step.error().code));
  services_.counters.add("gateway_calls_" + outcome + "_total", 1);
  services_.journal->record(call.call.requestId, "outcome",
                            step ? outcome : outcome + ": " + step.error().detail);
  if (call.abort.aborted()) {
    return false;
  }
  const bool staysOpen = keepAlive && !services_.draining;
  if (step && call.streamed) {
    return writer.endStream(yield) && staysOpen;
  }
  if (writer.streamStarted()) {
    return false;  // Without the last chunk, the client sees a truncated response.
  }
  if (!step) {
    call.answer = gatewayErrorAnswer(step.error(), call.call.requestId);
  }
  return writer.writeAnswer(call.answer, staysOpen, yield) && staysOpen;
}

bool DownstreamSession::refuse(const Error& error, const std::string& requestId,
                               DownstreamWriter& writer, net::yield_context yield) {
  services_.counters.add("gateway_malformed_calls_total", 1);
  if (!writer.writeAnswer(gatewayErrorAnswer(error, requestId), false, yield)) {
    return false;
  }
  // Closing with unread bytes would reset the connection, and the client could lose the response.
  error_code failed;
  socket_.shutdown(net::ip::tcp::socket::shutdown_send, failed);
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(kLingerTimeout);
  std::array<char, 4096> discarded{};
  while (!failed) {
    socket_.async_read_some(net::buffer(discarded), yield[failed]);
  }
  return false;
}

}  // namespace shedshed
