// Which requests a connection to an engine may carry.
#include "serving/connection_history.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

BOOST_AUTO_TEST_SUITE(connection_history)

BOOST_AUTO_TEST_CASE(carried_ids_are_known_for_as_long_as_the_connection_lives) {
  ConnectionHistory history;
  BOOST_TEST(!history.hasCarried("a"));
  history.recordExchange("a");
  history.recordExchange("b");
  BOOST_TEST(history.hasCarried("a"));
  BOOST_TEST(history.hasCarried("b"));
  BOOST_TEST(!history.hasCarried("c"));
  BOOST_TEST(history.exchanges() == 2U);
}

BOOST_AUTO_TEST_CASE(a_connection_is_exhausted_after_a_bounded_number_of_exchanges) {
  ConnectionHistory history;
  for (std::uint32_t exchange = 0; exchange < ConnectionHistory::kMaxExchanges; ++exchange) {
    BOOST_TEST(!history.isExhausted());
    history.recordExchange(std::to_string(exchange));
  }
  BOOST_TEST(history.isExhausted());
}

BOOST_AUTO_TEST_CASE(connections_have_numbers_of_their_own) {
  BOOST_TEST(ConnectionHistory().number() != ConnectionHistory().number());
}

BOOST_AUTO_TEST_SUITE_END()
