#include "serving/caller_writer.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace shedshed {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr unsigned kHttpVersion = 11;

std::string formatSeconds(Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration).count();
  return std::to_string(std::max<std::int64_t>(seconds, 1));
}

void appendEvent(std::uint64_t number, const std::string& data, std::string& text) {
  text += "id: " + std::to_string(number) + "\ndata: ";
  for (const char byte : data) {
    text.push_back(byte);
    if (byte == '\n') {
      text += "data: ";
    }
  }
  text += "\n\n";
}

}  // namespace

bool CallerWriter::writeAnswer(const HttpAnswer& answer, bool keepAlive,
                               boost::asio::yield_context yield) {
  http::response<http::string_body> response;
  response.version(kHttpVersion);
  response.result(static_cast<unsigned>(answer.status));
  response.set(http::field::content_type, answer.contentType);
  response.set(kRequestIdHeader, requestId_);
  if (answer.retryAfter) {
    response.set(http::field::retry_after, formatSeconds(*answer.retryAfter));
  }
  response.keep_alive(keepAlive);
  response.body() = answer.body;
  response.prepare_payload();
  error_code failed;
  deadline_.arm(writeTimeout_);
  http::async_write(socket_, response, yield[failed]);
  deadline_.disarm();
  return !failed;
}

bool CallerWriter::writeContinue(boost::asio::yield_context yield) {
  return writeText("HTTP/1.1 100 Continue\r\n\r\n", yield);
}

Status CallerWriter::onEvents(const std::vector<std::string>& events,
                              boost::asio::yield_context yield) {
  const auto callerUnreachable = [] {
    return makeError(ErrorCode::Cancelled, "the caller has disconnected", Ran::Unknown);
  };
  if (!streamStarted_ && !startStream(yield)) {
    return callerUnreachable();
  }
  std::string text;
  for (const std::string& event : events) {
    appendEvent(nextEvent_, event, text);
    ++nextEvent_;
  }
  if (!writeChunk(text, yield)) {
    return callerUnreachable();
  }
  return okStatus();
}

bool CallerWriter::startStream(boost::asio::yield_context yield) {
  streamStarted_ = true;
  if (onFirstEvent_) {
    onFirstEvent_();
  }
  http::response<http::empty_body> response;
  response.version(kHttpVersion);
  response.result(http::status::ok);
  response.set(http::field::content_type, "text/event-stream");
  response.set(http::field::cache_control, "no-store");
  response.set(kRequestIdHeader, requestId_);
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  error_code failed;
  deadline_.arm(writeTimeout_);
  http::async_write_header(socket_, serializer, yield[failed]);
  deadline_.disarm();
  return !failed;
}

bool CallerWriter::writeChunk(const std::string& text, boost::asio::yield_context yield) {
  error_code failed;
  deadline_.arm(writeTimeout_);
  boost::asio::async_write(socket_, http::make_chunk(boost::asio::buffer(text)), yield[failed]);
  deadline_.disarm();
  return !failed;
}

bool CallerWriter::writeText(const std::string& text, boost::asio::yield_context yield) {
  error_code failed;
  deadline_.arm(writeTimeout_);
  boost::asio::async_write(socket_, boost::asio::buffer(text), yield[failed]);
  deadline_.disarm();
  return !failed;
}

bool CallerWriter::endStream(boost::asio::yield_context yield) {
  return writeText("0\r\n\r\n", yield);
}

bool CallerWriter::failStream(const Error& error, boost::asio::yield_context yield) {
  return writeChunk("event: error\ndata: " + errorJson(error, requestId_) + "\n\n", yield);
}

}  // namespace shedshed
