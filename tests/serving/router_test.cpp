#include "serving/router.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

constexpr Time kStart{std::chrono::seconds(100)};

EngineTable makeTable(int count, EngineState state = EngineState::Ready) {
  EngineTable table;
  for (int i = 0; i < count; ++i) {
    const std::string id = "e" + std::to_string(i);
    table.engines.push_back({id, "127.0.0.1:" + std::to_string(9000 + i), "m", 8, 0, state});
  }
  return table;
}

RouteQuery queryOf(const std::string& prompt) {
  return {"m", hashPromptBlocks("m", prompt), 1.25, {}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(router)

BOOST_AUTO_TEST_CASE(blocks_are_chained_and_bounded) {
  const std::string common(kPromptBlockBytes * 2, 'a');
  const auto left = hashPromptBlocks("m", common + "left");
  const auto right = hashPromptBlocks("m", common + "right");
  BOOST_REQUIRE(left.size() == 3);
  BOOST_TEST(left[0] != left[1]);
  BOOST_TEST(left[1] == right[1]);
  BOOST_TEST(left[2] != right[2]);
  BOOST_TEST(hashPromptBlocks("other", common)[0] != left[0]);
  BOOST_TEST(hashPromptBlocks("m", "").size() == 1);
  const std::string large(kPromptBlockBytes * (kMaxPromptBlocks + 9), 'a');
  BOOST_TEST(hashPromptBlocks("m", large).size() == kMaxPromptBlocks);
}

BOOST_AUTO_TEST_CASE(the_prefix_table_evicts_the_least_recently_used) {
  PrefixTable table(2);
  table.put(1, "e1");
  table.put(2, "e2");
  BOOST_TEST(*table.find(1) == "e1");
  table.put(3, "e3");
  BOOST_TEST(table.find(2) == nullptr);
  BOOST_TEST(*table.find(1) == "e1");
  table.put(1, "e9");
  BOOST_TEST(*table.find(1) == "e9");
  BOOST_TEST(table.size() == 2);
}

BOOST_AUTO_TEST_CASE(the_engine_with_the_longest_cached_prefix_is_chosen) {
  Router router;
  const std::string common(kPromptBlockBytes, 'a');
  const std::string longer = common + std::string(kPromptBlockBytes, 'b');
  const EngineTable table = makeTable(6);
  RouteQuery first = queryOf(common + "x");
  const std::string firstEngine = router.choose(table, first, kStart).value().engine;
  RouteQuery second = queryOf(longer + "y");
  second.excluded = {firstEngine};
  const std::string cached = router.choose(table, second, kStart).value().engine;
  BOOST_TEST(cached != firstEngine);
  router.finish(firstEngine, ExchangeOutcome::Healthy, kStart);
  router.finish(cached, ExchangeOutcome::Healthy, kStart);
  BOOST_TEST(router.choose(table, queryOf(longer + "z"), kStart).value().engine == cached);
}

BOOST_AUTO_TEST_CASE(two_routers_choose_the_same_engine_for_an_uncached_prompt) {
  const EngineTable table = makeTable(6);
  Router one;
  Router other;
  for (int i = 0; i < 20; ++i) {
    const RouteQuery query = queryOf("prompt " + std::to_string(i));
    const std::string engine = one.choose(table, query, kStart).value().engine;
    BOOST_TEST(engine == other.choose(table, query, kStart).value().engine);
    one.finish(engine, ExchangeOutcome::Healthy, kStart);
    other.finish(engine, ExchangeOutcome::Healthy, kStart);
  }
}

BOOST_AUTO_TEST_CASE(a_loaded_engine_spills_over_to_the_least_loaded) {
  Router router;
  EngineTable table = makeTable(3);
  const std::string cached = router.choose(table, queryOf("p"), kStart).value().engine;
  for (EngineInfo& engine : table.engines) {
    engine.running = engine.id == cached ? 8 : 1;
  }
  table.engines[2].running += table.engines[2].id == cached ? 0 : 3;
  const std::string other = router.choose(table, queryOf("p"), kStart).value().engine;
  BOOST_TEST(other != cached);
  const auto isChosen = [&other](const EngineInfo& engine) { return engine.id == other; };
  const auto chosen = std::find_if(table.engines.begin(), table.engines.end(), isChosen);
  BOOST_TEST(chosen->running == 1);
}

BOOST_AUTO_TEST_CASE(only_ready_engines_of_the_model_are_used) {
  Router router;
  EngineTable table = makeTable(3, EngineState::Draining);
  BOOST_TEST((router.choose(table, queryOf("p"), kStart).error().code == ErrorCode::NoEngine));
  table.engines[1].state = EngineState::Ready;
  BOOST_TEST(router.choose(table, queryOf("p"), kStart).value().engine == "e1");
  table.engines[1].state = EngineState::Gone;
  BOOST_TEST((router.choose(table, queryOf("p"), kStart).error().code == ErrorCode::NoEngine));
  RouteQuery unknown = queryOf("p");
  unknown.model = "none";
  BOOST_TEST((router.choose(table, unknown, kStart).error().code == ErrorCode::NotFound));
}

BOOST_AUTO_TEST_CASE(the_breaker_opens_and_tries_one_call_after_its_pause) {
  Router router;
  const EngineTable table = makeTable(1);
  for (std::uint32_t i = 0; i < kBreakerFailureThreshold; ++i) {
    BOOST_REQUIRE(router.choose(table, queryOf("p"), kStart));
    router.finish("e0", ExchangeOutcome::Faulty, kStart);
  }
  BOOST_TEST(!router.choose(table, queryOf("p"), kStart));
  const Time trial = kStart + kBreakerInitialOpenDuration;
  BOOST_TEST(router.choose(table, queryOf("p"), trial).has_value());
  BOOST_TEST(!router.choose(table, queryOf("p"), trial));
  router.finish("e0", ExchangeOutcome::Faulty, trial);
  BOOST_TEST(!router.choose(table, queryOf("p"), trial + kBreakerInitialOpenDuration));
  const Time second = trial + 2 * kBreakerInitialOpenDuration;
  BOOST_REQUIRE(router.choose(table, queryOf("p"), second));
  router.finish("e0", ExchangeOutcome::Healthy, second);
  BOOST_TEST(router.choose(table, queryOf("p"), second).has_value());
  BOOST_TEST(router.choose(table, queryOf("p"), second).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
