#include "process/gateway_process.h"

#include "process/settings_publisher.h"
#include "process/signals.h"
#include "runtime/logging.h"

namespace shedshed {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::size_t kMaxReadinessBodyBytes = 1024;

/// Time in which clients may still connect after readiness checks fail.
constexpr std::chrono::milliseconds kLateConnectionPeriod{2600};
/// Interval of the checks for the end of the last call while draining.
constexpr std::chrono::milliseconds kDrainPollInterval{50};
/// The process exits this long before the platform would kill it.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(1200);

}  // namespace

GatewayProcess::GatewayProcess(const ProcessSettings& settings, const ProcessKeys& keys,
                               HeaderNames names, const BatchDialect& dialect,
                               std::string readyPath)
    : settings_(settings), readyPath_(std::move(readyPath)), node_(settings, keys, nullptr),
      cores_(node_.runtime, eventLoopOptions(settings, ""), nullptr), settingsTree_(nullptr),
      random_(std::random_device{}()), loadBalancer_(settings.zone, random_),
      names_(std::move(names)), forwarder_(node_.loop, node_.executor, cores_.engines(),
                                           loadBalancer_, node_.counters, names_),
      journal_(&monotonicNow), services_{node_.loop,
                                         node_.executor,
                                         settingsTree_,
                                         cores_.configuration,
                                         cores_.directory,
                                         cores_.engines(),
                                         cores_.slots,
                                         cores_.batches,
                                         forwarder_,
                                         node_.counters,
                                         names_,
                                         monotonicNow(),
                                         false,
                                         &journal_},
      items_(services_), gateway_(services_, dialect, settings.clientAddress),
      readiness_(node_.loop, settings.readyAddress, kMaxReadinessBodyBytes,
                 [this](const BufferedRequest& call, const BufferedRequestServer::Done& done) {
                   done(answerReady(call));
                 }) {
  cores_.addRunner(node_.runtime, items_);
  cores_.configuration.subscribe(kSettingsRegister, [this](const RegisterValue& value) {
    publishSettings(value, settingsTree_);
  });
  forwarder_.setJournal(journal_);
}

GatewayAnswer GatewayProcess::answerReady(const BufferedRequest& call) const {
  GatewayAnswer answer;
  if (call.target != readyPath_) {
    answer.status = kNotFound;
    return answer;
  }
  if (const Status ready = checkGatewayReady(services_); !ready) {
    return gatewayErrorAnswer(ready.error(), {});
  }
  answer.status = kOk;
  return answer;
}

int GatewayProcess::run() {
  return node_.run([this] { return listen(); }, [this] { drain(); });
}

Status GatewayProcess::listen() {
  Status started = gateway_.start();
  if (started && !settings_.readyAddress.empty()) {
    started = readiness_.start();
  }
  return started;
}

void GatewayProcess::drain() {
  node_.runtime.runAndWait([this] {
    services_.draining = true;
    cores_.directory.announceDraining(true);
    cores_.runner->drain();
  });
  const Time drainStart = monotonicNow();
  const Time deadline = drainStart + settings_.shutdownGracePeriod - kShutdownMargin;
  while (monotonicNow() - drainStart < kLateConnectionPeriod) {
    waitForStopSignal(kDrainPollInterval);
  }
  // A platform with few ready processes still routes clients to draining ones; calls accepted from
  // here on would be aborted.
  node_.runtime.runAndWait([this] { gateway_.stopAccepting(); });
  const bool done =
      EventLoopNode::pollUntil(deadline, kDrainPollInterval, [this] { return idle(); });
  logInfo("process", done ? "drained" : "stopping with calls still running");
}

bool GatewayProcess::idle() {
  bool idle = false;
  node_.runtime.runAndWait([this, &idle] {
    idle = gateway_.activeCalls() == 0 && cores_.runner->idle() && cores_.runner->allRunsReturned();
  });
  return idle;
}

}  // namespace shedshed
