#include "gateway/cost_load_balancer.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

EngineTable tableOf(int count) {
  EngineTable table;
  for (int number = 0; number < count; ++number) {
    EngineInfo engine;
    engine.id = "e" + std::to_string(number);
    engine.address = "10.0.0." + std::to_string(number + 1) + ":80";
    engine.model = "service";
    engine.state = EngineState::Ready;
    engine.maxRunning = 16;
    table.engines.push_back(engine);
  }
  return table;
}

OpaqueCall longCall(const std::string& prefix) {
  OpaqueCall call;
  call.service = "service";
  call.prompt = parsePromptHints(prefix + ":13000,own:100", "13100,80");
  return call;
}

struct Fixture {
  RandomEngine random{7};
  CostLoadBalancer loadBalancer{"", random};
  EngineTable table = tableOf(6);
  Time now = Time(std::chrono::seconds(10));
  std::string choose(const OpaqueCall& call, const std::set<std::string>& excluded = {}) {
    const auto choice = loadBalancer.choose(table, call, excluded, now);
    return choice ? choice.value().id : std::string();
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cost_load_balancer)

BOOST_FIXTURE_TEST_CASE(nodes_agree_on_the_engine_of_a_long_prefix, Fixture) {
  RandomEngine otherRandom{99};
  CostLoadBalancer other("", otherRandom);
  for (int prefix = 0; prefix < 20; ++prefix) {
    const OpaqueCall call = longCall("p" + std::to_string(prefix));
    const std::string mine = choose(call);
    loadBalancer.onFinished(mine);
    const auto theirs = other.choose(table, call, {}, now);
    other.onFinished(theirs.value().id);
    BOOST_TEST(theirs.value().id == mine);
  }
}

BOOST_FIXTURE_TEST_CASE(a_warm_engine_is_kept_until_its_load_costs_more, Fixture) {
  const OpaqueCall call = longCall("p");
  const std::string first = choose(call);
  loadBalancer.onServed(first, call, now);
  int kept = 0;
  while (choose(call) == first && kept < 1000) {
    ++kept;
  }
  BOOST_TEST(kept > 5);
  BOOST_TEST(kept < 100);
}

BOOST_FIXTURE_TEST_CASE(short_calls_spread_over_all_engines, Fixture) {
  OpaqueCall call;
  call.service = "service";
  std::map<std::string, int> chosen;
  for (int number = 0; number < 60; ++number) {
    ++chosen[choose(call)];
  }
  BOOST_TEST(chosen.size() == 6U);
  for (const auto& entry : chosen) {
    BOOST_TEST(entry.second == 10);
  }
}

BOOST_FIXTURE_TEST_CASE(draining_and_excluded_engines_are_left_out, Fixture) {
  OpaqueCall call;
  call.service = "service";
  table.engines[0].state = EngineState::Draining;
  for (int number = 0; number < 50; ++number) {
    const std::string chosen = choose(call, {"e1", "e2"});
    BOOST_TEST((chosen == "e3" || chosen == "e4" || chosen == "e5"));
  }
  call.service = "another";
  BOOST_TEST(choose(call).empty());
}

BOOST_FIXTURE_TEST_CASE(a_failed_engine_is_avoided_for_a_time, Fixture) {
  OpaqueCall call;
  call.service = "service";
  loadBalancer.onFailed("e0", now);
  for (int number = 0; number < 50; ++number) {
    BOOST_TEST(choose(call) != "e0");
  }
  now += std::chrono::seconds(2);
  BOOST_TEST(choose(call) == "e0");
}

BOOST_FIXTURE_TEST_CASE(an_engine_that_does_not_answer_is_avoided, Fixture) {
  OpaqueCall call;
  call.service = "service";
  const std::uint64_t requestNumber = loadBalancer.onSent("e0", now);
  now += std::chrono::milliseconds(400);
  for (int number = 0; number < 50; ++number) {
    BOOST_TEST(choose(call) != "e0");
  }
  loadBalancer.onAnswered("e0", requestNumber);
  BOOST_TEST(choose(call) == "e0");
}

BOOST_AUTO_TEST_SUITE_END()
