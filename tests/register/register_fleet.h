/// @file
/// A fleet of register and configuration cores for tests, hosted by the harness.
#pragma once

#include "core_harness.h"
#include "register/configuration_core.h"
#include "register/register_core.h"

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace shedshed::test {

class RegisterFleet {
 public:
  struct Node {
    RegisterOptions options;
    bool isControl = false;
    std::unique_ptr<RegisterCore> registers;
    std::unique_ptr<ConfigurationCore> configuration;
  };

  /// Creates and starts @p acceptors control nodes "a1"… and @p data data nodes "d1"…, not formed.
  RegisterFleet(int acceptors, int data, RegisterSafeguards safeguards = {}) {
    harness.filter = [this](const Harness::Envelope& envelope) { return passes(envelope); };
    for (int number = 1; number <= acceptors; ++number) {
      acceptorIds.push_back(NodeId{"a" + std::to_string(number)});
      addControl(acceptorIds.back().address, safeguards);
    }
    for (int number = 1; number <= data; ++number) {
      Node& node = nodes["d" + std::to_string(number)];
      node.options.safeguards = safeguards;
      start("d" + std::to_string(number));
    }
  }

  void addControl(const std::string& name, RegisterSafeguards safeguards = {}) {
    Node& node = nodes[name];
    node.isControl = true;
    node.options = {true, "disk-" + name + "-1", safeguards};
    start(name);
  }

  void start(const std::string& name) {
    Node& node = nodes[name];
    HarnessContext& registerContext = harness.context(name, ServiceId::Register);
    HarnessContext& configurationContext = harness.context(name, ServiceId::Configuration);
    node.registers = std::make_unique<RegisterCore>(registerContext, node.options);
    ConfigurationOptions options{{NodeId{"a1"}, NodeId{"a2"}, NodeId{"a3"}}, node.isControl};
    node.configuration = std::make_unique<ConfigurationCore>(configurationContext, nullptr,
                                                             *node.registers, options);
    harness.attach(registerContext, *node.registers);
    harness.attach(configurationContext, *node.configuration);
    node.registers->start();
    node.configuration->start();
  }

  void crash(const std::string& name) {
    harness.crash(name);
    nodes[name].configuration.reset();
    nodes[name].registers.reset();
  }

  bool isUp(const std::string& name) { return nodes[name].registers != nullptr; }

  /// Crashes @p name and gives it an empty disk with another store id; does not start it.
  void emptyDisk(const std::string& name) {
    crash(name);
    harness.records[name] = {};
    harness.synced[name] = {};
    nodes[name].options.storeId += "+";
  }

  RegisterCore& registers(const std::string& name) { return *nodes.at(name).registers; }
  ConfigurationCore& configuration(const std::string& name) {
    return *nodes.at(name).configuration;
  }
  bool isFresh(const std::string& name) { return harness.now < configuration(name).freshUntil(); }

  /// Advances the time until @p result is set.
  template <class T>
  T await(std::optional<T>& result) {
    for (int step = 0; step < 20000 && !result; ++step) {
      harness.advance(std::chrono::milliseconds(5));
    }
    return *result;
  }

  Result<MemberList> form(const std::string& via = "a1") {
    std::optional<Result<MemberList>> result;
    registers(via).formFleet(acceptorIds, {}, 0, [&](auto formed) { result = std::move(formed); });
    return await(result);
  }

  Result<ChangeOutcome> change(const std::string& via, std::uint64_t base,
                               const std::string& idempotencyKey, const std::string& value) {
    std::optional<Result<ChangeOutcome>> result;
    registers(via).change({kSettingsRegister, base, idempotencyKey, value, {}},
                          [&](auto outcome) { result = std::move(outcome); });
    return await(result);
  }

  Result<RegisterValue> read(const std::string& via) {
    std::optional<Result<RegisterValue>> result;
    registers(via).read(kSettingsRegister, [&](auto value) { result = std::move(value); });
    return await(result);
  }

  Result<MemberList> replace(const std::string& via, const std::string& old,
                             const std::string& joining) {
    std::optional<Result<MemberList>> result;
    registers(via).replaceMember(NodeId{old}, NodeId{joining},
                                 [&](auto list) { result = std::move(list); });
    return await(result);
  }

  /// Makes one random step: delivers, drops or duplicates a queued message, syncs a record, or
  /// advances the time.
  void randomStep() {
    const auto chance = [this](double probability) {
      return std::uniform_real_distribution<double>(0, 1)(harness.random) < probability;
    };
    if (!harness.persists.empty() && chance(syncRate)) {
      harness.completePersist();
      return;
    }
    if (harness.queue.empty() || chance(0.05)) {
      const Duration pause = std::chrono::microseconds(harness.random() % 4000);
      if (!harness.fireTimerDueBy(harness.now + pause)) {
        harness.now += pause;
      }
      return;
    }
    const std::size_t index = chance(0.5) ? 0 : harness.random() % harness.queue.size();
    if (chance(stepLossRate)) {
      harness.queue.erase(harness.queue.begin() + static_cast<std::ptrdiff_t>(index));
      return;
    }
    harness.deliverAt(index, chance(duplicationRate));
  }

  Harness harness;
  std::map<std::string, Node> nodes;
  std::vector<NodeId> acceptorIds;
  std::set<std::string> isolated;  ///< Nodes in a network partition of their own.
  double stepLossRate = 0.1;
  double syncRate = 0.3;  ///< Probability that a random step completes a persist request.
  double duplicationRate = 0.1;
  double dropRate = 0;  ///< Probability that a delivery is dropped.
  /// Bytes of the largest register message by kind.
  std::map<std::uint16_t, std::size_t> maxMessageBytes;
  std::size_t configurationBytes = 0;

 private:
  bool passes(const Harness::Envelope& envelope) {
    const std::size_t size = envelope.message.payload.size();
    if (envelope.message.service == ServiceId::Register) {
      std::size_t& most = maxMessageBytes[envelope.message.kind];
      most = std::max(most, size);
    } else {
      configurationBytes += size;
    }
    if (isolated.count(envelope.from.address) != isolated.count(envelope.to.address)) {
      return false;
    }
    return std::uniform_real_distribution<double>(0, 1)(harness.random) >= dropRate;
  }
};

}  // namespace shedshed::test
