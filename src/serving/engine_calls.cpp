#include "serving/engine_calls.h"

#include "serving/body_json.h"
#include "serving/chat_request.h"
#include "serving/request_id.h"

namespace shedshed {
namespace {

constexpr const char* kBatchRoute = "/v1/batches";
constexpr int kOk = 200;

/// Buffers a health response. Does not check the request id, which health responses need not echo.
class HealthReader : public EngineAnswerReader {
 public:
  Status onHeader(const EngineHttpHeader& header) override {
    status_ = header.status;
    return okStatus();
  }
  Status onBody(std::string_view bytes, boost::asio::yield_context) override {
    body_.append(bytes);
    if (body_.size() > kMaxHealthBytes) {
      return makeError(ErrorCode::TooLarge, "the health response exceeds its size limit");
    }
    return okStatus();
  }

  EngineHealth health() const {
    const Result<JsonDocument> document = parseBodyObject(body_);
    EngineHealth health;
    if (status_ != kOk || !document) {
      return health;
    }
    health.reachable = true;
    health.draining = textMember(document.value().root(), "status") != "ready";
    health.running = unsignedMember(document.value(), "running");
    health.maxRunning = unsignedMember(document.value(), "max_running");
    return health;
  }

 private:
  /// Largest health response, in bytes.
  static constexpr std::size_t kMaxHealthBytes = 16U << 10U;

  static std::uint32_t unsignedMember(const JsonDocument& document, const char* name) {
    const cJSON* member = jsonMember(document.root(), name);
    if (!cJSON_IsNumber(member) || member->valueint < 0) {
      return 0;
    }
    return static_cast<std::uint32_t>(member->valueint);
  }

  int status_ = 0;
  std::string body_;
};

}  // namespace

void HttpEngineRunner::run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) {
  const ServingStrand strand = threads_.makeStrand();
  auto body = [this, strand, call = std::move(call),
               done = std::move(done)](boost::asio::yield_context yield) {
    auto result = std::make_shared<Result<EngineAnswer>>(runItem(call, strand, yield));
    core_.post([done, result]() { done(std::move(*result)); });
  };
  threads_.spawn(strand, std::move(body));
}

Result<EngineAnswer> HttpEngineRunner::runItem(const EngineCall& call, const ServingStrand& strand,
                                               boost::asio::yield_context yield) {
  Result<std::string> body = disableStreaming(call.body);
  if (!body) {
    return body.error();
  }
  Result<ChatRequest> chat = parseChatRequest(body.value());
  if (!chat) {
    return chat.error();
  }
  EngineRequest request;
  request.requestId = call.requestId;
  request.model = call.model;
  request.body = std::move(body.value());
  request.prompt = std::move(chat.value().prompt);
  request.onAttempt = [this, onAttempt = call.onAttempt](const EngineAttempt& attempt) {
    core_.post([onAttempt, attempt] { onAttempt(attempt); });
  };
  const auto tree = settings_.read();
  if (tree != nullptr) {
    request.loadBound = tree->effective({}, kBatchRoute).routingLoadBound;
  }
  CallAbort noAbort;
  return client_.run(request, nullptr, noAbort, strand, yield);
}

void HttpEngineProbe::probe(const std::string& address, std::function<void(EngineHealth)> done) {
  const ServingStrand strand = threads_.makeStrand();
  auto body = [this, strand, address, done = std::move(done)](boost::asio::yield_context yield) {
    const EngineHealth health = readHealth(address, strand, yield);
    core_.post([done, health]() { done(health); });
  };
  threads_.spawn(strand, std::move(body));
}

EngineHealth HttpEngineProbe::readHealth(const std::string& address, const ServingStrand& strand,
                                         boost::asio::yield_context yield) {
  CallAbort noAbort;
  EngineConnection connection(threads_.io());
  const Status connected = connection.connect(address, timeouts_, noAbort, strand, yield);
  if (!connected) {
    return {};
  }
  HealthReader reader;
  const EngineHttpRequest request{"GET", "/health", makeRequestId(), {}};
  const Status read = connection.exchange(request, reader, timeouts_, noAbort, strand, yield);
  return read ? reader.health() : EngineHealth{};
}

}  // namespace shedshed
