/// @file
/// The gateway's filters, in the order in which the chain applies them.
#pragma once

#include "gateway/gateway_call.h"
#include "gateway/gateway_services.h"
#include "gateway/quota_share.h"

namespace shedshed {

/// Attaches the settings in force to the call. Rejects calls while the configuration's freshness
/// lease has expired.
class SettingsInForceFilter : public GatewayFilter {
 public:
  explicit SettingsInForceFilter(GatewayServices& services) : services_(services) {}
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;

 private:
  /// Lets a call wait for readiness while the process starts. If all nodes restart together, a
  /// rejected caller would lose more time by retrying at another node that is also starting.
  void awaitStart(const GatewayCall& call, boost::asio::yield_context yield);

  GatewayServices& services_;
};

/// Selects the route by host and path, and applies its service, retry rules and time-out.
class RouteFilter : public GatewayFilter {
 public:
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;
};

/// Authenticates the caller by its key. Public routes and settings without tenants need no key.
class TenantFilter : public GatewayFilter {
 public:
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;
};

/// Acquires one unit of the tenant's quota and a slot of its pool, or neither. A call without a
/// tenant acquires a slot of its service's pool.
class TenantSlotFilter : public GatewayFilter {
 public:
  explicit TenantSlotFilter(GatewayServices& services) : services_(services) {}
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;

 private:
  SlotRequest slotRequest(const GatewayCall& call) const;
  /// Limits calls that the fail mode admits without a quota slot to this node's share of the quota.
  bool tryAcquireQuotaShare(const GatewayCall& call);

  GatewayServices& services_;
  QuotaShare quotaShare_;
};

/// Forwards the call to an engine and returns its response.
class OpaqueForwardFilter : public GatewayFilter {
 public:
  explicit OpaqueForwardFilter(GatewayServices& services) : services_(services) {}
  Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) override;

 private:
  GatewayServices& services_;
};

}  // namespace shedshed
