#include "gateway/call_filters.h"

#include "gateway/service_choice.h"
#include "gateway/start_wait.h"
#include "serving/await_core.h"
#include "slots/pool_rates.h"
#include "slots/slot_owner_core.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace shedshed {
namespace {

/// A call waits for a store for the route's objective divided by this, before its fail mode
/// applies.
constexpr int kStoreWaitDivisor = 5;
constexpr Duration kMinStoreWait = std::chrono::milliseconds(40);
constexpr Duration kMaxStoreWait = std::chrono::milliseconds(300);

}  // namespace

Status checkGatewayReady(const GatewayServices& services) {
  if (services.draining) {
    return makeError(ErrorCode::Draining, "this node is draining and accepts no new calls");
  }
  const auto settings = services.settings.read();
  if (settings == nullptr || settings->routes().empty()) {
    return makeError(ErrorCode::NotReady, "no confirmed configuration with routes yet");
  }
  if (services.core.now() >= services.configuration.freshUntil()) {
    return makeError(ErrorCode::NotReady, "the freshness lease of the configuration has expired");
  }
  if (services.engines.table()->engines.empty()) {
    return makeError(ErrorCode::NotReady, "the engine list is empty");
  }
  return okStatus();
}

void SettingsInForceFilter::awaitStart(const GatewayCall& call, boost::asio::yield_context yield) {
  boost::asio::steady_timer timer(call.strand);
  while (!checkGatewayReady(services_) && !services_.draining && !call.abort.aborted() &&
         mayWaitForStart(services_.started, call.arrived, services_.core.now())) {
    boost::system::error_code ignored;
    timer.expires_after(kStartWaitPollInterval);
    timer.async_wait(yield[ignored]);
  }
}

Result<GatewayStep> SettingsInForceFilter::apply(GatewayCall& call,
                                                 boost::asio::yield_context yield) {
  awaitStart(call, yield);
  call.settings = services_.settings.read();
  if (call.settings == nullptr || services_.core.now() >= services_.configuration.freshUntil()) {
    return makeError(ErrorCode::NotReady, "no configuration with a valid freshness lease");
  }
  return GatewayStep::Continue;
}

Result<GatewayStep> RouteFilter::apply(GatewayCall& call, boost::asio::yield_context) {
  const std::string_view target = call.call.target;
  call.route = call.settings->routes().match(
      call.call.host, target.substr(0, std::min(target.find('?'), target.size())));
  if (call.route == nullptr) {
    return makeError(ErrorCode::NotFound, "no route for this host and path");
  }
  const RouteSettings& route = *call.route;
  OpaqueCall& opaque = call.call;
  opaque.service = chooseService(route, opaque.requestId);
  opaque.resumable = route.kind == RouteKind::Streaming && route.resumable;
  opaque.idempotent = route.kind == RouteKind::Safe || opaque.resumable;
  opaque.maxAttempts = std::max(route.maxAttempts, 1U);
  opaque.deadline = std::min(opaque.deadline, call.arrived + route.timeout);
  return GatewayStep::Continue;
}

Result<GatewayStep> TenantFilter::apply(GatewayCall& call, boost::asio::yield_context) {
  if (call.route->isPublic || !call.settings->hasTenants()) {
    return GatewayStep::Continue;
  }
  const auto tenant = call.key.empty() ? std::nullopt : call.settings->tenantOfKey(call.key);
  if (!tenant) {
    return makeError(ErrorCode::Unauthenticated, "the key is missing, unknown or revoked");
  }
  call.call.tenant = *tenant;
  return GatewayStep::Continue;
}

SlotRequest TenantSlotFilter::slotRequest(const GatewayCall& call) const {
  const std::string& tenant = call.call.tenant;
  const EffectiveSettings settings = call.settings->effective(tenant, call.route->name);
  SlotRequest request;
  request.requestId = call.call.requestId;
  request.storeDeadline =
      std::clamp(Duration(call.route->objective / kStoreWaitDivisor), kMinStoreWait, kMaxStoreWait);
  SlotLimit limit;
  limit.failOpen = settings.failMode == FailMode::Open;
  limit.block = settings.block;
  limit.poll = settings.poll;
  limit.timeToLive = settings.liveSlotTtl;
  limit.pool = tenant.empty() ? PoolName{kServiceLimiter, call.call.service}
                              : PoolName{kTenantLimiter, tenant};
  request.limits.push_back(limit);
  if (!tenant.empty() && call.settings->hasQuota(tenant)) {
    limit.pool = {kQuotaLimiter, tenant};
    limit.untilExpiry = true;
    request.limits.push_back(limit);
  }
  return request;
}

bool TenantSlotFilter::tryAcquireQuotaShare(const GatewayCall& call) {
  const EffectiveSettings settings = call.settings->effective(call.call.tenant, call.route->name);
  const auto nodes = services_.directory.table();
  const auto dataNodes =
      std::count_if(nodes->nodes.begin(), nodes->nodes.end(),
                    [](const NodeInfo& node) { return node.role == NodeRole::Data; });
  const SharedQuota quota{settings.perSecond, static_cast<double>(settings.burst),
                          static_cast<std::size_t>(dataNodes)};
  return quotaShare_.tryAcquire(call.call.tenant, quota, services_.core.now());
}

Result<GatewayStep> TenantSlotFilter::apply(GatewayCall& call, boost::asio::yield_context yield) {
  const auto acquire = [this, request = slotRequest(call)](auto done) {
    services_.slots.acquire(request, done);
  };
  const auto grant = awaitCore<Result<SlotGrant>>(services_.core, yield, acquire);
  if (!grant) {
    const bool overQuota = grant.error().code == ErrorCode::PoolFull &&
                           grant.error().detail.rfind(kQuotaLimiter, 0) == 0;
    if (overQuota) {
      quotaShare_.recordRefusal(call.call.tenant, services_.core.now());
    }
    return grant.error();
  }
  call.call.suggestedEngine = grant.value().suggestedEngine();
  call.slots = SlotLease(services_.core, services_.slots, grant.value().grantId);
  for (const SlotGrant::Slot& slot : grant.value().slots) {
    services_.journal->record(call.call.requestId, "slot",
                              slot.pool.limiter + " " + std::to_string(slot.number));
    if (slot.withoutSlot && slot.pool.limiter == kQuotaLimiter && !tryAcquireQuotaShare(call)) {
      call.slots.release();
      return makeError(ErrorCode::PoolFull, "this node's share of the quota is exhausted");
    }
  }
  if (call.abort.aborted()) {
    call.slots.release();
    return makeError(ErrorCode::Cancelled, "the client has disconnected");
  }
  return GatewayStep::Continue;
}

Result<GatewayStep> OpaqueForwardFilter::apply(GatewayCall& call,
                                               boost::asio::yield_context yield) {
  ForwardedCall forwarded{call.call, call.sink, call.abort, call.strand};
  Result<ForwardedAnswer> answer = services_.forwarder.run(forwarded, yield);
  call.slots.release();
  if (!answer) {
    return answer.error();
  }
  call.streamed = answer.value().streamed;
  call.answer.status = answer.value().head.status;
  call.answer.headers = std::move(answer.value().head.headers);
  call.answer.body = std::move(answer.value().body);
  return GatewayStep::Answered;
}

}  // namespace shedshed
