// Fixture for loopback tests of the serving path: a real server with fake engines and fake cores.
#pragma once

#include "fake_engine.h"
#include "serving/callers_server.h"
#include "serving/engine_calls.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <map>

namespace shedshed::test {

// Runs tasks on one thread, like the core thread of a node.
class CoreThread : public CoreExecutor {
 public:
  CoreThread() : thread_([this]() { run(); }) {}
  ~CoreThread() override { stop(); }
  void post(std::function<void()> task) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    tasks_.push_back(std::move(task));
    changed_.notify_all();
  }
  Time now() const override { return Time(std::chrono::steady_clock::now().time_since_epoch()); }
  // Runs the queued tasks and stops the thread.
  void stop() {
    if (thread_.joinable()) {
      post(nullptr);
      thread_.join();
    }
  }

 private:
  void run() {
    while (true) {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this]() { return !tasks_.empty(); });
      const auto task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      if (!task) {
        return;
      }
      task();
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  std::thread thread_;
};

class FakeSlots : public SlotClient {
 public:
  void acquire(SlotRequest request, std::function<void(Result<SlotGrant>)> done) override {
    lastRequest = request;
    if (holdNext.exchange(false)) {
      resumeHeld.set_value([this, request, done]() { acquire(request, done); });
      return;
    }
    if (full) {
      done(makeError(ErrorCode::PoolFull));
      return;
    }
    const std::uint64_t id = ++granted;
    releases[id] = 0;
    done(SlotGrant{id, {}});
  }
  void release(std::uint64_t grantId) override { ++releases[grantId]; }

  std::atomic<bool> full{false};
  std::atomic<bool> holdNext{false};               // Suspends the next request.
  std::promise<std::function<void()>> resumeHeld;  // Resumes it; call on the core thread.
  std::uint64_t granted = 0;
  std::map<std::uint64_t, int> releases;
  SlotRequest lastRequest;
};

class FakeBatches : public BatchClient {
 public:
  using StatusDone = std::function<void(Result<BatchStatus>)>;
  void submit(BatchSubmission submission, StatusDone done) override {
    last = submission;
    BatchStatus status{"b1", submission.tenant, submission.items.size(), submission.items.size()};
    done(status);
  }
  void status(const std::string& tenant, const std::string& id, StatusDone done) override {
    if (id != "b1") {
      done(makeError(ErrorCode::NotFound));
      return;
    }
    done(BatchStatus{id, tenant, 2, 1, 0, 1});
  }
  void results(const std::string&, const std::string&, std::uint64_t from, std::uint32_t limit,
               std::function<void(Result<ResultPage>)> done) override {
    ResultPage page;
    page.results.push_back({from, ItemState::Done, R"({"id":"x"})", ""});
    page.results.push_back({from + 1, ItemState::Unknown, "", "outcome_unknown"});
    page.next = from + limit;
    page.complete = true;
    done(page);
  }
  void unfinished(const std::string&, const std::string&, std::uint64_t from, std::uint32_t,
                  std::function<void(Result<std::vector<UnfinishedItem>>)> done) override {
    done(std::vector<UnfinishedItem>{{from, ItemState::Started, R"({"model":"m"})"}});
  }
  void itemBody(const std::string&, const std::string&, const std::string&,
                std::function<void(Result<std::string>)> done) override {
    done(makeError(ErrorCode::NotFound));
  }
  void cancel(const std::string& tenant, const std::string& id, StatusDone done) override {
    status(tenant, id, done);
  }
  BatchSubmission last;
};

class FakeConfiguration : public ConfigurationSource {
 public:
  void subscribe(const std::string&, std::function<void(const RegisterValue&)>) override {}
  RegisterValue current(const std::string&) const override { return {}; }
  Time freshUntil() const override { return fresh ? Time::max() : Time::min(); }
  std::atomic<bool> fresh{true};
};

class FakeEngineSource : public EngineSource {
 public:
  std::shared_ptr<const EngineTable> table() const override { return engines; }
  void addListener(std::function<void(const EngineTable&)>) override {}
  std::shared_ptr<EngineTable> engines = std::make_shared<EngineTable>();
};

class FakeCounters : public ServingCounters {
 public:
  void add(std::string_view name, double amount) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    values_[std::string(name)] += amount;
    changed_.notify_all();
  }
  void waitFor(const std::string& name) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&]() { return values_[name] > 0; });
  }
  void observe(std::string_view name, double) override { add(name, 1); }
  double value(const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return values_[name];
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, double> values_;
};

struct CallerAnswer {
  int status = 0;
  std::string body;
  std::string retryAfter;
  std::string requestId;
  bool whole = false;  // The HTTP message was complete.
  bool has(const std::string& text) const { return body.find(text) != std::string::npos; }
};

// Blocking HTTP client with one connection.
class Caller {
 public:
  explicit Caller(std::uint16_t port) : socket_(io_) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  }
  void send(const std::string& method, const std::string& target, const std::string& body,
            const std::string& headers = {}, const std::string& key = "key-a") {
    const std::string text =
        method + " " + target + " HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer " + key + "\r\n" +
        headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    sendText(text);
  }
  void sendText(const std::string& text) { boost::asio::write(socket_, boost::asio::buffer(text)); }
  CallerAnswer read() {
    namespace http = boost::beast::http;
    http::response_parser<http::string_body> parser;
    boost::system::error_code failed;
    http::read(socket_, buffer_, parser, failed);
    const auto& message = parser.get();
    return {parser.is_header_done() ? static_cast<int>(message.result_int()) : 0, message.body(),
            std::string(message["Retry-After"]), std::string(message["X-Request-Id"]),
            !failed && parser.is_done()};
  }
  CallerAnswer chat(bool stream = false, const std::string& headers = {},
                    const std::string& key = "key-a") {
    send("POST", "/v1/chat/completions", chatBody(stream), headers, key);
    return read();
  }
  CallerAnswer get(const std::string& target) {
    send("GET", target, "");
    return read();
  }
  void close() { socket_.close(); }
  static std::string chatBody(bool stream) {
    return std::string(R"({"model":"m","messages":[{"role":"user","content":"hi"}],"stream":)") +
           (stream ? "true}" : "false}");
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
};

inline const char* kRepeatable = "X-Repeatable: true\r\n";

// A server with two engines. Its destructor checks that every granted slot was released exactly
// once.
struct ServingFixture {
  ServingFixture() {
    publish(false);
    for (int i = 0; i < 2; ++i) {
      source.engines->engines.push_back(
          {"e" + std::to_string(i), engine[i].address(), "m", 8, 0, EngineState::Ready});
    }
    BOOST_REQUIRE(server.start());
    threads.start(2);
  }
  ~ServingFixture() {
    threads.stop();
    core.stop();
    for (const auto& entry : slots.releases) {
      BOOST_TEST(entry.second == 1, "grant " << entry.first << " released " << entry.second);
    }
  }
  void publish(bool withdrawn) {
    const std::string json =
        R"({"fleet":{"per_s":5,"burst":2},"tenants":{"acme":{"refusal_status":503,"retry_after_s":7,)"
        R"("max_body_bytes":4096,"max_batch_items":3,"keys":[{"digest":")" +
        SettingsTree::digestOfKey("key-a") + R"(","withdrawn":)" + (withdrawn ? "true" : "false") +
        "}]}}}";
    auto tree = SettingsTree::parse(json);
    BOOST_REQUIRE_MESSAGE(tree, "the settings were rejected");
    settings.publish(std::make_shared<SettingsTree>(std::move(tree.value())));
  }
  std::size_t runs() { return engine[0].runs().size() + engine[1].runs().size(); }
  std::size_t engineConnections() { return engine[0].connections() + engine[1].connections(); }
  void failBoth(Fault fault) {
    engine[0].fail(fault);
    engine[1].fail(fault);
  }
  // Returns the engine that the next chat call is routed to.
  FakeEngine& nextEngine() {
    const RouteQuery query{"m", hashPromptBlocks("m", "user\nhi\n"), 1.25, {}};
    const std::string chosen = router.choose(*source.engines, query, core.now()).value().engine;
    router.finish(chosen, ExchangeOutcome::Inconclusive, core.now());
    return engine[chosen == "e0" ? 0 : 1];
  }

  FakeEngine engine[2];
  CoreThread core;
  FakeSlots slots;
  FakeBatches batches;
  FakeConfiguration configuration;
  FakeEngineSource source;
  FakeCounters counters;
  Snapshot<SettingsTree> settings{nullptr};
  ServingThreads threads;
  Router router;
  EngineTimeouts timeouts{std::chrono::seconds(1), std::chrono::seconds(10),
                          std::chrono::seconds(10)};
  EngineClient client{threads, core, source, router, counters, timeouts};
  ServingServices services{threads,       core,     settings,
                           configuration, slots,    batches,
                           client,        counters, [] { return std::string("metric 1\n"); }};
  CallersServer server{services, "127.0.0.1:0"};
};

}  // namespace shedshed::test
