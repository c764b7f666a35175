#include "wire/tcp_transport.h"

#include "core_harness.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

namespace net = boost::asio;

/// Returns a loopback address whose port was unused at the time of the call.
NodeId unusedAddress(net::io_context& loop) {
  net::ip::tcp::acceptor probe(loop, {net::ip::make_address_v4("127.0.0.1"), 0});
  return NodeId{"127.0.0.1:" + std::to_string(probe.local_endpoint().port())};
}

Message makeMessage(const std::string& payload) {
  return Message{ServiceId::Directory, 1, payload};
}

struct TransportFixture {
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

BOOST_FIXTURE_TEST_CASE(messages_arrive_complete_and_in_order, TransportFixture) {
  TcpTransport sender(loop, unusedAddress(loop), key, counters);
  const NodeId receiverId = unusedAddress(loop);
  TcpTransport receiver(loop, receiverId, key, counters);
  std::vector<std::string> received;
  BOOST_REQUIRE(sender.start([](const NodeId&, const Message&) {}));
  BOOST_REQUIRE(receiver.start(
      [&](const NodeId&, const Message& message) { received.push_back(message.payload); }));
  const std::string large(300000, 'x');
  for (int number = 0; number < 50; ++number) {
    sender.send(receiverId, makeMessage(std::to_string(number)));
  }
  sender.send(receiverId, makeMessage(large));
  runUntil([&] { return received.size() == 51; });
  BOOST_REQUIRE_EQUAL(received.size(), 51U);
  BOOST_TEST(received[49] == "49");
  BOOST_TEST((received[50] == large));
  sender.stop();
  receiver.stop();
}

BOOST_FIXTURE_TEST_CASE(messages_reach_a_peer_that_starts_after_a_failed_connection,
                        TransportFixture) {
  TcpTransport sender(loop, unusedAddress(loop), key, counters);
  const NodeId receiverId = unusedAddress(loop);
  BOOST_REQUIRE(sender.start([](const NodeId&, const Message&) {}));
  sender.send(receiverId, makeMessage("lost"));
  runUntil([&] { return counters.values["wire_broken_links_total"] > 0; });
  TcpTransport receiver(loop, receiverId, key, counters);
  std::vector<std::string> received;
  BOOST_REQUIRE(receiver.start(
      [&](const NodeId&, const Message& message) { received.push_back(message.payload); }));
  sender.send(receiverId, makeMessage("after"));
  runUntil([&] { return !received.empty(); });
  BOOST_REQUIRE_EQUAL(received.size(), 1U);
  BOOST_TEST(received[0] == "after");
  sender.stop();
  receiver.stop();
}

BOOST_FIXTURE_TEST_CASE(frames_with_another_key_are_rejected, TransportFixture) {
  FleetKey other{};
  other[0] = 1;
  TcpTransport sender(loop, unusedAddress(loop), other, counters);
  const NodeId receiverId = unusedAddress(loop);
  TcpTransport receiver(loop, receiverId, key, counters);
  int received = 0;
  BOOST_REQUIRE(sender.start([](const NodeId&, const Message&) {}));
  BOOST_REQUIRE(receiver.start([&](const NodeId&, const Message&) { ++received; }));
  sender.send(receiverId, makeMessage("forged"));
  runUntil([&] { return counters.values["wire_refused_frames_total"] > 0; });
  BOOST_TEST(received == 0);
  sender.stop();
  receiver.stop();
}

BOOST_AUTO_TEST_SUITE_END()
