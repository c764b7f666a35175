#include "runtime/node_runtime.h"

#include "runtime/logging.h"

#include <boost/asio/post.hpp>
#include <future>

namespace shedshed {
namespace {

RandomEngine seededEngine() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return RandomEngine(seed);
}

/// The records of a node without a disk.
class EmptyRecords : public RecordReader {
 public:
  Result<std::optional<std::string>> read(std::string_view) const override {
    return std::optional<std::string>();
  }
  std::vector<std::string> keys(std::string_view) const override { return {}; }
};

const EmptyRecords kEmptyRecords;

}  // namespace

Time monotonicNow() {
  return Time(std::chrono::steady_clock::now().time_since_epoch());
}

/// The context of one core: forwards to the runtime under the core's service id.
class NodeRuntime::Context : public CoreContext {
 public:
  Context(NodeRuntime& runtime, ServiceId service) : runtime_(runtime), service_(service) {}

  Time now() const override { return monotonicNow(); }
  RandomEngine& random() override { return runtime_.random_; }
  const NodeId& self() const override { return runtime_.self_; }
  void send(const NodeId& to, Message message) override {
    if (to == runtime_.self_) {
      runtime_.deliver(to, std::move(message));
      return;
    }
    runtime_.transport_.send(to, message);
  }
  void startTimer(TimerId timer, Duration after) override {
    runtime_.timers_.start(service_, timer, now() + after);
    runtime_.armTimer();
  }
  void stopTimer(TimerId timer) override { runtime_.timers_.stop(service_, timer); }
  void persist(PersistId id, std::vector<Mutation> mutations) override {
    runtime_.persist(*this, id, std::move(mutations));
  }
  const RecordReader& records() const override {
    if (runtime_.disk_) {
      return *runtime_.disk_;
    }
    return kEmptyRecords;
  }
  Counters& counters() override { return runtime_.metrics_; }
  void logEvent(const TraceEvent& event) override {
    shedshed::logEvent(serviceName(service_), event);
  }
  void defer(std::function<void()> task) override { runtime_.post(std::move(task)); }

  Core* core = nullptr;

 private:
  NodeRuntime& runtime_;
  const ServiceId service_;
};

NodeRuntime::NodeRuntime(NodeId self, Transport& transport, DurableRecords* records,
                         Metrics& metrics, FatalHandler fatal)
    : NodeRuntime(nullptr, std::move(self), transport, records, metrics, std::move(fatal)) {}

NodeRuntime::NodeRuntime(boost::asio::io_context& loop, NodeId self, Transport& transport,
                         DurableRecords* records, Metrics& metrics, FatalHandler fatal)
    : NodeRuntime(&loop, std::move(self), transport, records, metrics, std::move(fatal)) {}

NodeRuntime::NodeRuntime(boost::asio::io_context* sharedLoop, NodeId self, Transport& transport,
                         DurableRecords* records, Metrics& metrics, FatalHandler fatal)
    : self_(std::move(self)), transport_(transport), metrics_(metrics), fatal_(std::move(fatal)),
      ownLoop_(sharedLoop == nullptr ? std::make_unique<boost::asio::io_context>() : nullptr),
      loop_(sharedLoop == nullptr ? *ownLoop_ : *sharedLoop),
      work_(boost::asio::make_work_guard(loop_)), wakeTimer_(loop_), random_(seededEngine()) {
  if (records != nullptr) {
    disk_ = std::make_unique<DiskWriter>(
        *records, [this](std::function<void()> task) { post(std::move(task)); });
  }
}

NodeRuntime::~NodeRuntime() {
  stop();
}

CoreContext& NodeRuntime::context(ServiceId service) {
  std::unique_ptr<Context>& context = contexts_[service];
  if (!context) {
    context = std::make_unique<Context>(*this, service);
  }
  return *context;
}

void NodeRuntime::attach(ServiceId service, Core& core) {
  context(service);
  contexts_[service]->core = &core;
}

Status NodeRuntime::start() {
  post([this] {
    for (const auto& entry : contexts_) {
      if (entry.second->core != nullptr) {
        entry.second->core->start();
      }
    }
  });
  // Messages that the transport delivers are queued after the start of the cores.
  const Status started = transport_.start(
      [this](const NodeId& from, Message message) { deliver(from, std::move(message)); });
  thread_ = std::thread([this] { loop_.run(); });
  return started;
}

void NodeRuntime::stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  work_.reset();
  loop_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
  transport_.stop();
  if (disk_) {
    disk_->stop();
  }
}

void NodeRuntime::post(std::function<void()> task) {
  boost::asio::post(loop_, std::move(task));
}

void NodeRuntime::runAndWait(std::function<void()> task) {
  std::promise<void> finished;
  post([&task, &finished] {
    task();
    finished.set_value();
  });
  finished.get_future().wait();
}

void NodeRuntime::deliver(const NodeId& from, Message message) {
  post([this, from, message = std::move(message)] {
    const auto found = contexts_.find(message.service);
    if (found == contexts_.end() || found->second->core == nullptr) {
      metrics_.add("wire_unknown_service_total", 1);
      return;
    }
    found->second->core->receive(from, message);
  });
}

void NodeRuntime::armTimer() {
  const std::optional<Time> earliestDeadline = timers_.earliestDeadline();
  if (!earliestDeadline || *earliestDeadline >= wakeTime_) {
    return;
  }
  wakeTime_ = *earliestDeadline;
  wakeTimer_.expires_at(std::chrono::steady_clock::time_point(wakeTime_.time_since_epoch()));
  wakeTimer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      fireTimers();
    }
  });
}

void NodeRuntime::fireTimers() {
  wakeTime_ = Time::max();
  const Time now = monotonicNow();
  while (const std::optional<TimerQueue::Timer> due = timers_.popDue(now)) {
    contexts_.at(due->service)->core->timerExpired(due->id);
  }
  armTimer();
}

void NodeRuntime::persist(Context& context, PersistId id, std::vector<Mutation> mutations) {
  if (!disk_) {
    fatal_(makeError(ErrorCode::Internal, "persist called on a node without a disk"));
    return;
  }
  disk_->submit(std::move(mutations), [this, &context, id](const Status& status) {
    if (!status && status.error().code != ErrorCode::StorageFull &&
        status.error().code != ErrorCode::TooLarge) {
      fatal_(status.error());
      return;
    }
    context.core->persisted(id, status);
  });
}

}  // namespace shedshed
