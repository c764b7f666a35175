#include "serving/caller_connection.h"

#include "serving/call_target.h"
#include "serving/caller_watch.h"
#include "serving/request_id.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace shedshed {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::string_view kBearer = "Bearer ";
constexpr const char* kPrometheusType = "text/plain; version=0.0.4";

using Parser = http::request_parser<http::string_body>;

/// Increments a counter for the duration of a scope.
class ScopedCount {
 public:
  explicit ScopedCount(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
  ~ScopedCount() { --count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::atomic<std::size_t>& count_;
};

std::string_view toView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::string parseBearerKey(const Parser& parser) {
  const std::string_view value = toView(parser.get()[http::field::authorization]);
  if (value.substr(0, kBearer.size()) != kBearer) {
    return {};
  }
  return std::string(value.substr(kBearer.size()));
}

/// Fills @p request from the header. Fails for a malformed target.
Status parseHeader(const Parser& parser, CallRequest& request) {
  const auto& message = parser.get();
  const auto target = parseCallTarget(toView(message.method_string()), toView(message.target()));
  if (!target) {
    return target.error();
  }
  request.target = target.value();
  request.bearerKey = parseBearerKey(parser);
  const std::string_view type = toView(message[http::field::content_type]);
  request.contentType = std::string(type.substr(0, type.find_first_of("; ")));
  request.clientKey = std::string(message["X-Client-Key"]);
  request.repeatable = message["X-Repeatable"] == "true";
  return okStatus();
}

bool isPublicEndpoint(CallKind kind) {
  return kind == CallKind::Health || kind == CallKind::Ready || kind == CallKind::Metrics;
}

}  // namespace

/// One request and its answer.
class CallerConnection::Exchange {
 public:
  Exchange(CallerConnection& connection, boost::beast::flat_buffer& buffer)
      : shared_(connection.shared_), socket_(connection.socket_), strand_(connection.strand_),
        buffer_(buffer), writer_(socket_, strand_, shared_.limits.writeTimeout),
        call_(strand_, writer_) {
    parser_.header_limit(shared_.limits.maxHeaderBytes);
    parser_.body_limit(shared_.limits.maxBatchBodyBytes);
    call_.request.requestId = makeRequestId();
    writer_.setRequestId(call_.request.requestId);
  }

  /// Serves the call. Returns false if the connection must be closed.
  bool serve(net::yield_context yield);

 private:
  bool waitForFirstByte(net::yield_context yield);
  bool readRequestHeader(net::yield_context yield);
  bool readRequestBody(net::yield_context yield);
  /// Authenticates the caller and returns the size limit of the body, so that unauthenticated
  /// callers cannot send large bodies.
  Result<std::uint64_t> bodyLimit() const;
  /// Rejects the call. Reads a small body first, so that the connection can be kept open.
  bool refuseBeforeBody(const Error& error, net::yield_context yield);
  bool answer(net::yield_context yield);
  /// A draining node closes each connection after the answer, so that the caller's next call goes
  /// to another node.
  bool shouldKeepAlive() const { return parser_.keep_alive() && !shared_.services.draining.load(); }
  void answerPublicEndpoint();
  FilterStatus applyFilters(net::yield_context yield);
  bool finish(const FilterStatus& status, net::yield_context yield);
  bool finishStream(const FilterStatus& status, net::yield_context yield);
  /// Sends FIN, then discards input for a limited time: closing a socket with unread input sends
  /// RST, which could discard the answer before the caller has read it.
  void lingeringClose(net::yield_context yield);
  void observeFirstEvent();
  void count(const FilterStatus& status);

  CallersServerState& shared_;
  net::ip::tcp::socket& socket_;
  ServingStrand& strand_;
  boost::beast::flat_buffer& buffer_;
  Parser parser_;
  CallerWriter writer_;
  CallContext call_;
  Time startedAt_{};
  std::optional<Error> requestError_;
  bool framingLost_ = false;  ///< The end of the request cannot be located in the stream.
};

bool CallerConnection::Exchange::serve(net::yield_context yield) {
  if (!waitForFirstByte(yield)) {
    return false;
  }
  startedAt_ = shared_.services.core.now();
  if (!readRequestHeader(yield)) {
    return false;
  }
  if (requestError_) {
    return refuseBeforeBody(*requestError_, yield);
  }
  const Result<std::uint64_t> limit = bodyLimit();
  if (!limit) {
    return refuseBeforeBody(limit.error(), yield);
  }
  const auto length = parser_.content_length();
  if (length && *length > limit.value()) {
    return refuseBeforeBody(
        makeError(ErrorCode::TooLarge, "the request body exceeds its size limit"), yield);
  }
  parser_.body_limit(limit.value());
  std::optional<ScopedCount> upload;
  if (call_.request.target.kind == CallKind::BatchSubmit) {
    upload.emplace(shared_.batchUploads);
    if (shared_.batchUploads > shared_.limits.maxBatchUploads) {
      return refuseBeforeBody(makeError(ErrorCode::NotReady, "too many batch uploads in progress"),
                              yield);
    }
  }
  if (!readRequestBody(yield)) {
    return false;
  }
  if (requestError_) {
    return refuseBeforeBody(*requestError_, yield);
  }
  call_.request.body = std::move(parser_.get().body());
  return answer(yield);
}

bool CallerConnection::Exchange::waitForFirstByte(net::yield_context yield) {
  if (buffer_.size() > 0) {
    return true;
  }
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(shared_.limits.idleTimeout);
  error_code failed;
  socket_.async_wait(net::ip::tcp::socket::wait_read, yield[failed]);
  return !failed;
}

bool CallerConnection::Exchange::readRequestHeader(net::yield_context yield) {
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(shared_.limits.headerTimeout);
  error_code failed;
  http::async_read_header(socket_, buffer_, parser_, yield[failed]);
  deadline.disarm();
  if (failed == http::error::header_limit || failed == http::error::body_limit) {
    framingLost_ = true;
    requestError_ =
        makeError(ErrorCode::TooLarge, "the request header or body exceeds its size limit");
    return true;
  }
  const bool malformed =
      failed && failed.category() == make_error_code(http::error::bad_method).category();
  if (malformed && failed != http::error::end_of_stream && failed != http::error::partial_message) {
    framingLost_ = true;
    requestError_ = makeError(ErrorCode::InvalidArgument, "malformed HTTP: " + failed.message());
    return true;
  }
  if (failed) {
    return false;
  }
  const Status read = parseHeader(parser_, call_.request);
  if (!read) {
    requestError_ = read.error();
  }
  return true;
}

Result<std::uint64_t> CallerConnection::Exchange::bodyLimit() const {
  const CallKind kind = call_.request.target.kind;
  if (kind == CallKind::Unknown) {
    return makeError(ErrorCode::NotFound, "no such endpoint");
  }
  if (isPublicEndpoint(kind)) {
    return std::uint64_t{0};
  }
  const auto tree = shared_.services.settings.read();
  if (tree == nullptr) {
    return makeError(ErrorCode::NotReady, "no configuration has been verified yet");
  }
  const auto tenant = tree->tenantOfKey(call_.request.bearerKey);
  if (call_.request.bearerKey.empty() || !tenant) {
    return makeError(ErrorCode::Unauthenticated, "a valid bearer key is required");
  }
  if (kind == CallKind::BatchSubmit) {
    return shared_.limits.maxBatchBodyBytes;
  }
  return tree->effective(*tenant, settingsRoute(kind)).maxBodyBytes;
}

bool CallerConnection::Exchange::readRequestBody(net::yield_context yield) {
  if (parser_.is_done()) {
    return true;
  }
  const bool expectsContinue = parser_.get()[http::field::expect] == "100-continue";
  if (expectsContinue && !writer_.writeContinue(yield)) {
    return false;
  }
  const std::uint64_t size = parser_.content_length().value_or(shared_.limits.maxBatchBodyBytes);
  const std::chrono::seconds transferTime(size / shared_.limits.minBodyBytesPerSecond);
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(shared_.limits.bodyTimeout + transferTime);
  error_code failed;
  http::async_read(socket_, buffer_, parser_, yield[failed]);
  deadline.disarm();
  if (failed == http::error::body_limit) {
    framingLost_ = true;
    requestError_ = makeError(ErrorCode::TooLarge, "the request body exceeds its size limit");
    return true;
  }
  return !failed;
}

bool CallerConnection::Exchange::refuseBeforeBody(const Error& error, net::yield_context yield) {
  count(error);
  const auto length = parser_.is_header_done() ? parser_.content_length() : boost::none;
  const bool expects =
      parser_.is_header_done() && parser_.get().find(http::field::expect) != parser_.get().end();
  const bool small = length && *length <= kMaxDiscardedBodyBytes && !expects;
  const bool none = parser_.is_header_done() && parser_.is_done();
  bool keepAlive = false;
  if (!framingLost_ && (small || none)) {
    keepAlive = readRequestBody(yield) && parser_.is_done() && parser_.keep_alive();
  }
  const HttpAnswer refusal = errorAnswer(error, call_.request.requestId);
  if (!writer_.writeAnswer(refusal, keepAlive, yield)) {
    return false;
  }
  if (!keepAlive) {
    lingeringClose(yield);
  }
  return keepAlive;
}

void CallerConnection::Exchange::lingeringClose(net::yield_context yield) {
  error_code failed;
  socket_.shutdown(net::ip::tcp::socket::shutdown_send, failed);
  SocketDeadline deadline(strand_, socket_);
  deadline.arm(shared_.limits.lingerTimeout);
  std::array<char, 4096> discarded;
  while (!failed) {
    socket_.async_read_some(net::buffer(discarded), yield[failed]);
  }
}

bool CallerConnection::Exchange::answer(net::yield_context yield) {
  if (isPublicEndpoint(call_.request.target.kind)) {
    answerPublicEndpoint();
    return writer_.writeAnswer(call_.answer, parser_.keep_alive(), yield) && parser_.keep_alive();
  }
  const ScopedCount active(shared_.activeCalls);
  writer_.onFirstEvent([this]() { observeFirstEvent(); });
  const FilterStatus status = applyFilters(yield);
  count(status);
  return finish(status, yield);
}

FilterStatus CallerConnection::Exchange::applyFilters(net::yield_context yield) {
  const CallerWatch watch(socket_, call_.abort, shared_.services.counters);
  const bool chat = call_.request.target.kind == CallKind::ChatCompletion;
  FilterStatus status =
      chat ? shared_.chatChain.apply(call_, yield) : shared_.batchChain.apply(call_, yield);
  call_.slot.release();
  return status;
}

bool CallerConnection::Exchange::finish(const FilterStatus& status, net::yield_context yield) {
  if (call_.abort.aborted()) {
    return false;
  }
  if (writer_.streamStarted()) {
    return finishStream(status, yield);
  }
  if (!status) {
    call_.answer = errorAnswer(status.error(), call_.request.requestId);
    if (status.error().code == ErrorCode::PoolFull) {
      call_.answer.status = call_.settings.refusalStatus;
      call_.answer.retryAfter = call_.settings.retryAfter;
    }
  }
  const bool keepAlive = shouldKeepAlive();
  return writer_.writeAnswer(call_.answer, keepAlive, yield) && keepAlive;
}

bool CallerConnection::Exchange::finishStream(const FilterStatus& status,
                                              net::yield_context yield) {
  shared_.services.counters.add("serving_events_total", static_cast<double>(writer_.eventCount()));
  if (status && call_.streamed) {
    return writer_.endStream(yield) && shouldKeepAlive();
  }
  const Error error = status ? makeError(ErrorCode::ResponseTruncated,
                                         "the stream ended without a complete answer", Ran::Unknown)
                             : status.error();
  writer_.failStream(error, yield);
  return false;
}

void CallerConnection::Exchange::answerPublicEndpoint() {
  switch (call_.request.target.kind) {
  case CallKind::Ready: {
    const Status ready = checkReady(shared_.services);
    if (!ready) {
      call_.answer = errorAnswer(ready.error(), call_.request.requestId);
    } else {
      call_.answer.body = R"({"status":"ready"})";
    }
    return;
  }
  case CallKind::Metrics:
    call_.answer.contentType = kPrometheusType;
    call_.answer.body = shared_.services.metricsText();
    return;
  default:
    call_.answer.body = R"({"status":"alive"})";
    return;
  }
}

void CallerConnection::Exchange::observeFirstEvent() {
  const Duration waited = shared_.services.core.now() - startedAt_;
  shared_.services.counters.observe("serving_first_event_seconds",
                                    std::chrono::duration<double>(waited).count());
}

void CallerConnection::Exchange::count(const FilterStatus& status) {
  const std::string outcome = status ? "ok" : std::string(errorTypeName(status.error().code));
  const std::string reason =
      status ? ""
             : ": " + status.error().detail + ", ran " + std::string(ranName(status.error().ran));
  shared_.services.journal->record(call_.request.requestId, "outcome", outcome + reason);
  shared_.services.counters.add("serving_calls_" + outcome + "_total", 1);
}

CallerConnection::CallerConnection(CallersServerState& shared, net::ip::tcp::socket socket,
                                   const ServingStrand& strand)
    : shared_(shared), socket_(std::move(socket)), strand_(strand) {
  ++shared_.connections;
}

CallerConnection::~CallerConnection() {
  --shared_.connections;
}

void CallerConnection::run(net::yield_context yield) {
  error_code ignored;
  socket_.set_option(net::ip::tcp::no_delay(true), ignored);
  boost::beast::flat_buffer buffer;
  bool open = true;
  while (open) {
    {
      Exchange exchange(*this, buffer);
      open = exchange.serve(yield);
    }
    shared_.callEnded();
  }
}

}  // namespace shedshed
