// The operators' HTTP server on a loopback socket, with fake services.
#include "operators/operators_server.h"

#include "fake_services.h"
#include "settings/json.h"

#include <boost/test/unit_test.hpp>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

using namespace shedshed;
using namespace shedshed::test;

namespace {

constexpr const char* kKey = "operator-key";

struct Answer {
  unsigned status = 0;
  std::string body;
  std::string entityTag;
  std::string retryAfter;
};

struct ServerFixture {
  explicit ServerFixture(OperatorsServerLimits limits = {})
      : server("127.0.0.1:" + std::to_string(port), kKey, node.services, node.executor, limits) {
    BOOST_REQUIRE(server.start().has_value());
  }
  ~ServerFixture() { server.stop(); }

  Answer call(const std::string& method, const std::string& url, const std::string& body = "",
              std::map<std::string, std::string> headers = {}) {
    cxxtools::http::Request request(url);
    request.method(method);
    headers.emplace("Authorization", std::string("Bearer ") + kKey);
    for (const auto& header : headers) {
      request.setHeader(header.first.c_str(), header.second.c_str());
    }
    request.body() << body;
    cxxtools::http::Client client("127.0.0.1", port);
    client.execute(request);
    client.readBody();
    const auto headerText = [&client](const char* name) {
      const char* value = client.header().getHeader(name);
      return std::string(value == nullptr ? "" : value);
    };
    return {client.header().httpReturnCode(), client.body(), headerText("ETag"),
            headerText("Retry-After")};
  }
  Answer change(const std::string& method, const std::string& url, const std::string& body,
                int version, const std::string& orderId) {
    return call(method, url, body,
                {{"If-Match", "\"" + std::to_string(version) + "\""}, {"Order-Id", orderId}});
  }

  FakeNode node;
  std::uint16_t port = freePort();
  OperatorsServer server;
};

bool matches(const Answer& answer, unsigned status, const std::string& part) {
  if (answer.status == status && answer.body.find(part) != std::string::npos) {
    return true;
  }
  BOOST_TEST_MESSAGE(answer.status << " " << answer.body);
  return false;
}

}  // namespace

BOOST_AUTO_TEST_CASE(calls_without_the_operator_key_are_refused) {
  ServerFixture fixture;
  for (const char* value : {"", "Bearer", "Bearer wrong", "Bearer operator-key2", "operator-key"}) {
    const Answer answer = fixture.call("GET", "/v1/settings", "", {{"Authorization", value}});
    BOOST_TEST(matches(answer, 401, "\"unauthenticated\""));
    BOOST_TEST(matches(answer, 401, "\"ran\":\"no\""));
  }
  BOOST_TEST(matches(fixture.call("GET", "/metrics", "", {{"Authorization", ""}}), 401, "error"));
  BOOST_TEST(matches(fixture.call("GET", "/healthz", "", {{"Authorization", ""}}), 200, "alive"));
  BOOST_TEST(matches(fixture.call("GET", "/metrics"), 200, "calls_total 1"));
}

BOOST_AUTO_TEST_CASE(a_change_needs_its_base_version_and_order_id) {
  ServerFixture fixture;
  for (const char* version : {"", "1", "\"x\"", "\"\"", "*", "\"1234567890123456789\""}) {
    const Answer answer =
        fixture.call("PUT", "/v1/settings", "{}", {{"If-Match", version}, {"Order-Id", "o"}});
    BOOST_TEST(matches(answer, 400, "invalid_argument"));
    BOOST_TEST(matches(answer, 400, "If-Match: found"));
  }
  BOOST_TEST(matches(fixture.call("PATCH", "/v1/settings", "{}", {{"If-Match", "\"0\""}}), 400,
                     "Order-Id: found nothing"));
  BOOST_TEST(fixture.node.registers.ledger.empty());
}

BOOST_AUTO_TEST_CASE(put_conflict_resend_and_reuse_are_distinguished) {
  ServerFixture fixture;
  const std::string first = R"({"fleet":{"burst":2}})";
  const Answer done = fixture.change("PUT", "/v1/settings", first, 0, "order-1");
  BOOST_TEST(matches(done, 200, R"({"version":1,"repeated":false})"));
  BOOST_TEST(done.entityTag == "\"1\"");
  BOOST_TEST(
      matches(fixture.change("PUT", "/v1/settings", "{}", 0, "order-2"), 409, "version_conflict"));
  BOOST_TEST(matches(fixture.change("PUT", "/v1/settings", first, 0, "order-1"), 200,
                     R"({"version":1,"repeated":true})"));
  BOOST_TEST(
      matches(fixture.change("PUT", "/v1/settings", "{}", 0, "order-1"), 409, "order_id_reused"));
  const Answer read = fixture.call("GET", "/v1/settings");
  BOOST_TEST(read.body == first);
  BOOST_TEST(read.entityTag == "\"1\"");
}

BOOST_AUTO_TEST_CASE(invalid_values_are_never_proposed) {
  ServerFixture fixture;
  BOOST_TEST(matches(fixture.change("PUT", "/v1/settings", R"({"fleet":{"burst":-1}})", 0, "o1"),
                     400, "/fleet/burst: found -1; allowed"));
  BOOST_TEST(matches(fixture.change("PATCH", "/v1/settings", R"({"fleet":{"burst":-1}})", 0, "o2"),
                     400, "/fleet/burst: found -1; allowed"));
  BOOST_TEST(matches(fixture.change("PUT", "/v1/engines", "bad", 0, "o3"), 400, "/engines"));
  BOOST_TEST(fixture.node.registers.ledger.empty());
}

BOOST_AUTO_TEST_CASE(a_resent_patch_gets_its_first_answer_after_later_changes) {
  ServerFixture fixture;
  fixture.change("PUT", "/v1/settings", R"({"fleet":{"burst":2,"per_s":3}})", 0, "o1");
  const std::string patch = R"({"fleet":{"burst":null}})";
  BOOST_TEST(matches(fixture.change("PATCH", "/v1/settings", patch, 1, "o2"), 200,
                     R"({"version":2,"repeated":false})"));
  BOOST_TEST(fixture.call("GET", "/v1/settings").body == R"({"fleet":{"per_s":3}})");
  fixture.change("PUT", "/v1/settings", R"({"fleet":{"per_s":9}})", 2, "o3");
  BOOST_TEST(matches(fixture.change("PATCH", "/v1/settings", patch, 1, "o2"), 200,
                     R"({"version":2,"repeated":true})"));
  BOOST_TEST(
      matches(fixture.change("PATCH", "/v1/settings", "{}", 1, "o2"), 409, "order_id_reused"));
  BOOST_TEST(
      matches(fixture.change("PATCH", "/v1/settings", patch, 1, "o4"), 409, "version_conflict"));
  BOOST_TEST(
      matches(fixture.change("PATCH", "/v1/settings", patch, 7, "o5"), 409, "version_conflict"));
  BOOST_TEST(fixture.call("GET", "/v1/settings").body == R"({"fleet":{"per_s":9}})");
}

BOOST_AUTO_TEST_CASE(effective_settings_name_value_and_level) {
  ServerFixture fixture;
  fixture.change("PUT", "/v1/settings",
                 R"({"tenants":{"acme":{"routes":{"/v1/batches":{"burst":8}}}}})", 0, "o1");
  BOOST_TEST(matches(fixture.call("GET", "/v1/settings?effective=acme&route=%2Fv1%2Fbatches"), 200,
                     R"({"name":"burst","value":8,"level":"route"})"));
}

BOOST_AUTO_TEST_CASE(init_forms_the_fleet_once) {
  ServerFixture fixture;
  const std::string body =
      R"({"acceptors":["127.0.0.1:1","127.0.0.1:2"],"stores":["127.0.0.1:1"]})";
  BOOST_TEST(matches(fixture.call("POST", "/v1/fleet/init",
                                  R"({"acceptors":["127.0.0.1:1","127.0.0.1:1"],"stores":[]})"),
                     400, "/acceptors/1"));
  BOOST_TEST(matches(fixture.call("POST", "/v1/fleet/init", body), 200,
                     R"("stores":[{"id":"127.0.0.1:1","store_id":"store-127.0.0.1:1"}])"));
  BOOST_TEST(matches(fixture.call("POST", "/v1/fleet/init", body), 409, "already_exists"));
}

BOOST_AUTO_TEST_CASE(status_and_readiness_tell_what_the_node_knows) {
  ServerFixture fixture;
  const Answer status = fixture.call("GET", "/v1/status");
  BOOST_TEST(matches(status, 200, R"("fresh_remaining_ms":3500,"versions":{"settings":3})"));
  BOOST_TEST(matches(status, 200, R"("incarnation":18446744073709551615)"));
  BOOST_TEST(matches(status, 200, R"({"table":"slots","partition":4,"epoch":9,"owner":true})"));
  BOOST_TEST(matches(status, 200, R"("engines":{"unknown":0,"ready":1,"draining":0,"gone":0})"));
  BOOST_TEST(fixture.call("GET", "/readyz").status == 200U);
  fixture.node.ready = makeError(ErrorCode::Draining);
  const Answer refused = fixture.call("GET", "/readyz");
  BOOST_TEST(matches(refused, 503, "\"draining\""));
  BOOST_TEST(refused.retryAfter == "1");
}

BOOST_AUTO_TEST_CASE(a_change_without_an_answer_is_unknown_and_never_a_refusal) {
  OperatorsServerLimits limits;
  limits.commandDeadline = std::chrono::milliseconds(1);
  ServerFixture fixture(limits);
  fixture.node.registers.dropsChanges = true;
  const Answer answer = fixture.change("PUT", "/v1/settings", "{}", 0, "o1");
  BOOST_TEST(matches(answer, 502, "outcome_unknown"));
  BOOST_TEST(matches(answer, 502, "\"ran\":\"unknown\""));
}

BOOST_AUTO_TEST_CASE(bodies_over_the_bound_and_unknown_calls_are_refused) {
  OperatorsServerLimits limits;
  limits.maxBodyBytes = 100;
  ServerFixture fixture(limits);
  BOOST_TEST(matches(fixture.change("PUT", "/v1/settings", std::string(101, ' '), 0, "o1"), 413,
                     "too_large"));
  BOOST_TEST(matches(fixture.call("GET", "/v1/nothing"), 404, "not_found"));
  BOOST_TEST(matches(fixture.call("DELETE", "/v1/settings"), 404, "not_found"));
}

namespace {

class FakeAdmission : public StoreAdmission {
 public:
  StoreProgress progress() const override { return held; }
  void replace(const NodeId& oldId, std::function<void(Result<MemberList>)> done) override {
    replaced.push_back(oldId.address);
    done(MemberList{});
  }
  StoreProgress held;
  std::vector<std::string> replaced;
};

class FakeBatches : public BatchAdmin {
 public:
  std::vector<BatchStatus> list() const override { return {known}; }
  void status(const std::string& id, std::function<void(Result<BatchStatus>)> done) override {
    if (id == known.id) {
      done(known);
    } else {
      done(makeError(ErrorCode::NotFound));
    }
  }
  void cancel(const std::string& id, std::function<void(Result<BatchStatus>)> done) override {
    known.cancelled = known.cancelled || id == known.id;
    status(id, std::move(done));
  }
  BatchStatus known;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_store_is_not_admitted_before_it_holds_all_partitions, ServerFixture) {
  const std::string body = R"({"old":"127.0.0.1:9","new":"127.0.0.1:7000"})";
  BOOST_TEST(call("POST", "/v1/stores/replace", body).status == 400U);
  FakeAdmission admission;
  node.services.storeAdmission = &admission;
  admission.held = {false, 63, 0, 64};
  const Answer early = call("POST", "/v1/stores/replace", body);
  BOOST_TEST(early.status == 503U);
  BOOST_TEST(early.body.find("63 of 64") != std::string::npos);
  BOOST_TEST(
      call("POST", "/v1/stores/replace", R"({"old":"127.0.0.1:9","new":"127.0.0.1:8"})").status ==
      400U);
  BOOST_TEST(call("POST", "/v1/stores/replace", R"({"old":"x","new":"127.0.0.1:7000"})").status ==
             400U);
  BOOST_TEST(admission.replaced.empty());
  admission.held = {false, 64, 0, 64};
  BOOST_TEST(call("POST", "/v1/stores/replace", body).status == 200U);
  // A store that is a member already may resend the call, even if it lags behind.
  admission.held = {true, 12, 0, 64};
  BOOST_TEST(call("POST", "/v1/stores/replace", body).status == 200U);
  BOOST_TEST(admission.replaced.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(slots_batches_and_calls_are_shown, ServerFixture) {
  BOOST_TEST(call("GET", "/v1/slots").status == 404U);
  BOOST_TEST(call("GET", "/v1/batches").status == 404U);
  BOOST_TEST(call("GET", "/v1/requests/r1").status == 404U);
  FakeBatches batches;
  batches.known.id = "b1";
  batches.known.tenant = "acme";
  node.services.batches = &batches;
  node.services.slots = [] {
    PoolExplanation pool;
    pool.size.pool = {"tenant", "acme"};
    pool.grantedSlots.push_back(
        {3, NodeId{"127.0.0.1:5"}, SlotClass::Live, std::nullopt, std::chrono::seconds(2)});
    return SlotExplanation{{pool}, {{"m", 1, 8, 4, 3}}};
  };
  node.services.explainCall = [](const std::string& id) -> std::optional<std::string> {
    return id == "r1" ? std::optional<std::string>("{}") : std::nullopt;
  };
  BOOST_TEST(call("GET", "/v1/slots").body.find(R"("expires_in_ms":2000)") != std::string::npos);
  BOOST_TEST(call("GET", "/v1/batches").body.find(R"("tenant":"acme")") != std::string::npos);
  BOOST_TEST(call("GET", "/v1/batches/b1").status == 200U);
  BOOST_TEST(call("GET", "/v1/batches/b2").status == 404U);
  BOOST_TEST(call("GET", "/v1/batches/b1/cancel").status == 404U);
  BOOST_TEST(!batches.known.cancelled);
  BOOST_TEST(call("POST", "/v1/batches/b1/cancel").status == 200U);
  BOOST_TEST(batches.known.cancelled);
  BOOST_TEST(call("GET", "/v1/requests/r1").status == 200U);
  BOOST_TEST(call("GET", "/v1/requests/r2").status == 404U);
}
