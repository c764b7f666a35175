/// @file
/// Filters of the serving path, declared in the order in which the chains apply them.
#pragma once

#include "serving/call_filter.h"
#include "serving/serving_services.h"

namespace shedshed {

/// Validates the body of a chat completion and extracts the members that routing needs.
class ChatSyntaxFilter : public CallFilter {
 public:
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;
};

/// Authenticates the call: looks up the tenant of the bearer key in the current settings. The
/// lookup is repeated for every call, so that a withdrawn key is rejected on open connections too.
class ApiKeyFilter : public CallFilter {
 public:
  explicit ApiKeyFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Rejects calls while the node's freshness lease on the configuration has expired.
class SettingsLeaseFilter : public CallFilter {
 public:
  explicit SettingsLeaseFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Loads the tenant's settings for the route and enforces the tenant's size limit on the body of a
/// chat completion.
class TenantSettingsFilter : public CallFilter {
 public:
  explicit TenantSettingsFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Rejects new work while the node is draining. Reads and cancellations of batches are allowed.
class DrainFilter : public CallFilter {
 public:
  explicit DrainFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Acquires a slot of the tenant's pool.
class SlotFilter : public CallFilter {
 public:
  explicit SlotFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Routes the call to an engine and forwards the answer. Releases the slot as soon as the engine
/// has finished, so that a slow caller does not hold it while it reads the answer.
class ForwardFilter : public CallFilter {
 public:
  explicit ForwardFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Builds the filter chain for chat completions.
FilterChain makeChatChain(ServingServices& services);

/// Builds the filter chain for batch calls.
FilterChain makeBatchChain(ServingServices& services);

}  // namespace shedshed
