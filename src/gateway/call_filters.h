/// @file
/// The gateway's filters, in the order in which the chain applies them.
#pragma once

#include "gateway/gateway_call.h"
#include "gateway/gateway_services.h"
#include "gateway/quota_share.h"

namespace shedshed {

/// Takes the settings in force; refuses while they are not proved to be current.
class SettingsInForceFilter : public GatewayFilter {
 public:
  explicit SettingsInForceFilter(GatewayServices& services) : services_(services) {}
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;

 private:
  /// Lets a call wait while the process starts. Whoever called a process that is just back has lost
  /// time already; sent away, it would only meet the next process that starts.
  void awaitStart(const GatewayCall& call, boost::asio::yield_context yield);

  GatewayServices& services_;
};

/// Finds the route by host and path, and what it allows.
class RouteFilter : public GatewayFilter {
 public:
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;
};

/// Finds the tenant of the key. Public routes, and settings without tenants, need none.
class TenantFilter : public GatewayFilter {
 public:
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;
};

/// Takes a number of the tenant's quota and a slot of its pool, all or nothing. A call without a
/// tenant takes a slot of its service's pool.
class TenantSlotFilter : public GatewayFilter {
 public:
  explicit TenantSlotFilter(GatewayServices& services) : services_(services) {}
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;

 private:
  SlotRequest slotRequest(const GatewayCall& call) const;
  /// Bounds what is admitted by the fail mode: this front's share of the quota.
  bool tryAcquireQuotaShare(const GatewayCall& call);

  GatewayServices& services_;
  QuotaShare quotaShare_;
};

/// Sends the call to an engine and its answer back.
class OpaqueForwardFilter : public GatewayFilter {
 public:
  explicit OpaqueForwardFilter(GatewayServices& services) : services_(services) {}
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;

 private:
  GatewayServices& services_;
};

/// Chooses a service of @p route by weight; @p point is from 0 to below 1.
const std::string& chooseService(const RouteSettings& route, double fraction);

}  // namespace shedshed
