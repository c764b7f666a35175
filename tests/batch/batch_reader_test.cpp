/// Batches of named items, whose results are listed in completion order.
#include "batch_fleet.h"

namespace shedshed::test {

namespace {

BatchSubmission namedBatch(int count) {
  BatchSubmission submission = BatchFleet::batchOf(static_cast<std::size_t>(count), "key", true);
  for (int number = 0; number < count; ++number) {
    submission.names.push_back("item-" + std::to_string(number));
  }
  return submission;
}

std::vector<std::string> namesOf(const ResultPage& page) {
  std::vector<std::string> names;
  for (const ItemResult& result : page.results) {
    names.push_back(result.name);
  }
  return names;
}

Result<std::string> bodyOf(BatchFleet& fleet, const std::string& id, const std::string& name) {
  std::optional<Result<std::string>> answer;
  fleet.data["d1"]->client.itemBody("acme", id, name,
                                    [&](Result<std::string> body) { answer = std::move(body); });
  fleet.waitFor(answer);
  return *answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(batch_reader)

BOOST_AUTO_TEST_CASE(aSlowItemDelaysNoOtherResult) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(namedBatch(4));
  fleet.harness.advance(1s);
  BOOST_REQUIRE_EQUAL(fleet.engines.openCalls.size(), 4U);
  fleet.engines.openCalls.push_back(fleet.engines.openCalls.front());
  fleet.engines.openCalls.erase(fleet.engines.openCalls.begin());
  for (int answered = 0; answered < 3; ++answered) {
    fleet.engines.answerNext();
  }
  fleet.harness.advance(1s);
  const ResultPage early = fleet.page(id, 0, 10);
  BOOST_TEST(early.itemCount == 4U);
  BOOST_TEST(early.results.size() == 3U);
  BOOST_TEST(early.next == 3U);
  BOOST_TEST(!early.complete);
  fleet.engines.answerNext();
  fleet.harness.advance(2s);
  const ResultPage late = fleet.page(id, 0, 10);
  BOOST_TEST(late.results.size() == 4U);
  BOOST_TEST(late.complete);
  for (std::size_t place = 0; place < 3; ++place) {
    BOOST_TEST(late.results[place].name == early.results[place].name);
    BOOST_TEST(late.results[place].position == place);
  }
}

BOOST_AUTO_TEST_CASE(listedResultsKeepTheirIndexThroughATakeover) {
  for (const bool unacknowledgedSurvive : {false, true}) {
    BatchFleet fleet;
    fleet.engines.holdAnswers = true;
    const std::string id = fleet.accepted(namedBatch(6));
    fleet.harness.advance(1s);
    for (int answered = 0; answered < 3; ++answered) {
      fleet.engines.answerNext();
    }
    fleet.harness.advance(1s);
    const std::vector<std::string> before = namesOf(fleet.page(id, 0, 10));
    BOOST_TEST(before.size() == 3U);
    fleet.failover(unacknowledgedSurvive);
    fleet.harness.advance(2s);
    fleet.engines.holdAnswers = false;
    while (!fleet.engines.openCalls.empty()) {
      fleet.engines.answerNext();
    }
    fleet.harness.advance(20s);
    const std::vector<std::string> after = namesOf(fleet.page(id, 0, 10));
    BOOST_REQUIRE_EQUAL(after.size(), 6U);
    for (std::size_t place = 0; place < before.size(); ++place) {
      BOOST_TEST(after[place] == before[place]);
    }
    BOOST_TEST(std::set<std::string>(after.begin(), after.end()).size() == 6U);
  }
}

BOOST_AUTO_TEST_CASE(theBodyOfAnUnfinishedItemIsFoundByItsName) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const BatchSubmission submission = namedBatch(3);
  const std::string id = fleet.accepted(submission);
  fleet.harness.advance(1s);
  const Result<std::string> body = bodyOf(fleet, id, "item-1");
  BOOST_REQUIRE(body.has_value());
  BOOST_TEST(body.value() == submission.items[1]);
  BOOST_TEST((bodyOf(fleet, id, "another").error().code == ErrorCode::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
