#include "sim/callers_load.h"

namespace shedshed::sim {
namespace {

constexpr double kRepeatableProbability = 0.3;
/// Share of the calls with a key that operators never withdraw.
constexpr double kNeverWithdrawnShare = 0.7;

}  // namespace

void LiveLoad::start(double callsPerSecond) {
  callsPerSecond_ = callsPerSecond;
  next();
}

void LiveLoad::next() {
  if (stopped_) {
    return;
  }
  const int tenant = static_cast<int>(world_.pick(kTenants));
  const bool neverWithdrawn = world_.chance() < kNeverWithdrawnShare;
  const int index =
      neverWithdrawn ? kKeysPerTenant - 1 : static_cast<int>(world_.pick(kKeysPerTenant));
  LiveCall call{callerKey(tenant, index), newBody(), world_.chance() < kRepeatableProbability};
  send(fleet_.anyFront(), std::move(call), [](bool) {});
  const double seconds = 2 * world_.chance() / callsPerSecond_;
  world_.schedule(Duration(static_cast<Duration::rep>(seconds * 1e9)), [this] { next(); });
}

std::string LiveLoad::newBody() {
  return "live-" + std::to_string(++lastBody_);
}

void LiveLoad::callOnce(const NodeId& front, int tenant, std::function<void(bool)> done) {
  send(front, LiveCall{callerKey(tenant, kKeysPerTenant - 1), newBody(), false}, std::move(done));
}

void LiveLoad::send(const NodeId& front, LiveCall call, std::function<void(bool)> done) {
  ++counts_.sent;
  fleet_.invariants().runs.expect(call.body, call.repeatable);
  fleet_.node(front).post([this, front, call, done = std::move(done)] {
    fleet_.front(front)->serve(call, [this, call, done](const Result<EngineAnswer>& answer) {
      checkAnswer(call, answer);
      done(static_cast<bool>(answer));
    });
  });
}

void LiveLoad::checkAnswer(const LiveCall& call, const Result<EngineAnswer>& answer) {
  RunLog& runs = fleet_.invariants().runs;
  if (answer) {
    ++counts_.answered;
    runs.reportedRan(call.body);
    if (answer.value().body.find(answerPrefix(call.body)) != 0) {
      world_.violation("an answer belongs to its call", call.body);
    }
  } else if (answer.error().ran == Ran::No) {
    ++counts_.refused;
    runs.reportedNotRun(call.body);
  } else {
    ++counts_.unknown;
  }
}

}  // namespace shedshed::sim
