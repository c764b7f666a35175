#include "standins/load_caller.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cjson/cJSON.h>
#include <cstdlib>
#include <memory>

namespace shedshed::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr int kHttpVersion = 11;
constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;
constexpr std::size_t kReadBytes = 16U << 10U;
/// Trailing bytes of the stream kept to find a marker that is split across two reads.
constexpr std::size_t kStreamTailBytes = 64;

tcp::endpoint endpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const int port = std::atoi(address.c_str() + colon + 1);
  return {asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(port)};
}

std::uint64_t microsecondsSince(Clock::time_point begin) {
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin);
  return static_cast<std::uint64_t>(std::max<std::int64_t>(1, elapsed.count()));
}

std::string bodyOf(const PlannedCall& call) {
  const std::unique_ptr<cJSON, decltype(&cJSON_Delete)> root(cJSON_CreateObject(), &cJSON_Delete);
  const CallerClass& callerClass = *call.callerClass;
  cJSON_AddStringToObject(root.get(), "model", callerClass.model.c_str());
  cJSON_AddBoolToObject(root.get(), "stream", callerClass.stream);
  cJSON_AddNumberToObject(root.get(), "max_tokens", callerClass.maxTokens);
  cJSON* message = cJSON_CreateObject();
  cJSON_AddStringToObject(message, "role", "user");
  cJSON_AddStringToObject(message, "content", call.prompt.c_str());
  cJSON_AddItemToArray(cJSON_AddArrayToObject(root.get(), "messages"), message);
  char* text = cJSON_PrintUnformatted(root.get());
  std::string body = text;
  cJSON_free(text);
  return body;
}

/// Returns the `error.type` of an error response, or "status_N" without one.
std::string errorTypeOf(const std::string& body, int status) {
  const std::unique_ptr<cJSON, decltype(&cJSON_Delete)> root(
      cJSON_ParseWithLength(body.data(), body.size()), &cJSON_Delete);
  const cJSON* error = cJSON_GetObjectItemCaseSensitive(root.get(), "error");
  const cJSON* type = cJSON_GetObjectItemCaseSensitive(error, "type");
  return cJSON_IsString(type) ? type->valuestring : "status_" + std::to_string(status);
}

/// Sends one request and reads its response.
class Exchange {
 public:
  Exchange(asio::io_context& io, asio::yield_context yield, const PlannedCall& call,
           Clock::time_point arrival, ClassResults& classResults)
      : stream_(io), yield_(yield), call_(call), arrival_(arrival), classResults_(classResults) {
    record_.arrivedSeconds = call.arrivedSeconds;
    parser_.body_limit(kMaxBodyBytes);
  }

  CallRecord run(Clock::duration timeout) {
    stream_.expires_at(arrival_ + timeout);
    record_.outcome = exchange();
    record_.totalMicroseconds = microsecondsSince(arrival_);
    return record_;
  }

 private:
  std::string exchange() {
    beast::error_code error;
    stream_.async_connect(endpointOf(call_.target), yield_[error]);
    if (error) {
      return "connect";
    }
    stream_.socket().set_option(tcp::no_delay(true), error);
    if (!send() || !readHeader()) {
      return failure();
    }
    const bool succeeded = record_.status == static_cast<int>(http::status::ok);
    const bool bodyComplete = readBody(succeeded);
    if (succeeded) {
      return bodyComplete && (!call_.callerClass->stream || streamDone_) ? "ok" : failure();
    }
    return errorTypeOf(errorBody_, record_.status);
  }

  std::string failure() const { return timedOut_ ? "timeout" : "broken"; }

  bool send() {
    http::request<http::string_body> request{http::verb::post, "/v1/chat/completions",
                                             kHttpVersion};
    request.set(http::field::host, call_.target);
    request.set(http::field::content_type, "application/json");
    request.set(http::field::authorization, "Bearer " + call_.callerClass->key);
    request.set("X-Request-Id", call_.requestId);
    request.body() = bodyOf(call_);
    request.prepare_payload();
    beast::error_code error;
    http::async_write(stream_, request, yield_[error]);
    return checkError(error);
  }

  bool readHeader() {
    beast::error_code error;
    http::async_read_header(stream_, buffer_, parser_, yield_[error]);
    record_.status = static_cast<int>(parser_.get().result_int());
    record_.requestId = std::string(parser_.get()["X-Request-Id"]);
    record_.retryAfter = parser_.get().find(http::field::retry_after) != parser_.get().end();
    return checkError(error);
  }

  bool readBody(bool succeeded) {
    while (!parser_.is_done()) {
      parser_.get().body().data = readBuffer_;
      parser_.get().body().size = sizeof(readBuffer_);
      beast::error_code error;
      http::async_read_some(stream_, buffer_, parser_, yield_[error]);
      const std::size_t length = sizeof(readBuffer_) - parser_.get().body().size;
      if (length > 0) {
        handleBody(std::string(readBuffer_, length), succeeded);
      }
      if (error && error != http::error::need_buffer) {
        return checkError(error);
      }
    }
    return true;
  }

  void handleBody(const std::string& bytes, bool succeeded) {
    if (!succeeded) {
      errorBody_ += bytes;
      return;
    }
    if (!call_.callerClass->stream) {
      recordToken();
      return;
    }
    streamTail_ += bytes;
    if (streamTail_.find("data: [DONE]") != std::string::npos) {
      streamDone_ = true;
    }
    if (bytes.find("\"choices\"") != std::string::npos) {
      recordToken();
    }
    if (streamTail_.size() > kStreamTailBytes) {
      streamTail_.erase(0, streamTail_.size() - kStreamTailBytes);
    }
  }

  void recordToken() {
    if (record_.firstTokenMicroseconds == 0) {
      record_.firstTokenMicroseconds = microsecondsSince(arrival_);
    } else {
      classResults_.addBetweenTokens(microsecondsSince(lastToken_));
    }
    lastToken_ = Clock::now();
  }

  /// Remembers a timeout. Returns true if there was no error.
  bool checkError(const beast::error_code& error) {
    timedOut_ = timedOut_ || error == beast::error::timeout;
    return !error;
  }

  beast::tcp_stream stream_;
  asio::yield_context yield_;
  const PlannedCall& call_;
  const Clock::time_point arrival_;
  ClassResults& classResults_;
  CallRecord record_;
  beast::flat_buffer buffer_;
  http::response_parser<http::buffer_body> parser_;
  char readBuffer_[kReadBytes];
  std::string errorBody_;   ///< Body of an error response.
  std::string streamTail_;  ///< Last bytes of the event stream.
  bool streamDone_ = false;
  bool timedOut_ = false;
  Clock::time_point lastToken_{};
};

}  // namespace

void makeCall(asio::io_context& io, asio::yield_context yield, const PlannedCall& call,
              Clock::time_point arrival, Clock::duration timeout, ClassResults& results) {
  const auto exchange = std::make_unique<Exchange>(io, yield, call, arrival, results);
  results.add(exchange->run(timeout));
}

}  // namespace shedshed::standin
