#include "serving_fixture.h"

using namespace shedshed;
using namespace shedshed::test;

BOOST_FIXTURE_TEST_SUITE(callers_loopback, ServingFixture)

BOOST_AUTO_TEST_CASE(a_complete_answer_arrives_and_connections_are_reused) {
  Caller caller(server.port());
  for (int i = 0; i < 3; ++i) {
    const CallerAnswer answer = caller.chat();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.requestId.size() == 32);
    BOOST_TEST(answer.has(answer.requestId));
  }
  BOOST_TEST(runs() == 3);
  BOOST_TEST(engineConnections() == 1);
  BOOST_TEST(counters.value("serving_calls_ok_total") == 3);
  BOOST_TEST(slots.lastRequest.limits.at(0).pool.limiter == "tenant");
  BOOST_TEST(slots.lastRequest.limits.at(0).pool.key == "acme");
}

BOOST_AUTO_TEST_CASE(a_stream_is_numbered_without_gaps) {
  Caller caller(server.port());
  const CallerAnswer answer = caller.chat(true);
  const std::string id = answer.requestId;
  std::string expected;
  for (int i = 0; i < 3; ++i) {
    const std::string number = std::to_string(i);
    expected += "id: " + number + "\ndata: {\"id\":\"" + id + "\",\"n\":" + number + "}\n\n";
  }
  BOOST_TEST(answer.body == expected + "id: 3\ndata: [DONE]\n\n");
  BOOST_TEST(answer.whole);
  BOOST_TEST(caller.chat(true).whole);
  BOOST_TEST(engineConnections() == 1);
}

BOOST_AUTO_TEST_CASE(a_broken_stream_never_looks_complete) {
  const std::vector<std::pair<Fault, std::string>> cases{
      {Fault::TruncatedBody, "response_truncated"},
      {Fault::MissingEndEvent, "response_truncated"},
      {Fault::MissingLastChunk, "response_truncated"},
      {Fault::WrongIdInBody, "response_mismatch"},
  };
  std::size_t expectedRuns = 0;
  for (const auto& entry : cases) {
    failBoth(entry.first);
    Caller caller(server.port());
    const CallerAnswer answer = caller.chat(true, kRepeatable);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(!answer.whole);
    BOOST_TEST(answer.has("id: 0\n"));
    BOOST_TEST(answer.has("event: error\n"));
    BOOST_TEST(answer.has("\"type\":\"" + entry.second + "\""));
    BOOST_TEST(answer.has("\"ran\":\"unknown\""));
    BOOST_TEST(!answer.has("[DONE]"));
    BOOST_TEST(!answer.has("crossed-id"));
    BOOST_TEST(runs() == ++expectedRuns);
    engine[0].clearFaults();
    engine[1].clearFaults();
  }
}

BOOST_AUTO_TEST_CASE(an_answer_that_an_engine_sends_twice_is_not_given_to_the_next_call) {
  for (const bool stream : {false, true}) {
    nextEngine().fail(Fault::RepeatedLate);
    Caller caller(server.port());
    const CallerAnswer first = caller.chat(stream);
    BOOST_TEST(first.status == 200);
    const CallerAnswer second = caller.chat(stream);
    BOOST_TEST(second.status == 200);
    BOOST_TEST(second.whole);
    BOOST_TEST(second.has(second.requestId), second.body);
    BOOST_TEST(!second.has(first.requestId), second.body);
  }
  BOOST_TEST(runs() == 4U);
  BOOST_TEST(engineConnections() == 1U);
}

BOOST_AUTO_TEST_CASE(a_call_that_may_not_be_repeated_runs_once) {
  const std::vector<std::pair<Fault, std::string>> cases{
      {Fault::ResetBeforeAnswer, "engine_failed"},   {Fault::TruncatedBody, "response_truncated"},
      {Fault::WrongIdInHeader, "response_mismatch"}, {Fault::WrongIdInBody, "response_mismatch"},
      {Fault::NoFraming, "response_truncated"},      {Fault::ServerError, "engine_failed"},
  };
  std::size_t expectedRuns = 0;
  for (const auto& entry : cases) {
    failBoth(entry.first);
    Caller caller(server.port());
    const CallerAnswer answer = caller.chat();
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.has("\"type\":\"" + entry.second + "\""), answer.body);
    BOOST_TEST(answer.has("\"ran\":\"unknown\""));
    BOOST_TEST(!answer.retryAfter.empty());
    BOOST_TEST(runs() == ++expectedRuns);
    engine[0].clearFaults();
    engine[1].clearFaults();
    // A success resets the failure count of the circuit breaker, which would open otherwise.
    BOOST_TEST(caller.chat().status == 200);
    ++expectedRuns;
  }
}

BOOST_AUTO_TEST_CASE(a_repeatable_call_runs_a_second_time_at_most) {
  const auto firstRunFails = [this](bool stream) {
    Caller caller(server.port());
    nextEngine().fail(Fault::ResetBeforeAnswer);
    const CallerAnswer answer = caller.chat(stream, kRepeatable);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.whole);
  };
  firstRunFails(false);
  BOOST_TEST(runs() == 2);
  failBoth(Fault::ResetBeforeAnswer);
  Caller caller(server.port());
  const CallerAnswer answer = caller.chat(false, kRepeatable);
  BOOST_TEST(answer.status == 502);
  BOOST_TEST(answer.has("\"ran\":\"unknown\""));
  BOOST_TEST(runs() == 4);
  engine[0].clearFaults();
  engine[1].clearFaults();
  firstRunFails(true);
  BOOST_TEST(runs() == 6);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_reported_as_not_run) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor closed(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::string dead = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  closed.close();
  Caller caller(server.port());
  source.engines->engines[0].address = dead;
  BOOST_TEST(caller.chat().status == 200);
  BOOST_TEST(caller.chat().status == 200);
  source.engines->engines[1].address = dead;
  const CallerAnswer answer = caller.chat();
  BOOST_TEST(answer.status == 502);
  BOOST_TEST(answer.has("\"ran\":\"no\""));
  BOOST_TEST(runs() == 2);
}

BOOST_AUTO_TEST_CASE(an_engine_error_status_of_the_request_is_passed_on) {
  failBoth(Fault::BadRequest);
  Caller caller(server.port());
  const CallerAnswer answer = caller.chat();
  BOOST_TEST(answer.status == 400);
  BOOST_TEST(answer.has(answer.requestId));
}

BOOST_AUTO_TEST_CASE(a_connection_with_leftover_bytes_is_not_used_again) {
  failBoth(Fault::TrailingBytes);
  Caller caller(server.port());
  const CallerAnswer first = caller.chat();
  BOOST_TEST(first.status == 200);
  const CallerAnswer second = caller.chat();
  BOOST_TEST(second.status == 200);
  BOOST_TEST(second.has(second.requestId));
  BOOST_TEST(engineConnections() == 2);
}

BOOST_AUTO_TEST_CASE(a_dropped_caller_ends_the_exchange) {
  FakeEngine& chosenEngine = nextEngine();
  chosenEngine.fail(Fault::NoAnswer);
  Caller caller(server.port());
  caller.send("POST", "/v1/chat/completions", Caller::chatBody(true));
  chosenEngine.waitForRuns(1);
  caller.close();
  chosenEngine.waitForAbandoned(1);
  BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_CASE(refusals_come_before_any_run) {
  Caller caller(server.port());
  slots.full = true;
  const CallerAnswer full = caller.chat();
  BOOST_TEST(full.status == 503);
  BOOST_TEST(full.retryAfter == "7");
  BOOST_TEST(full.has("\"type\":\"pool_full\""));
  BOOST_TEST(full.has("\"ran\":\"no\""));
  slots.full = false;
  configuration.fresh = false;
  const CallerAnswer stale = caller.chat();
  BOOST_TEST(stale.status == 503);
  BOOST_TEST(stale.has("\"type\":\"not_ready\""));
  BOOST_TEST(!stale.retryAfter.empty());
  BOOST_TEST(caller.get("/readyz").status == 503);
  configuration.fresh = true;
  BOOST_TEST(caller.get("/readyz").status == 200);
  BOOST_TEST(caller.chat(false, "", "wrong").status == 401);
  BOOST_TEST(caller.chat().status == 200);
  publish(true);
  BOOST_TEST(caller.chat().status == 401);
  BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_CASE(a_draining_node_refuses_and_closes_each_connection) {
  Caller caller(server.port());
  BOOST_TEST(caller.chat().status == 200);
  server.setDraining(true);
  BOOST_TEST(caller.chat().has("\"type\":\"draining\""));
  BOOST_TEST(caller.read().status == 0);  // The server has closed the connection.
  Caller another(server.port());
  BOOST_TEST(another.get("/readyz").has("draining"));
  server.setDraining(false);
  Caller later(server.port());
  BOOST_TEST(later.get("/readyz").status == 200);
  BOOST_TEST(later.chat().status == 200);
  BOOST_TEST(runs() == 2);
}

BOOST_AUTO_TEST_CASE(a_key_withdrawn_during_the_wait_for_a_slot_does_not_work) {
  Caller caller(server.port());
  slots.holdNext = true;
  caller.send("POST", "/v1/chat/completions", Caller::chatBody(true));
  const auto resume = slots.resumeHeld.get_future().get();
  publish(true);
  core.post(resume);
  BOOST_TEST(caller.read().status == 401);
  BOOST_TEST(runs() == 0);
}

BOOST_AUTO_TEST_CASE(a_caller_that_drops_while_it_waits_for_a_slot_does_not_run) {
  Caller caller(server.port());
  slots.holdNext = true;
  caller.send("POST", "/v1/chat/completions", Caller::chatBody(true));
  const auto resume = slots.resumeHeld.get_future().get();
  caller.close();
  counters.waitFor("serving_callers_dropped_total");
  core.post(resume);
  std::promise<void> idle;
  server.notifyWhenIdle([&idle]() { idle.set_value(); });
  idle.get_future().get();
  BOOST_TEST(runs() == 0);
}

BOOST_AUTO_TEST_CASE(malformed_calls_are_refused) {
  Caller caller(server.port());
  const auto statusOf = [&caller](const std::string& body) {
    caller.send("POST", "/v1/chat/completions", body);
    return caller.read().status;
  };
  BOOST_TEST(statusOf("{") == 400);
  BOOST_TEST(statusOf(R"({"messages":[{}]})") == 400);
  BOOST_TEST(statusOf(R"({"model":"m","messages":[]})") == 400);
  BOOST_TEST(statusOf(R"({"model":"m","model":"n","messages":[{}]})") == 400);
  BOOST_TEST(statusOf(R"({"model":"none","messages":[{}]})") == 404);
  BOOST_TEST(statusOf(std::string(5000, ' ')) == 413);
  BOOST_TEST(caller.get("/v1/nothing").status == 404);
  BOOST_TEST(caller.get("/healthz").status == 200);
  BOOST_TEST(caller.get("/metrics").body == "metric 1\n");
  Caller garbage(server.port());
  garbage.send("GET X Y", "/", "");
  BOOST_TEST(garbage.read().status == 400);
  BOOST_TEST(runs() == 0);
}

BOOST_AUTO_TEST_CASE(batch_calls_match_the_documented_api) {
  Caller caller(server.port());
  caller.send("POST", "/v1/batches",
              R"({"client_key":"k","repeatable":true,"items":[{"model":"m"},{"model":"n"}]})");
  const CallerAnswer made = caller.read();
  BOOST_TEST(made.status == 201);
  BOOST_TEST(made.has(R"("id":"b1","items":2,"pending":2)"));
  BOOST_TEST(batches.last.idempotentItems);
  BOOST_TEST(batches.last.tenant == "acme");
  BOOST_TEST(batches.last.items.at(1) == R"({"model":"n"})");
  const std::string ndjson = "Content-Type: application/x-ndjson\r\nX-Client-Key: k2\r\n";
  caller.send("POST", "/v1/batches", "{\"a\":1}\n\n{\"a\":2}\n", ndjson);
  BOOST_TEST(caller.read().status == 201);
  BOOST_TEST(batches.last.clientKey == "k2");
  BOOST_TEST(batches.last.items.size() == 2);
  caller.send("POST", "/v1/batches", "{}\n{}\n{}\n{}\n", ndjson);
  BOOST_TEST(caller.read().status == 413);
  caller.send("POST", "/v1/batches", "{}\nx\n", ndjson);
  BOOST_TEST(caller.read().status == 400);
  BOOST_TEST(caller.get("/v1/batches/b1").status == 200);
  BOOST_TEST(caller.get("/v1/batches/b2").status == 404);
  BOOST_TEST(caller.get("/v1/batches/b1/results?from=4&limit=2").body ==
             R"({"results":[{"position":4,"state":"done","body":{"id":"x"},"error_type":null},)"
             R"({"position":5,"state":"unknown","body":null,"error_type":"outcome_unknown"}],)"
             R"("next":6,"complete":true})");
  BOOST_TEST(caller.get("/v1/batches/b1/results?from=-1").status == 400);
  BOOST_TEST(caller.get("/v1/batches/b1/unfinished?from=3").body ==
             R"({"items":[{"position":3,"state":"started","body":{"model":"m"}}]})");
  caller.send("POST", "/v1/batches/b1/cancel", "");
  BOOST_TEST(caller.read().status == 200);
}

BOOST_AUTO_TEST_CASE(the_runner_and_the_probe_use_the_same_client) {
  HttpEngineRunner runner(threads, core, client, settings);
  const auto run = [&](const std::string& id) {
    auto result = std::make_shared<std::promise<Result<EngineAnswer>>>();
    auto future = result->get_future();
    runner.run({id, "m", Caller::chatBody(true)},
               [result](Result<EngineAnswer> answer) { result->set_value(std::move(answer)); });
    return future.get();
  };
  const auto answer = run("item-1");
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer.value().status == 200);
  BOOST_TEST(answer.value().body.find("item-1") != std::string::npos);
  failBoth(Fault::WrongIdInBody);
  const auto crossed = run("item-2");
  BOOST_TEST((crossed.error().code == ErrorCode::ResponseMismatch));
  BOOST_TEST((crossed.error().ran == Ran::Unknown));
  BOOST_TEST(runs() == 2);

  HttpEngineProbe probe(threads, core);
  const auto read = [&](const std::string& address) {
    auto result = std::make_shared<std::promise<EngineHealth>>();
    auto future = result->get_future();
    probe.probe(address, [result](EngineHealth health) { result->set_value(health); });
    return future.get();
  };
  const EngineHealth health = read(engine[0].address());
  BOOST_TEST(health.reachable);
  BOOST_TEST(health.draining);
  BOOST_TEST(health.running == 3);
  BOOST_TEST(!read("127.0.0.1:1").reachable);
}

BOOST_AUTO_TEST_CASE(the_server_notifies_when_it_is_idle) {
  FakeEngine& chosenEngine = nextEngine();
  chosenEngine.fail(Fault::NoAnswer);
  Caller caller(server.port());
  caller.send("POST", "/v1/chat/completions", Caller::chatBody(false));
  chosenEngine.waitForRuns(1);
  server.setDraining(true);
  server.stopAccepting();
  std::promise<void> idle;
  server.notifyWhenIdle([&idle]() { idle.set_value(); });
  BOOST_TEST(server.activeCalls() == 1);
  caller.close();
  idle.get_future().get();
  BOOST_TEST(server.activeCalls() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

struct ShortTimeoutFixture : ServingFixture {
  ShortTimeoutFixture() { BOOST_REQUIRE(shortTimeoutServer.start()); }
  ~ShortTimeoutFixture() { threads.stop(); }
  EngineTimeouts shortTimeouts{timeouts.connect, std::chrono::milliseconds(30),
                               timeouts.betweenEvents};
  EngineClient shortTimeoutClient{threads, core, source, router, counters, shortTimeouts};
  ServingServices shortTimeoutServices{
      threads, core, settings, configuration, slots, batches, shortTimeoutClient, counters, [] {
        return std::string();
      }};
  CallersServer shortTimeoutServer{shortTimeoutServices, "127.0.0.1:0", shortTimeoutLimits()};
  static CallerLimits shortTimeoutLimits() {
    CallerLimits limits;
    limits.headerTimeout = std::chrono::milliseconds(30);
    limits.bodyTimeout = std::chrono::milliseconds(30);
    limits.maxHeaderBytes = 1024;
    limits.maxConnections = 3;
    return limits;
  }
};

BOOST_FIXTURE_TEST_CASE(an_engine_timeout_fails_the_call_and_closes_the_connection,
                        ShortTimeoutFixture) {
  FakeEngine& chosenEngine = nextEngine();
  chosenEngine.fail(Fault::NoAnswer);
  Caller caller(shortTimeoutServer.port());
  const CallerAnswer answer = caller.chat();
  BOOST_TEST(answer.status == 504);
  BOOST_TEST(answer.has("\"type\":\"deadline_exceeded\""));
  BOOST_TEST(answer.has("\"ran\":\"unknown\""));
  chosenEngine.waitForAbandoned(1);
  BOOST_TEST(runs() == 1);
}

BOOST_FIXTURE_TEST_CASE(slow_and_large_calls_are_bounded, ShortTimeoutFixture) {
  Caller slowHeader(shortTimeoutServer.port());
  slowHeader.sendText("POST /v1/chat");
  BOOST_TEST(slowHeader.read().status == 0);
  Caller slowBody(shortTimeoutServer.port());
  slowBody.sendText("POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer key-a\r\n"
                    "Content-Length: 100\r\n\r\n{");
  BOOST_TEST(slowBody.read().status == 0);
  Caller largeHeader(shortTimeoutServer.port());
  largeHeader.sendText("GET /healthz HTTP/1.1\r\nX: " + std::string(2000, 'x'));
  BOOST_TEST(largeHeader.read().status == 413);
}

BOOST_FIXTURE_TEST_CASE(connections_are_bounded, ShortTimeoutFixture) {
  Caller one(shortTimeoutServer.port());
  BOOST_TEST(one.get("/healthz").status == 200);
  Caller two(shortTimeoutServer.port());
  BOOST_TEST(two.get("/healthz").status == 200);
  Caller three(shortTimeoutServer.port());
  BOOST_TEST(three.get("/healthz").status == 200);
  Caller four(shortTimeoutServer.port());
  BOOST_TEST(four.read().status == 0);
  BOOST_TEST(one.get("/healthz").status == 200);
}
