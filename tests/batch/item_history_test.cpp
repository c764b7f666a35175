/// What is logged about an item that ends without an answer.
#include "batch_fleet.h"

namespace shedshed::test {

namespace {

EngineAttempt attemptWith(std::uint64_t connection, std::uint32_t exchange, int status) {
  EngineAttempt attempt;
  attempt.requestId = "item-1";
  attempt.engine = "e1";
  attempt.connection = connection;
  attempt.exchange = exchange;
  attempt.status = status;
  attempt.error = status == 0 ? "engine_failed" : "";
  return attempt;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(item_history)

BOOST_AUTO_TEST_CASE(attempts_are_told_apart_by_engine_connection_exchange_and_answer) {
  ItemHistory history;
  history.add(attemptWith(7, 1, 500));
  history.add(attemptWith(7, 2, 0));
  history.add(attemptWith(0, 0, 0));
  BOOST_TEST(history.requestId() == "item-1");
  BOOST_TEST(history.text() == "e1/7.1:500 e1/7.2:engine_failed e1:engine_failed");
}

BOOST_AUTO_TEST_CASE(only_the_newest_attempts_are_kept) {
  ItemHistory history;
  for (std::uint32_t exchange = 1; exchange <= ItemHistory::kMaxAttempts + 2; ++exchange) {
    history.add(attemptWith(1, exchange, 500));
  }
  BOOST_TEST(history.text().rfind("2 earlier e1/1.3:500 ", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(a_failed_item_is_logged_with_all_attempts_of_its_run) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(1));
  fleet.harness.advance(1s);
  BOOST_REQUIRE(fleet.engines.openCalls.size() == 1U);
  auto [call, done] = std::move(fleet.engines.openCalls.front());
  fleet.engines.openCalls.clear();
  call.onAttempt(attemptWith(7, 1, 500));
  call.onAttempt(attemptWith(7, 2, 500));
  done(EngineAnswer{500, {}});
  fleet.harness.advance(1s);
  const auto isFailure = [](const std::string& event) {
    return event.rfind("ItemFailed ", 0) == 0 &&
           event.find("request_id=item-1") != std::string::npos &&
           event.find(R"(answers="e1/7.1:500 e1/7.2:500")") != std::string::npos;
  };
  const auto& events = fleet.harness.events;
  BOOST_TEST(std::count_if(events.begin(), events.end(), isFailure) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
