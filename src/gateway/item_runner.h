/// @file
/// Runs batch items as opaque calls.
#pragma once

#include "engines/engine_runner.h"
#include "gateway/batch_dialect.h"
#include "gateway/gateway_services.h"

#include <chrono>

namespace shedshed {

/// Least time between two attempts of an item, if the first one got it no further.
inline constexpr std::chrono::milliseconds kItemRetryBackoff{60};

/// Runs each item until it completes or fails for good. An interrupted stream continues at another
/// engine, and a rejected item is sent to another engine.
///
/// A result of `run` with status 200 holds the data of all events; with another status the item has
/// failed for good. After an error with `Ran::No` the item is to be retried later, unless its route
/// has been removed (`InvalidArgument`). A route that this node does not know counts as removed
/// only if its settings are proved to have been current after the batch was accepted.
///
/// The settings in force decide by the item's name to which service of its route it goes, whenever
/// it is about to request slots and before each attempt. If the route leads elsewhere by then, the
/// call ends and the item is to be run again.
///
/// An item is given up after the `maxWait` of its route, counted from the moment at which this node
/// learned of the batch, whether it waits for slots, every engine rejects it, or its answers are
/// neither a success nor a failed attempt.
class OpaqueItemRunner : public EngineRunner {
 public:
  explicit OpaqueItemRunner(GatewayServices& services) : services_(services) {}

  void run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) override;
  Result<ItemTarget> targetOf(const std::string& body, Time acceptedBefore) const override;
  std::uint64_t targetsVersion() override;

 private:
  Result<EngineAnswer> runItem(const EngineCall& call, const ServingStrand& strand,
                               boost::asio::yield_context yield);
  struct PreparedItem {
    OpaqueCall call;
    std::string route;
    /// When the item may be given up although no engine has failed it for good.
    Time giveUpAt = Time::max();
  };
  Result<PreparedItem> prepare(const EngineCall& call) const;
  /// True if the settings in force still send @p item to the service that it was prepared for.
  bool isTargetCurrent(const PreparedItem& item) const;
  /// Returns the route named @p name. Fails with `InvalidArgument` if it has been removed, and with
  /// `NotReady` if the settings of this node may be older than a batch that was accepted before
  /// @p acceptedBefore.
  Result<const RouteSettings*> findRoute(const std::shared_ptr<const SettingsTree>& settings,
                                         const std::string& name, Time acceptedBefore) const;

  GatewayServices& services_;
  std::shared_ptr<const SettingsTree> targetSettings_;  ///< Those of `targetsVersion_`.
  std::uint64_t targetsVersion_ = 0;
};

}  // namespace shedshed
