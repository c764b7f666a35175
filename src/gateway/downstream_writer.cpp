#include "gateway/downstream_writer.h"

#include "serving/socket_deadline.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <utility>

namespace shedshed {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr Duration kWriteTimeout = std::chrono::seconds(10);

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

/// Formats seconds with two decimal places.
std::string formatSeconds(Duration duration) {
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.2f",
                                 std::chrono::duration<double>(duration).count());
  return std::string(text.data(), static_cast<std::size_t>(size));
}

}  // namespace

bool DownstreamWriter::write(const std::string& bytes, net::yield_context yield) {
  error_code failed;
  std::size_t sent = socket_.write_some(net::buffer(bytes), failed);
  if (failed == net::error::would_block || failed == net::error::try_again) {
    failed = {};
    sent = 0;
  }
  if (!failed && sent < bytes.size()) {
    SocketDeadline deadline(strand_, socket_);
    deadline.arm(kWriteTimeout);
    net::async_write(socket_, net::buffer(bytes) + sent, yield[failed]);
  }
  return !failed;
}

void DownstreamWriter::onHead(const ResponseHead& head) {
  if (headReceived_) {
    return;
  }
  headReceived_ = true;
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

Status DownstreamWriter::onBytes(std::string_view bytes, net::yield_context yield) {
  std::array<char, 20> size{};
  const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk = std::move(pendingHead_);
  pendingHead_.clear();
  chunk.append(size.data(), static_cast<std::size_t>(digits)).append(bytes).append("\r\n");
  streamStarted_ = true;
  if (!write(chunk, yield)) {
    return makeError(ErrorCode::Cancelled, "the client has disconnected", Ran::Unknown);
  }
  return okStatus();
}

bool DownstreamWriter::endStream(net::yield_context yield) {
  return write(std::exchange(pendingHead_, {}) + "0\r\n\r\n", yield);
}

bool DownstreamWriter::writeContinue(net::yield_context yield) {
  return write("HTTP/1.1 100 Continue\r\n\r\n", yield);
}

bool DownstreamWriter::writeAnswer(const GatewayAnswer& answer, bool keepAlive,
                                   net::yield_context yield) {
  std::string text = statusLine(answer.status);
  for (const HeaderField& field : answer.headers) {
    appendHeader(text, field.name, field.value);
  }
  if (answer.retryAfter) {
    appendHeader(text, "Retry-After", formatSeconds(*answer.retryAfter));
  }
  appendHeader(text, "Content-Length", std::to_string(answer.body.size()));
  if (!keepAlive) {
    appendHeader(text, "Connection", "close");
  }
  text.append("\r\n").append(answer.body);
  return write(text, yield);
}

}  // namespace shedshed
