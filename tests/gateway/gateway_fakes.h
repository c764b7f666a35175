/// Fakes of the services that the gateway depends on.
#pragma once

#include "gateway/gateway_services.h"

namespace shedshed::test {

class FixedEngines : public EngineSource {
 public:
  std::shared_ptr<const EngineTable> table() const override { return engines; }
  void addListener(std::function<void(const EngineTable&)>) override {}
  std::shared_ptr<EngineTable> engines = std::make_shared<EngineTable>();
};

class SteadyExecutor : public CoreExecutor {
 public:
  void post(std::function<void()> task) override { task(); }
  Time now() const override { return Time(std::chrono::steady_clock::now().time_since_epoch()); }
};

class NoCounters : public ServingCounters {
 public:
  void add(std::string_view, double) override {}
  void observe(std::string_view, double) override {}
};

class NoStream : public StreamSink {
 public:
  void onHead(const ResponseHead&) override {}
  Status onBytes(std::string_view, boost::asio::yield_context) override { return okStatus(); }
};

class FakeConfiguration : public ConfigurationSource {
 public:
  void subscribe(const std::string&, std::function<void(const RegisterValue&)>) override {}
  RegisterValue current(const std::string&) const override { return {}; }
  Time freshUntil() const override { return until; }
  Time until = Time::min();
};

class NoDirectory : public Directory {
 public:
  std::shared_ptr<const NodeTable> table() const override { return nodes; }
  void addListener(std::function<void(const NodeTable&)>) override {}
  void announceDraining(bool) override {}
  std::shared_ptr<NodeTable> nodes = std::make_shared<NodeTable>();
};

/// Rejects every request for slots.
class NoSlots : public SlotClient {
 public:
  void acquire(SlotRequest, std::function<void(Result<SlotGrant>)> done) override {
    done(makeError(ErrorCode::PoolFull));
  }
  void release(std::uint64_t) override {}
};

/// Knows no batch.
class NoBatches : public BatchClient {
 public:
  using StatusDone = std::function<void(Result<BatchStatus>)>;
  void submit(BatchSubmission, StatusDone done) override {
    done(makeError(ErrorCode::StoreUnavailable));
  }
  void status(const std::string&, const std::string&, StatusDone done) override {
    done(makeError(ErrorCode::NotFound));
  }
  void results(const std::string&, const std::string&, std::uint64_t, std::uint32_t,
               std::function<void(Result<ResultPage>)> done) override {
    done(makeError(ErrorCode::NotFound));
  }
  void unfinished(const std::string&, const std::string&, std::uint64_t, std::uint32_t,
                  std::function<void(Result<std::vector<UnfinishedItem>>)> done) override {
    done(makeError(ErrorCode::NotFound));
  }
  void itemBody(const std::string&, const std::string&, const std::string&,
                std::function<void(Result<std::string>)> done) override {
    done(makeError(ErrorCode::NotFound));
  }
  void cancel(const std::string&, const std::string&, StatusDone done) override {
    done(makeError(ErrorCode::NotFound));
  }
};

}  // namespace shedshed::test
