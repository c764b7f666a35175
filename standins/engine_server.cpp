#include "standins/engine_server.h"

#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cjson/cJSON.h>
#include <cstdlib>

namespace shedshed::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::size_t kMaxBodyBytes = 4U << 20U;
constexpr std::size_t kCoroutineStackBytes = 256U << 10U;
constexpr std::chrono::milliseconds kFreezePollInterval{20};

/// Status line and one more field of a head that HTTP does not allow.
struct MalformedHead {
  const char* status;
  const char* field;
};

constexpr std::array<MalformedHead, 8> kMalformedHeads = {
    {{"000 S", ""},
     {"099 S", ""},
     {"600 S", ""},
     {"101 S", "Upgrade: x\r\n"},
     {"200 OK", "X Other: 1\r\n"},
     {"200 OK", "X-Other : 1\r\n"},
     {"200 OK", "X-Other: 1\r\n X-Next: 1\r\n"},
     {"200 OK", "Transfer-Encoding: gzip\r\n"}}};

tcp::endpoint endpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const int port = std::atoi(address.c_str() + colon + 1);
  return {asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(port)};
}

std::chrono::steady_clock::duration milliseconds(double value) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(value));
}

double numberOf(const cJSON* json, const char* name, double fallback) {
  const cJSON* item = cJSON_GetObjectItemCaseSensitive(json, name);
  return cJSON_IsNumber(item) ? item->valuedouble : fallback;
}

}  // namespace

/// Serves the requests of one connection in a coroutine.
class EngineServer::Session {
 public:
  Session(EngineServer& engine, tcp::socket socket, asio::yield_context yield)
      : engine_(engine), stream_(std::move(socket)), yield_(yield) {}

  void run() {
    beast::flat_buffer buffer;
    for (;;) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBodyBytes);
      beast::error_code error;
      http::async_read(stream_, buffer, parser, yield_[error]);
      if (error) {
        break;
      }
      sendSurplus();
      fault_ = engine_.drawFault();
      if (!handle(parser.get())) {
        break;
      }
    }
    stream_.close();
  }

 private:
  /// Sends the second copy of the previous response, if there is one.
  void sendSurplus() {
    beast::error_code ignored;
    asio::async_write(stream_, asio::buffer(surplus_), yield_[ignored]);
    surplus_.clear();
  }

  /// Sends bytes of a response, and keeps a copy if the response is to be sent twice.
  template <class Buffers>
  beast::error_code send(const Buffers& buffers) {
    if (fault_ == Fault::Twice) {
      surplus_ += beast::buffers_to_string(buffers);
    }
    beast::error_code error;
    asio::async_write(stream_, buffers, yield_[error]);
    return error;
  }

  /// Returns false if the connection has to be closed.
  bool handle(const Request& request) {
    waitWhileFrozen();
    if (request.target() == "/health") {
      return sendJson(request, http::status::ok, engine_.healthJson());
    }
    if (request.target() == "/log") {
      return sendJson(request, http::status::ok, engine_.logJson());
    }
    if (request.target() == "/control") {
      const bool known = engine_.applyControl(request.body());
      return sendJson(request, known ? http::status::ok : http::status::bad_request,
                      known ? R"({"ok":true})" : R"({"error":"unknown action"})");
    }
    if (request.target() == "/v1/chat/completions") {
      return handleCompletion(request);
    }
    return sendJson(request, http::status::not_found, R"({"error":"not found"})");
  }

  void waitWhileFrozen() {
    while (engine_.frozen()) {
      pause(kFreezePollInterval);
    }
  }

  void pause(std::chrono::steady_clock::duration duration) {
    asio::steady_timer timer(engine_.io_, duration);
    beast::error_code error;
    timer.async_wait(yield_[error]);
  }

  bool sendJson(const Request& request, http::status status, const std::string& body) {
    Response response{status, request.version()};
    response.set(http::field::content_type, "application/json");
    response.set("X-Request-Id", requestIdOf(request));
    response.body() = body;
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    beast::error_code error;
    http::async_write(stream_, response, yield_[error]);
    return !error && request.keep_alive();
  }

  static std::string requestIdOf(const Request& request) {
    return std::string(request["X-Request-Id"]);
  }

  bool handleCompletion(const Request& request) {
    const std::string id = requestIdOf(request);
    const std::size_t recordIndex = engine_.log_.size();
    engine_.log_.push_back({id, "received", {}});
    const std::optional<EngineRequest> parsed = parseEngineRequest(request.body());
    if (!parsed) {
      engine_.log_[recordIndex].outcome = "refused";
      return sendJson(request, http::status::bad_request, R"({"error":"no messages"})");
    }
    engine_.log_[recordIndex].promptDigest = completionTokens(parsed->prompt, 1).front();
    if (fault_ == Fault::Reset) {
      engine_.log_[recordIndex].outcome = "reset";
      stream_.socket().set_option(asio::socket_base::linger(true, 0));
      return false;
    }
    engine_.acquireCapacity(yield_);
    const bool keepAlive = executeRequest(request, *parsed, id, recordIndex);
    engine_.releaseCapacity();
    return keepAlive;
  }

  bool executeRequest(const Request& request, const EngineRequest& parsed, const std::string& id,
                      std::size_t recordIndex) {
    engine_.log_[recordIndex].outcome = "running";
    std::size_t blocks = 0;
    const std::size_t cached = engine_.cache_.touch(parsed.prompt, &blocks);
    pause(milliseconds(engine_.profile_.prefillMsPerBlock * static_cast<double>(blocks - cached) *
                       engine_.slowFactor_));
    if (fault_ == Fault::Late) {
      pause(milliseconds(engine_.responseDelaySeconds_ * 1000));
    }
    const std::string responseId = fault_ == Fault::Cross ? "crossed-" + id : id;
    const std::uint32_t count =
        parsed.maxTokens != 0 ? parsed.maxTokens : engine_.profile_.defaultTokens;
    const std::vector<std::string> tokens = completionTokens(parsed.prompt, count);
    if (fault_ == Fault::Error) {
      engine_.log_[recordIndex].outcome = "failed";
      return sendJson(request, http::status::internal_server_error, R"({"error":"injected"})");
    }
    if (fault_ == Fault::Malformed) {
      engine_.log_[recordIndex].outcome = "broken";
      sendMalformed(id, tokens);
      return false;
    }
    const bool sent = parsed.stream ? streamCompletion(request, responseId, tokens)
                                    : sendCompletion(request, responseId, tokens);
    engine_.log_[recordIndex].outcome = sent ? "done" : "broken";
    return sent && request.keep_alive();
  }

  double tokenMilliseconds() const {
    return engine_.profile_.decodeMsPerToken * engine_.slowFactor_;
  }

  bool sendCompletion(const Request& request, const std::string& id,
                      const std::vector<std::string>& tokens) {
    pause(milliseconds(tokenMilliseconds() * static_cast<double>(tokens.size())));
    waitWhileFrozen();
    Response response{http::status::ok, request.version()};
    response.set(http::field::content_type, "application/json");
    response.set("X-Request-Id", id);
    response.body() = completionJson(id, engine_.profile_.model, tokens);
    response.prepare_payload();
    if (fault_ == Fault::Cut) {
      writeTruncated(response);
      return false;
    }
    std::ostringstream text;
    text << response;
    return !send(asio::buffer(text.str()));
  }

  /// Sends a completion under a head that HTTP does not allow; the caller then closes the
  /// connection.
  void sendMalformed(const std::string& id, const std::vector<std::string>& tokens) {
    std::uniform_int_distribution<std::size_t> heads(0, kMalformedHeads.size() - 1);
    const MalformedHead& head = kMalformedHeads[heads(engine_.random_)];
    const std::string body = completionJson(id, engine_.profile_.model, tokens);
    const std::string text = std::string("HTTP/1.1 ") + head.status +
                             "\r\nContent-Type: application/json\r\nX-Request-Id: " + id +
                             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
                             head.field + "\r\n" + body;
    beast::error_code ignored;
    asio::async_write(stream_, asio::buffer(text), yield_[ignored]);
  }

  /// Writes the header and half of the body; the caller then closes the connection.
  void writeTruncated(const Response& response) {
    std::ostringstream text;
    text << response;
    const std::string bytes = text.str();
    const std::size_t length = bytes.size() - response.body().size() / 2;
    beast::error_code error;
    asio::async_write(stream_, asio::buffer(bytes.data(), length), yield_[error]);
  }

  bool streamCompletion(const Request& request, const std::string& id,
                        const std::vector<std::string>& tokens) {
    http::response<http::empty_body> header{http::status::ok, request.version()};
    header.set(http::field::content_type, "text/event-stream");
    header.set("X-Request-Id", id);
    header.chunked(true);
    std::ostringstream head;
    head << header.base();
    beast::error_code error = send(asio::buffer(head.str()));
    for (std::size_t i = 0; i < tokens.size() && !error; ++i) {
      pause(milliseconds(tokenMilliseconds()));
      waitWhileFrozen();
      if (fault_ == Fault::Cut && i >= engine_.cutAfterEvents_) {
        return false;
      }
      const bool last = i + 1 == tokens.size();
      error = writeEvent(chunkJson(id, engine_.profile_.model, tokens[i], last));
    }
    if (!error) {
      error = writeEvent("[DONE]");
    }
    if (!error) {
      error = send(http::make_chunk_last());
    }
    return !error;
  }

  beast::error_code writeEvent(const std::string& data) {
    const std::string event = "data: " + data + "\n\n";
    return send(http::make_chunk(asio::buffer(event)));
  }

  EngineServer& engine_;
  Fault fault_ = Fault::None;  ///< Of the current request.
  std::string surplus_;        ///< Copy of the last response that is still to be sent.
  beast::tcp_stream stream_;
  asio::yield_context yield_;
};

EngineServer::EngineServer(asio::io_context& io, EngineProfile profile)
    : io_(io), profile_(std::move(profile)), cache_(profile_.cacheBlocks), acceptor_(io) {}

void EngineServer::listen(const std::string& address) {
  const tcp::endpoint endpoint = endpointOf(address);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  acceptNext();
}

void EngineServer::acceptNext() {
  acceptor_.async_accept([this](const beast::error_code& error, tcp::socket socket) {
    if (!error) {
      socket.set_option(tcp::no_delay(true));
      auto shared = std::make_shared<tcp::socket>(std::move(socket));
      asio::spawn(
          io_,
          [this, shared](asio::yield_context yield) {
            Session(*this, std::move(*shared), yield).run();
          },
          boost::coroutines::attributes(kCoroutineStackBytes));
    }
    acceptNext();
  });
}

bool EngineServer::acquireCapacity(asio::yield_context yield) {
  if (running_ < profile_.maxRunning) {
    ++running_;
    return true;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, asio::steady_timer::time_point::max());
  waiting_.push_back(timer);
  beast::error_code error;
  timer->async_wait(yield[error]);
  return true;
}

void EngineServer::releaseCapacity() {
  if (waiting_.empty()) {
    --running_;
    return;
  }
  // The oldest waiting request takes over the capacity, so `running_` does not change.
  const std::shared_ptr<asio::steady_timer> first = waiting_.front();
  waiting_.pop_front();
  first->cancel();
}

bool EngineServer::applyControl(const std::string& body) {
  const std::unique_ptr<cJSON, void (*)(cJSON*)> json(
      cJSON_ParseWithLength(body.data(), body.size()), &cJSON_Delete);
  const cJSON* item = cJSON_GetObjectItemCaseSensitive(json.get(), "action");
  const std::string action = cJSON_IsString(item) ? item->valuestring : "";
  faultShare_ = numberOf(json.get(), "share", 1);
  if (action == "drain" || action == "undrain") {
    draining_ = action == "drain";
  } else if (action == "crash") {
    std::_Exit(1);
  } else if (action == "freeze") {
    frozenUntil_ =
        std::chrono::steady_clock::now() + milliseconds(1000 * numberOf(json.get(), "seconds", 10));
  } else if (action == "slow") {
    slowFactor_ = numberOf(json.get(), "factor", 10);
  } else if (action == "late") {
    fault_ = Fault::Late;
    responseDelaySeconds_ = numberOf(json.get(), "seconds", 10);
  } else if (action == "cut") {
    fault_ = Fault::Cut;
    cutAfterEvents_ = static_cast<std::uint32_t>(numberOf(json.get(), "after_events", 3));
  } else if (action == "cross") {
    fault_ = Fault::Cross;
  } else if (action == "reset") {
    fault_ = Fault::Reset;
  } else if (action == "error") {
    fault_ = Fault::Error;
  } else if (action == "malformed") {
    fault_ = Fault::Malformed;
  } else if (action == "twice") {
    fault_ = Fault::Twice;
  } else if (action == "normal") {
    fault_ = Fault::None;
    slowFactor_ = 1;
  } else {
    return false;
  }
  return true;
}

Fault EngineServer::drawFault() {
  return std::uniform_real_distribution<double>()(random_) < faultShare_ ? fault_ : Fault::None;
}

std::string EngineServer::healthJson() const {
  return std::string(R"({"status":")") + (draining_ ? "draining" : "ready") + R"(","running":)" +
         std::to_string(running_) + R"(,"max_running":)" + std::to_string(profile_.maxRunning) +
         R"(,"model":")" + profile_.model + R"("})";
}

std::string EngineServer::logJson() const {
  std::string text = R"({"runs":[)";
  for (std::size_t i = 0; i < log_.size(); ++i) {
    text += i == 0 ? "" : ",";
    text += R"({"request_id":")" + log_[i].requestId + R"(","outcome":")" + log_[i].outcome +
            R"(","prompt_digest":")" + log_[i].promptDigest + R"("})";
  }
  return text + "]}";
}

bool EngineServer::frozen() const {
  return std::chrono::steady_clock::now() < frozenUntil_;
}

}  // namespace shedshed::standin
