#include "sim/sim_fleet.h"

namespace shedshed::sim {

struct SimFront::Call {
  LiveCall live;
  std::string requestId;
  std::function<void(Result<EngineAnswer>)> done;
};

SimFront::SimFront(SimNode& node, const NodeOptions& options, SimEngines& simEngines,
                   Invariants& invariants)
    : engines(node, simEngines), cores(node, options, &engines), node_(node),
      invariants_(invariants) {
  engines.setSource(cores.engines());
  cores.addRunner(node, engines);
  cores.configuration.subscribe(kSettingsRegister, [this](const RegisterValue& value) {
    Result<SettingsTree> parsed = SettingsTree::parse(value.value);
    if (parsed) {
      tree_ = std::move(parsed.value());
    }
  });
}

Result<std::string> SimFront::admit(const std::string& key) const {
  if (draining_) {
    return makeError(ErrorCode::Draining);
  }
  if (node_.world().now() >= cores.configuration.freshUntil()) {
    return makeError(ErrorCode::NotReady);
  }
  const std::optional<std::string> tenant = tree_.tenantOfKey(key);
  if (!tenant) {
    return makeError(ErrorCode::Unauthenticated);
  }
  return *tenant;
}

void SimFront::serve(LiveCall live, std::function<void(Result<EngineAnswer>)> done) {
  const Result<std::string> tenant = admit(live.key);
  if (!tenant) {
    done(Result<EngineAnswer>(tenant.error()));
    return;
  }
  const EffectiveSettings settings = tree_.effective(tenant.value(), "");
  const auto call = std::make_shared<Call>(Call{std::move(live), {}, nullptr});
  ++calls_;
  call->done = [this, done = std::move(done)](Result<EngineAnswer> answer) {
    --calls_;
    done(std::move(answer));
  };
  call->requestId = call->live.body;
  SlotLimit limit;
  limit.pool = {"tenant", tenant.value()};
  limit.failOpen = settings.failMode == FailMode::Open;
  limit.block = settings.block;
  limit.poll = settings.poll;
  limit.timeToLive = settings.liveSlotTtl;
  SlotRequest request;
  request.requestId = call->requestId;
  request.limits.push_back(limit);
  cores.slots.acquire(std::move(request),
                      [this, call](const Result<SlotGrant>& grant) { granted(call, grant); });
}

void SimFront::granted(const std::shared_ptr<Call>& call, const Result<SlotGrant>& grant) {
  if (!grant) {
    call->done(Result<EngineAnswer>(grant.error()));
    return;
  }
  const std::uint64_t grantId = grant.value().grantId;
  const Result<std::string> tenant = admit(call->live.key);
  if (!tenant) {
    cores.slots.release(grantId);
    call->done(Result<EngineAnswer>(tenant.error()));
    return;
  }
  const std::uint64_t version = cores.configuration.current(kSettingsRegister).version;
  invariants_.settings.callAccepted(node_.id(), call->live.key, version);
  EngineCall engineCall{call->requestId, kModel, call->live.body};
  engines.runLive(std::move(engineCall), call->live.repeatable,
                  [this, call, grantId](Result<EngineAnswer> answer) {
                    cores.slots.release(grantId);
                    call->done(std::move(answer));
                  });
}

void SimFront::drain() {
  draining_ = true;
  cores.directory.announceDraining(true);
  cores.runner->drain();
}

}  // namespace shedshed::sim
