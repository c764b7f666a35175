#include "serving/call_filters.h"

#include "serving/await_core.h"
#include "serving/batch_calls.h"
#include "serving/call_target.h"

namespace shedshed {
namespace {

Error noVerifiedConfiguration() {
  return makeError(ErrorCode::NotReady, "no configuration has been verified yet");
}

SlotRequest makeSlotRequest(const CallContext& call) {
  SlotLimit limit;
  limit.pool = {"tenant", call.tenant};
  limit.failOpen = call.settings.failMode == FailMode::Open;
  limit.block = call.settings.block;
  limit.poll = call.settings.poll;
  limit.timeToLive = call.settings.liveSlotTtl;
  SlotRequest request;
  request.requestId = call.request.requestId;
  request.serviceClass = SlotClass::Live;
  request.limits.push_back(limit);
  return request;
}

std::string describeSlot(const SlotGrant::Slot& slot) {
  const std::string pool = slot.pool.limiter + " " + slot.pool.key;
  return slot.withoutSlot ? pool + ": no store answered, admitted without a slot (fail open)"
                          : pool + ": number " + std::to_string(slot.number);
}

}  // namespace

FilterStatus ChatSyntaxFilter::apply(CallContext& call, boost::asio::yield_context) {
  Result<ChatRequest> parsed = parseChatRequest(call.request.body);
  if (!parsed) {
    return parsed.error();
  }
  call.chat = std::move(parsed.value());
  return FilterStep::Continue;
}

FilterStatus ApiKeyFilter::apply(CallContext& call, boost::asio::yield_context) {
  const auto tree = services_.settings.read();
  if (tree == nullptr) {
    return noVerifiedConfiguration();
  }
  const auto tenant = tree->tenantOfKey(call.request.bearerKey);
  if (call.request.bearerKey.empty() || !tenant) {
    return makeError(ErrorCode::Unauthenticated, "a valid bearer key is required");
  }
  call.tenant = *tenant;
  services_.journal->record(call.request.requestId, "key", "tenant " + call.tenant);
  return FilterStep::Continue;
}

FilterStatus SettingsLeaseFilter::apply(CallContext&, boost::asio::yield_context) {
  if (services_.core.now() >= services_.configuration.freshUntil()) {
    return makeError(ErrorCode::NotReady, "the configuration is not proved to be current");
  }
  return FilterStep::Continue;
}

FilterStatus TenantSettingsFilter::apply(CallContext& call, boost::asio::yield_context) {
  const auto tree = services_.settings.read();
  if (tree == nullptr) {
    return noVerifiedConfiguration();
  }
  const CallKind kind = call.request.target.kind;
  call.settings = tree->effective(call.tenant, settingsRoute(kind));
  if (kind == CallKind::ChatCompletion && call.request.body.size() > call.settings.maxBodyBytes) {
    return makeError(ErrorCode::TooLarge, "the body exceeds max_body_bytes");
  }
  return FilterStep::Continue;
}

FilterStatus DrainFilter::apply(CallContext& call, boost::asio::yield_context) {
  const CallKind kind = call.request.target.kind;
  const bool newWork = kind == CallKind::ChatCompletion || kind == CallKind::BatchSubmit;
  if (newWork && services_.draining.load()) {
    return makeError(ErrorCode::Draining, "this node is draining and accepts no new calls");
  }
  return FilterStep::Continue;
}

FilterStatus SlotFilter::apply(CallContext& call, boost::asio::yield_context yield) {
  const auto acquire = [this, request = makeSlotRequest(call)](auto done) {
    services_.slots.acquire(request, done);
  };
  const auto grant = awaitCore<Result<SlotGrant>>(services_.core, yield, acquire);
  if (!grant) {
    return grant.error();
  }
  for (const SlotGrant::Slot& slot : grant.value().slots) {
    services_.journal->record(call.request.requestId, "slot", describeSlot(slot));
  }
  call.slot = SlotLease(services_.core, services_.slots, grant.value().grantId);
  if (call.abort.aborted()) {
    call.slot.release();
    return makeError(ErrorCode::Cancelled, "the caller has disconnected");
  }
  return FilterStep::Continue;
}

FilterStatus ForwardFilter::apply(CallContext& call, boost::asio::yield_context yield) {
  EngineRequest request;
  request.requestId = call.request.requestId;
  request.model = call.chat.model;
  request.body = std::move(call.request.body);
  request.prompt = call.chat.prompt;
  request.loadBound = call.settings.routingLoadBound;
  request.repeatable = call.request.repeatable;
  EventSink* sink = call.chat.stream ? &call.events : nullptr;
  Result<EngineAnswer> answer =
      services_.engines.run(request, sink, call.abort, call.strand, yield);
  call.slot.release();
  if (!answer) {
    return answer.error();
  }
  call.answer.status = answer.value().status;
  call.answer.body = std::move(answer.value().body);
  call.streamed = call.chat.stream && call.answer.status == 200;
  return FilterStep::Answered;
}

FilterChain makeChatChain(ServingServices& services) {
  FilterChain chain;
  chain.add(std::make_unique<ChatSyntaxFilter>());
  chain.add(std::make_unique<ApiKeyFilter>(services));
  chain.add(std::make_unique<SettingsLeaseFilter>(services));
  chain.add(std::make_unique<TenantSettingsFilter>(services));
  chain.add(std::make_unique<DrainFilter>(services));
  chain.add(std::make_unique<SlotFilter>(services));
  // The wait for a slot may be long: the key may have been withdrawn and the lease on the
  // configuration may have expired, so both are checked again.
  chain.add(std::make_unique<ApiKeyFilter>(services));
  chain.add(std::make_unique<SettingsLeaseFilter>(services));
  chain.add(std::make_unique<ForwardFilter>(services));
  return chain;
}

FilterChain makeBatchChain(ServingServices& services) {
  FilterChain chain;
  chain.add(std::make_unique<ApiKeyFilter>(services));
  chain.add(std::make_unique<SettingsLeaseFilter>(services));
  chain.add(std::make_unique<TenantSettingsFilter>(services));
  chain.add(std::make_unique<DrainFilter>(services));
  chain.add(std::make_unique<BatchCallFilter>(services));
  return chain;
}

}  // namespace shedshed
