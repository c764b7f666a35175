#include "wire/tcp_transport.h"

#include "core_harness.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

namespace net = boost::asio;

/// A port that was free a moment ago.
NodeId freeAddress(net::io_context& loop) {
  net::ip::tcp::acceptor probe(loop, {net::ip::make_address_v4("127.0.0.1"), 0});
  return NodeId{"127.0.0.1:" + std::to_string(probe.local_endpoint().port())};
}

Message messageOf(const std::string& payload) {
  return Message{ServiceId::Directory, 1, payload};
}

struct Links {
  net::io_context loop;
  test::MapCounters counters;
  FleetKey key{};
  /// Runs the event loop until @p done or until it has nothing to do for a long time.
  void runUntil(const std::function<bool()>& done) {
    while (!done() && loop.run_one_for(std::chrono::seconds(5)) > 0) {
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(tcp_transport)

BOOST_FIXTURE_TEST_CASE(messages_arrive_whole_and_in_order, Links) {
  TcpTransport left(loop, freeAddress(loop), key, counters);
  const NodeId rightId = freeAddress(loop);
  TcpTransport right(loop, rightId, key, counters);
  std::vector<std::string> received;
  BOOST_REQUIRE(left.start([](const NodeId&, const Message&) {}));
  BOOST_REQUIRE(right.start(
      [&](const NodeId&, const Message& message) { received.push_back(message.payload); }));
  const std::string large(300000, 'x');
  for (int number = 0; number < 50; ++number) {
    left.send(rightId, messageOf(std::to_string(number)));
  }
  left.send(rightId, messageOf(large));
  runUntil([&] { return received.size() == 51; });
  BOOST_REQUIRE_EQUAL(received.size(), 51U);
  BOOST_TEST(received[49] == "49");
  BOOST_TEST((received[50] == large));
  left.stop();
  right.stop();
}

BOOST_FIXTURE_TEST_CASE(a_peer_that_comes_back_is_reached_again, Links) {
  TcpTransport left(loop, freeAddress(loop), key, counters);
  const NodeId rightId = freeAddress(loop);
  BOOST_REQUIRE(left.start([](const NodeId&, const Message&) {}));
  left.send(rightId, messageOf("lost"));
  runUntil([&] { return counters.values["wire_broken_links_total"] > 0; });
  TcpTransport right(loop, rightId, key, counters);
  std::vector<std::string> received;
  BOOST_REQUIRE(right.start(
      [&](const NodeId&, const Message& message) { received.push_back(message.payload); }));
  left.send(rightId, messageOf("after"));
  runUntil([&] { return !received.empty(); });
  BOOST_REQUIRE_EQUAL(received.size(), 1U);
  BOOST_TEST(received[0] == "after");
  left.stop();
  right.stop();
}

BOOST_FIXTURE_TEST_CASE(frames_with_another_key_are_refused, Links) {
  FleetKey other{};
  other[0] = 1;
  TcpTransport left(loop, freeAddress(loop), other, counters);
  const NodeId rightId = freeAddress(loop);
  TcpTransport right(loop, rightId, key, counters);
  int received = 0;
  BOOST_REQUIRE(left.start([](const NodeId&, const Message&) {}));
  BOOST_REQUIRE(right.start([&](const NodeId&, const Message&) { ++received; }));
  left.send(rightId, messageOf("forged"));
  runUntil([&] { return counters.values["wire_refused_frames_total"] > 0; });
  BOOST_TEST(received == 0);
  left.stop();
  right.stop();
}

BOOST_AUTO_TEST_SUITE_END()
