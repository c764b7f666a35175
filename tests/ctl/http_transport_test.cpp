// HttpTransport against an OperatorsServer on a loopback socket.
#include "ctl/http_transport.h"

#include "operators/fake_services.h"
#include "operators/operators_server.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::ctl;

BOOST_AUTO_TEST_CASE(errors_versions_and_lost_responses_are_typed) {
  test::FakeNode node;
  const std::string address = "127.0.0.1:" + std::to_string(test::freePort());
  OperatorsServerLimits limits;
  limits.commandDeadline = std::chrono::milliseconds(500);
  OperatorsServer server(address, "operator-key", node.services, node.executor, limits);
  FleetRequest change;
  change.method = "PATCH";
  change.url = "/v1/settings";
  change.body = R"({"fleet":{"burst":2}})";
  change.baseVersion = 0;
  change.orderId = "order-1";
  change.changesState = true;
  HttpTransport transport("operator-key");
  BOOST_TEST((transport.exchange(address, change).error().code == ErrorCode::StoreUnavailable));
  BOOST_REQUIRE(server.start().has_value());
  BOOST_TEST(transport.exchange(address, change).value().version == 1U);
  BOOST_TEST(transport.exchange(address, change).value().body ==
             R"({"version":1,"repeated":true})");
  change.orderId = "order-2";
  BOOST_TEST((transport.exchange(address, change).error().code == ErrorCode::VersionConflict));
  BOOST_TEST((HttpTransport("wrong-key").exchange(address, change).error().code ==
              ErrorCode::Unauthenticated));
  node.registers.dropsChanges = true;
  change.baseVersion = 1;
  HttpTransport shortTimeoutTransport("operator-key", std::chrono::milliseconds(1));
  const Error lostResponse = shortTimeoutTransport.exchange(address, change).error();
  BOOST_TEST((lostResponse.code == ErrorCode::OutcomeUnknown));
  BOOST_TEST((lostResponse.ran == Ran::Unknown));
  server.stop();
}
