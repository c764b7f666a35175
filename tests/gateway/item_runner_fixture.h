/// The runner of opaque batch items with one scripted engine on loopback.
#pragma once

#include "gateway/item_runner.h"
#include "gateway_fakes.h"
#include "kernel/message.h"
#include "scripted_engine.h"

#include <boost/test/unit_test.hpp>

namespace shedshed::test {

inline constexpr const char* kItem = "item-1";

/// One engine of the service "s" and the batch route "r" with three attempts.
struct ItemRunnerFixture {
  ItemRunnerFixture() {
    list(engine);
    publishRoute("r", 3);
  }

  /// Adds an engine to the listing.
  void list(const ScriptedEngine& listed) {
    EngineInfo info;
    info.id = "e" + std::to_string(table.engines->engines.size());
    info.address = listed.address();
    info.model = "s";
    info.state = EngineState::Ready;
    table.engines->engines.push_back(info);
  }

  void publishRoute(const std::string& name, int maxAttempts) {
    const std::string json = R"({"services":{"s":{}},"routes":{")" + name +
                             R"(":{"host":"h","path_prefix":"/b/","kind":"batch",)"
                             R"("timeout_ms":5000,"max_wait_s":40,"max_attempts":)" +
                             std::to_string(maxAttempts) + R"(,"service":"s"}}})";
    auto tree = SettingsTree::parse(json);
    BOOST_REQUIRE_MESSAGE(tree, "the settings were rejected");
    settings.publish(std::make_shared<SettingsTree>(std::move(tree.value())));
  }

  /// Publishes the route "r" with the JSON array @p split of services "s", "next" and "other".
  void publishSplit(const std::string& split) {
    const std::string json =
        R"({"services":{"s":{},"next":{},"other":{}},"routes":{"r":{"host":"h",)"
        R"("path_prefix":"/b/","kind":"batch","timeout_ms":5000,"max_wait_s":40,)"
        R"("max_attempts":3,"traffic_split":)" +
        split + "}}}";
    auto tree = SettingsTree::parse(json);
    BOOST_REQUIRE_MESSAGE(tree, "the settings were rejected");
    settings.publish(std::make_shared<SettingsTree>(std::move(tree.value())));
  }

  static BatchItemCall itemCall(const std::string& name) {
    BatchItemCall item;
    item.name = name;
    item.route = "r";
    item.host = "h";
    item.target = "/b/1";
    return item;
  }

  static std::string itemBody(const std::string& name) { return encodeRecord(itemCall(name)); }

  /// Runs an item once, as one call of the batch runner.
  Result<EngineAnswer> run(const std::string& name = kItem) { return run(itemCall(name)); }

  Result<EngineAnswer> run(const BatchItemCall& item) {
    EngineCall call;
    call.model = "s";
    call.tenant = "acme";
    call.body = encodeRecord(item);
    call.acceptedBefore = acceptedBefore;
    call.failedAttempts = failedAttempts;
    call.onAttempt = [this](const EngineAttempt& attempt) {
      attempts.push_back(attempt);
      afterAttempt();
    };
    std::optional<Result<EngineAnswer>> result;
    items.run(std::move(call),
              [&result](Result<EngineAnswer> answer) { result.emplace(std::move(answer)); });
    while (!result && loop.run_one_for(std::chrono::seconds(20)) > 0) {
    }
    BOOST_REQUIRE(result.has_value());
    return std::move(*result);
  }

  ServingIoContext loop;
  HeaderNames names;
  ScriptedEngine engine{loop, names};
  FixedEngines table;
  SteadyExecutor executor;
  NoCounters counters;
  RandomEngine random{3};
  CostLoadBalancer loadBalancer{"", random};
  Forwarder forwarder{loop, executor, table, loadBalancer, counters, names};
  Snapshot<SettingsTree> settings{nullptr};
  FakeConfiguration configuration;
  NoDirectory directory;
  NoSlots slots;
  NoBatches batches;
  GatewayServices services{loop,  executor, settings,  configuration, directory, table,
                           slots, batches,  forwarder, counters,      names,     Time{}};
  OpaqueItemRunner items{services};
  Time acceptedBefore = executor.now();
  std::uint32_t failedAttempts = 0;
  std::vector<EngineAttempt> attempts;
  std::function<void()> afterAttempt = [] {};
};

}  // namespace shedshed::test
