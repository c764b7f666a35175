/// Tests of the queue of items that have not been started.
#include "batch/waiting_items.h"

#include <boost/test/unit_test.hpp>

namespace shedshed::test {
namespace {

using namespace std::chrono_literals;

const Time kStart{};

WaitingItem itemAt(std::uint64_t position, const std::string& model = "m", Time notBefore = {}) {
  return {position, {model}, 0, "body", notBefore};
}

bool any(const WaitingItem&) {
  return true;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(waiting_items)

BOOST_AUTO_TEST_CASE(itemsAreTakenInTheirOrder) {
  WaitingItems items;
  items.add(itemAt(1));
  items.add(itemAt(2));
  BOOST_TEST(items.takeFirst(any)->position == 1U);
  BOOST_TEST(items.takeFirst(any)->position == 2U);
  BOOST_TEST(!items.takeFirst(any).has_value());
}

BOOST_AUTO_TEST_CASE(anItemThatIsNotAdmittedDoesNotBlockTheNext) {
  WaitingItems items;
  items.add(itemAt(1, "full"));
  items.add(itemAt(2, "free"));
  const auto taken =
      items.takeFirst([](const WaitingItem& item) { return item.target.model == "free"; });
  BOOST_TEST(taken->position == 2U);
  BOOST_TEST(items.contains(1));
  BOOST_TEST(!items.contains(2));
}

BOOST_AUTO_TEST_CASE(aRequeuedItemReturnsToTheFrontAfterItsDelay) {
  WaitingItems items;
  items.add(itemAt(1));
  items.requeue(itemAt(2, "m", kStart + 5ms));
  items.returnDueItems(kStart + 4ms);
  BOOST_TEST(items.requeued() == 1U);
  BOOST_TEST(items.contains(2));
  items.returnDueItems(kStart + 5ms);
  BOOST_TEST(items.requeued() == 0U);
  BOOST_TEST(items.takeFirst(any)->position == 2U);
}

BOOST_AUTO_TEST_CASE(clearDropsRequeuedItemsAsWell) {
  WaitingItems items;
  items.add(itemAt(1));
  items.requeue(itemAt(2));
  items.clear();
  BOOST_TEST(items.queued() + items.requeued() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
