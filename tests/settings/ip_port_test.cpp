#include "settings/ip_port.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

BOOST_AUTO_TEST_CASE(numeric_ipv4_addresses_with_a_port_are_accepted) {
  BOOST_TEST(isIpPort("10.0.0.1:1"));
  BOOST_TEST(isIpPort("127.0.0.1:65535"));
}

BOOST_AUTO_TEST_CASE(names_and_ports_out_of_range_are_rejected) {
  for (const char* text : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
                           "10.0.0.1:000001", "10.0.0.1:+1", "10.0.0:1", "host:1", "[::1]:1"}) {
    BOOST_TEST(!isIpPort(text), text);
  }
}
