#include "gateway/downstream_session.h"

#include "serving/request_framing.h"
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

constexpr Duration kWriteLimit = std::chrono::seconds(10);
constexpr Duration kLinger = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds kUnackedTimeout{3000};
/// Longest time that a body may take, beyond the header's.
constexpr Duration kBodyLimit = std::chrono::seconds(10);

std::string_view toView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::string statusLine(int status) {
  const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return "HTTP/1.1 " + std::to_string(status) + " " + std::string(toView(reason)) + "\r\n";
}

void appendHeader(std::string& text, std::string_view name, std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

/// Seconds with fractions, as callers read them.
std::string secondsText(Duration duration) {
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.2f",
                                 std::chrono::duration<double>(duration).count());
  return std::string(text.data(), static_cast<std::size_t>(size));
}

std::optional<Duration> millisecondsOf(std::string_view text) {
  std::int64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || number < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(number);
}

/// Counts a call for as long as it lives.
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

bool SessionWriter::write(const std::string& bytes, net::yield_context yield) {
  error_code failed;
  std::size_t sent = socket_.write_some(net::buffer(bytes), failed);
  if (failed == net::error::would_block || failed == net::error::try_again) {
    failed = {};
    sent = 0;
  }
  if (!failed && sent < bytes.size()) {
    SocketDeadline deadline(strand_, socket_);
    deadline.arm(kWriteLimit);
    net::async_write(socket_, net::buffer(bytes) + sent, yield[failed]);
  }
  return !failed;
}

void SessionWriter::onHead(const EngineHead& head) {
  if (headTaken_) {
    return;
  }
  headTaken_ = true;
  pendingHead_ = statusLine(head.status);
  for (const HeaderField& field : head.headers) {
    appendHeader(pendingHead_, field.name, field.value);
  }
  appendHeader(pendingHead_, "Transfer-Encoding", "chunked");
  if (closing_) {
    appendHeader(pendingHead_, "Connection", "close");
  }
  pendingHead_ += "\r\n";
}

Status SessionWriter::onBytes(std::string_view bytes, net::yield_context yield) {
  std::array<char, 20> size{};
  const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk = std::move(pendingHead_);
  pendingHead_.clear();
  chunk.append(size.data(), static_cast<std::size_t>(digits)).append(bytes).append("\r\n");
  streamStarted_ = true;
  if (!write(chunk, yield)) {
    return makeError(ErrorCode::Cancelled, "the caller has gone", Ran::Unknown);
  }
  return okStatus();
}

bool SessionWriter::endStream(net::yield_context yield) {
  return write(std::exchange(pendingHead_, {}) + "0\r\n\r\n", yield);
}

bool SessionWriter::writeContinue(net::yield_context yield) {
  return write("HTTP/1.1 100 Continue\r\n\r\n", yield);
}

bool SessionWriter::writeAnswer(const GatewayAnswer& answer, bool keepAlive,
                                net::yield_context yield) {
  std::string text = statusLine(answer.status);
  for (const HeaderField& field : answer.headers) {
    appendHeader(text, field.name, field.value);
  }
  if (answer.retryAfter) {
    appendHeader(text, "Retry-After", secondsText(*answer.retryAfter));
  }
  appendHeader(text, "Content-Length", std::to_string(answer.body.size()));
  if (!keepAlive) {
    appendHeader(text, "Connection", "close");
  }
  text.append("\r\n").append(answer.body);
  return write(text, yield);
}

CallerSession::CallerSession(GatewayShared& shared, net::ip::tcp::socket socket,
                             const ServingStrand& strand)
    : shared_(shared), services_(shared.services), socket_(std::move(socket)), strand_(strand) {
  error_code ignored;
  socket_.set_option(net::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  setUnackedTimeout(socket_, kUnackedTimeout);
}

ClientLimits CallerSession::bounds() const {
  const auto settings = services_.settings.read();
  return settings == nullptr ? ClientLimits{} : settings->routes().clientLimits();
}

void CallerSession::run(net::yield_context yield) {
  while (serve(yield)) {
  }
}

bool CallerSession::waitForCall(Duration idle, net::yield_context yield) {
  if (buffer_.size() > 0) {
    return true;
  }
  if (shared_.stopping) {
    return false;
  }
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(idle);
  error_code failed;
  shared_.waiting.insert(this);
  socket_.async_wait(net::ip::tcp::socket::wait_read, yield[failed]);
  shared_.waiting.erase(this);
  return !failed;
}

void CallerSession::closeIfIdle() {
  error_code failed;
  if (socket_.available(failed) == 0 || failed) {
    socket_.close(failed);
  }
}

bool CallerSession::readCall(Parser& parser, const ClientLimits& bounds, SessionWriter& writer,
                             net::yield_context yield) {
  parser.header_limit(static_cast<std::uint32_t>(bounds.maxHeaderBytes));
  parser.body_limit(bounds.maxBodyBytes);
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(bounds.headerTimeout);
  error_code failed;
  http::async_read_header(socket_, buffer_, parser, yield[failed]);
  if (failed == http::error::header_limit || failed == http::error::body_limit) {
    refusal_ = makeError(ErrorCode::TooLarge, "the header or the body is over its bound");
    return true;
  }
  const bool malformed =
      failed && failed.category() == make_error_code(http::error::bad_method).category();
  if (malformed && failed != http::error::end_of_stream && failed != http::error::partial_message) {
    refusal_ = makeError(ErrorCode::InvalidArgument, "malformed HTTP: " + failed.message());
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
  deadline.arm(bounds.headerTimeout + kBodyLimit);
  http::async_read(socket_, buffer_, parser, yield[failed]);
  if (failed == http::error::body_limit) {
    refusal_ = makeError(ErrorCode::TooLarge, "the body is over its bound");
    return true;
  }
  if (failed && failed.category() == make_error_code(http::error::bad_method).category() &&
      failed != http::error::partial_message) {
    refusal_ = makeError(ErrorCode::InvalidArgument, "malformed body: " + failed.message());
    return true;
  }
  return !failed;
}

void CallerSession::takeCall(Parser& parser, GatewayCall& call) {
  const HeaderNames& names = services_.names;
  auto& message = parser.get();
  OpaqueCall& opaque = call.call;
  opaque.method = std::string(toView(message.method_string()));
  opaque.target = std::string(toView(message.target()));
  std::string_view parts;
  std::string_view tokens;
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
      if (const auto left = millisecondsOf(value)) {
        opaque.deadline = call.arrived + *left;
        opaque.tellDeadline = true;
      }
    } else if (sameHeaderName(name, names.resumeAfter)) {
      opaque.resumeAfter = std::string(value);
    } else if (sameHeaderName(name, names.tenant) || sameHeaderName(name, names.expectedEngine) ||
               sameHeaderName(name, "Expect") || isConnectionHeader(name)) {
      continue;  // Said anew by this tier, or of this connection only.
    } else {
      opaque.headers.push_back({std::string(name), std::string(value)});
      if (sameHeaderName(name, names.promptParts)) {
        parts = value;
      } else if (sameHeaderName(name, names.tokenCount)) {
        tokens = value;
      }
    }
  }
  opaque.prompt = parsePromptHints(parts, tokens);
  opaque.body = std::move(message.body());
}

bool CallerSession::serve(net::yield_context yield) {
  const ClientLimits limits = bounds();
  if (!waitForCall(limits.idleTimeout, yield)) {
    return false;
  }
  SessionWriter writer(socket_, strand_);
  Parser parser;
  refusal_.reset();
  if (!readCall(parser, limits, writer, yield)) {
    return false;
  }
  if (refusal_) {
    return refuse(*refusal_, {}, writer, yield);
  }
  const ActiveCall active(shared_.activeCalls);
  GatewayCall call(strand_, writer);
  call.arrived = services_.core.now();
  const bool keepAlive = parser.keep_alive();
  takeCall(parser, call);
  return answer(call, writer, keepAlive, yield);
}

bool CallerSession::answer(GatewayCall& call, SessionWriter& writer, bool keepAlive,
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
  services_.journal->note(call.call.requestId, "outcome",
                          step ? outcome : outcome + ": " + step.error().detail);
  if (call.abort.aborted()) {
    return false;
  }
  const bool staysOpen = keepAlive && !services_.draining;
  if (step && call.streamed) {
    return writer.endStream(yield) && staysOpen;
  }
  if (writer.streamStarted()) {
    return false;  // Cut without the last chunk: it can't look whole.
  }
  if (!step) {
    call.answer = gatewayErrorAnswer(step.error(), call.call.requestId);
  }
  return writer.writeAnswer(call.answer, staysOpen, yield) && staysOpen;
}

bool CallerSession::refuse(const Error& error, const std::string& requestId, SessionWriter& writer,
                           net::yield_context yield) {
  services_.counters.add("gateway_malformed_calls_total", 1);
  if (!writer.writeAnswer(gatewayErrorAnswer(error, requestId), false, yield)) {
    return false;
  }
  // Unread bytes at the close would reset the connection and take the answer away.
  error_code failed;
  socket_.shutdown(net::ip::tcp::socket::shutdown_send, failed);
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(kLinger);
  std::array<char, 4096> dropped{};
  while (!failed) {
    socket_.async_read_some(net::buffer(dropped), yield[failed]);
  }
  return false;
}

}  // namespace shedshed
