// Guards against a drained process that does not exit because closing an nng socket blocks forever.
#include "wire/bounded_close.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>

using namespace shedshed;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(bounded_close)

BOOST_AUTO_TEST_CASE(a_close_that_returns_is_awaited) {
  bool closed = false;
  BOOST_TEST(closeWithin(std::chrono::seconds(60), [&closed] { closed = true; }));
  BOOST_TEST(closed);
}

BOOST_AUTO_TEST_CASE(a_close_that_never_returns_does_not_block_the_caller) {
  const auto release = std::make_shared<std::promise<void>>();
  const std::shared_future<void> released = release->get_future().share();
  const auto ended = std::make_shared<std::promise<void>>();
  BOOST_TEST(!closeWithin(milliseconds(20), [released, ended] {
    released.wait();
    ended->set_value();
  }));
  release->set_value();
  ended->get_future().wait();
}

BOOST_AUTO_TEST_SUITE_END()
