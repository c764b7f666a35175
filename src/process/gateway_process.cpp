#include "process/gateway_process.h"

#include "process/signals.h"
#include "runtime/logging.h"

namespace shedshed {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::size_t kReadyBodyBytes = 1024;

/// Time for which callers may still come after readiness is refused.
constexpr std::chrono::milliseconds kLateCallers{2600};
/// Interval at which the end of the last call is looked for while draining.
constexpr std::chrono::milliseconds kDrainPoll{50};
/// The process ends this long before the platform would end it.
constexpr Duration kStopMargin = std::chrono::milliseconds(1200);

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
      readiness_(node_.loop, settings.readyAddress, kReadyBodyBytes,
                 [this](const BufferedRequest& call, const BufferedRequestServer::Done& done) {
                   done(answerReady(call));
                 }) {
  cores_.addRunner(node_.runtime, items_);
  cores_.configuration.subscribe(kSettingsRegister,
                                 [this](const RegisterValue& value) { publishSettings(value); });
  forwarder_.setJournal(journal_);
}

void GatewayProcess::publishSettings(const RegisterValue& value) {
  Result<SettingsTree> tree = SettingsTree::parse(value.value);
  if (!tree) {
    // Only checked values are accepted by the registers: this process is older than the value.
    logError("settings", tree.error());
    return;
  }
  settingsTree_.publish(std::make_shared<const SettingsTree>(std::move(tree.value())));
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
  Status started = gateway_.start();
  if (started && !settings_.readyAddress.empty()) {
    started = readiness_.start();
  }
  if (started) {
    started = node_.runtime.start();
  }
  if (!started) {
    logError("process", started.error());
    node_.stop();
    return 1;
  }
  logInfo("process", "serving as " + settings_.internalAddress.address);
  waitForStopSignal();
  drain();
  node_.stop();
  return 0;
}

void GatewayProcess::drain() {
  logInfo("process", "draining");
  node_.runtime.runAndWait([this] {
    services_.draining = true;
    cores_.directory.announceDraining(true);
    cores_.runner->drain();
  });
  const Time begun = monotonicNow();
  const Time deadline = begun + settings_.stopWarning - kStopMargin;
  while (monotonicNow() - begun < kLateCallers) {
    waitForStopSignal(kDrainPoll);
  }
  // A platform with few ready processes sends callers all the same; those that come now would be
  // cut.
  node_.runtime.runAndWait([this] { gateway_.stopAccepting(); });
  bool done = idle();
  while (!done && monotonicNow() < deadline) {
    waitForStopSignal(kDrainPoll);
    done = idle();
  }
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
