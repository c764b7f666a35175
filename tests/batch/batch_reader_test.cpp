/// Items with names: results in the order of completion.
#include "batch_world.h"

namespace shedshed::test {

namespace {

BatchSubmission namedBatch(int count) {
  BatchSubmission submission = World::batchOf(static_cast<std::size_t>(count), "key", true);
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

Result<std::string> bodyOf(World& world, const std::string& id, const std::string& name) {
  std::optional<Result<std::string>> answer;
  world.data["d1"]->client.itemBody("acme", id, name,
                                    [&](Result<std::string> body) { answer = std::move(body); });
  world.waitFor(answer);
  return *answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(batch_reader)

BOOST_AUTO_TEST_CASE(aSlowItemDelaysNoOtherResult) {
  World world;
  world.engines.hold = true;
  const std::string id = world.accepted(namedBatch(4));
  world.harness.advance(1s);
  BOOST_REQUIRE_EQUAL(world.engines.open.size(), 4U);
  world.engines.open.push_back(world.engines.open.front());
  world.engines.open.erase(world.engines.open.begin());
  for (int answered = 0; answered < 3; ++answered) {
    world.engines.answerNext();
  }
  world.harness.advance(1s);
  const ResultPage early = world.page(id, 0, 10);
  BOOST_TEST(early.itemCount == 4U);
  BOOST_TEST(early.results.size() == 3U);
  BOOST_TEST(early.next == 3U);
  BOOST_TEST(!early.complete);
  world.engines.answerNext();
  world.harness.advance(2s);
  const ResultPage late = world.page(id, 0, 10);
  BOOST_TEST(late.results.size() == 4U);
  BOOST_TEST(late.complete);
  for (std::size_t place = 0; place < 3; ++place) {
    BOOST_TEST(late.results[place].name == early.results[place].name);
    BOOST_TEST(late.results[place].position == place);
  }
}

BOOST_AUTO_TEST_CASE(listedResultsKeepTheirIndexThroughATakeover) {
  for (const bool unacknowledgedSurvive : {false, true}) {
    World world;
    world.engines.hold = true;
    const std::string id = world.accepted(namedBatch(6));
    world.harness.advance(1s);
    for (int answered = 0; answered < 3; ++answered) {
      world.engines.answerNext();
    }
    world.harness.advance(1s);
    const std::vector<std::string> before = namesOf(world.page(id, 0, 10));
    BOOST_TEST(before.size() == 3U);
    world.failover(unacknowledgedSurvive);
    world.harness.advance(2s);
    world.engines.hold = false;
    while (!world.engines.open.empty()) {
      world.engines.answerNext();
    }
    world.harness.advance(20s);
    const std::vector<std::string> after = namesOf(world.page(id, 0, 10));
    BOOST_REQUIRE_EQUAL(after.size(), 6U);
    for (std::size_t place = 0; place < before.size(); ++place) {
      BOOST_TEST(after[place] == before[place]);
    }
    BOOST_TEST(std::set<std::string>(after.begin(), after.end()).size() == 6U);
  }
}

BOOST_AUTO_TEST_CASE(theBodyOfAnUnfinishedItemIsFoundByItsName) {
  World world;
  world.engines.hold = true;
  const BatchSubmission submission = namedBatch(3);
  const std::string id = world.accepted(submission);
  world.harness.advance(1s);
  const Result<std::string> body = bodyOf(world, id, "item-1");
  BOOST_REQUIRE(body.has_value());
  BOOST_TEST(body.value() == submission.items[1]);
  BOOST_TEST((bodyOf(world, id, "another").error().code == ErrorCode::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
