/// @file
/// The filters, in the order in which the chains apply them.
#pragma once

#include "serving/call_filter.h"
#include "serving/serving_services.h"

namespace shedshed {

/// Checks the body of a chat completion and reads what routing needs.
class ChatSyntaxFilter : public CallFilter {
 public:
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;
};

/// Finds the tenant of the bearer key in the settings in force, anew for every call, so that a
/// withdrawn key stops to work on connections that are open.
class ApiKeyFilter : public CallFilter {
 public:
  explicit ApiKeyFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Refuses calls while the node is not proved to hold the current configuration.
class SettingsLeaseFilter : public CallFilter {
 public:
  explicit SettingsLeaseFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Loads the tenant's settings for the route and applies the tenant's bound on the body of a chat
/// completion.
class TenantSettingsFilter : public CallFilter {
 public:
  explicit TenantSettingsFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Refuses new work while the node drains. Reads and cancels of batches pass.
class DrainFilter : public CallFilter {
 public:
  explicit DrainFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Takes a numbered slot of the tenant's pool.
class SlotFilter : public CallFilter {
 public:
  explicit SlotFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// Routes the call to an engine and forwards the answer. Gives the slot back as soon as the engine
/// is done, before a slow caller has taken the whole answer.
class ForwardFilter : public CallFilter {
 public:
  explicit ForwardFilter(ServingServices& services) : services_(services) {}
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) override;

 private:
  ServingServices& services_;
};

/// The chain of chat completions.
FilterChain makeChatChain(ServingServices& services);

/// The chain of the batch calls.
FilterChain makeBatchChain(ServingServices& services);

}  // namespace shedshed
