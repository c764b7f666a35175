// Retries and the "not run" guarantee, for each kind of engine response.
#include "gateway/forwarder.h"

#include "gateway/buffered_request_server.h"
#include "gateway_fakes.h"

#include <boost/asio/spawn.hpp>
#include <boost/coroutine/attributes.hpp>
#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

namespace net = boost::asio;

/// How an engine answers every call.
enum class Behaviour {
  Serves,
  RefusesNotRun,
  RefusesAnotherCall,
  MisdirectsAnotherCall,
  Misdirected,
  Fails,
  AnswersAnotherCall,
  Unsigned
};

struct ForwarderFixture {
  /// Adds one engine per entry of @p behaviours. The load balancer prefers the first one.
  explicit ForwarderFixture(const std::vector<Behaviour>& behaviours) {
    for (const Behaviour behaviour : behaviours) {
      addEngine(behaviour);
    }
    for (std::size_t index = 0; index < behaviours.size(); ++index) {
      for (std::size_t calls = 0; calls < index; ++calls) {
        (void)loadBalancer.onSent("e" + std::to_string(index),
                                  Time());  // Seems unresponsive.
      }
    }
  }
  void addEngine(Behaviour behaviour) {
    net::ip::tcp::acceptor probe(loop, {net::ip::make_address_v4("127.0.0.1"), 0});
    EngineInfo engine;
    engine.id = "e" + std::to_string(table.engines->engines.size());
    engine.address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    engine.model = "s";
    engine.state = EngineState::Ready;
    probe.close();
    servers.push_back(std::make_unique<BufferedRequestServer>(
        loop, engine.address, 1000,
        [this, behaviour, id = engine.id](const BufferedRequest& call,
                                          const BufferedRequestServer::Done& done) {
          attemptedEngines.push_back(id);
          done(answerOf(behaviour, call));
        }));
    BOOST_REQUIRE(servers.back()->start());
    table.engines->engines.push_back(engine);
  }
  GatewayAnswer answerOf(Behaviour behaviour, const BufferedRequest& call) const {
    GatewayAnswer answer;
    const bool another = behaviour == Behaviour::AnswersAnotherCall ||
                         behaviour == Behaviour::RefusesAnotherCall ||
                         behaviour == Behaviour::MisdirectsAnotherCall;
    answer.headers.push_back(
        {names.requestId, another ? "other" : std::string(call.header(names.requestId))});
    if (behaviour != Behaviour::Unsigned) {
      answer.headers.push_back({names.signature, "seal"});
    }
    answer.body = "body";
    if (behaviour == Behaviour::RefusesNotRun || behaviour == Behaviour::RefusesAnotherCall) {
      answer.status = 503;
      answer.headers.push_back({names.notRun, "1"});
    } else if (behaviour == Behaviour::Misdirected ||
               behaviour == Behaviour::MisdirectsAnotherCall) {
      answer.status = 421;
    } else if (behaviour == Behaviour::Fails) {
      answer.status = 500;
    }
    return answer;
  }
  Result<ForwardedAnswer> run(bool idempotent, std::uint32_t maxAttempts) {
    OpaqueCall call;
    call.requestId = "r1";
    call.method = "POST";
    call.target = "/x";
    call.host = "h";
    call.service = "s";
    call.idempotent = idempotent;
    call.maxAttempts = maxAttempts;
    call.deadline = executor.now() + std::chrono::seconds(20);
    const ServingStrand strand(loop.get_executor());
    std::optional<Result<ForwardedAnswer>> result;
    net::spawn(
        strand,
        [&](net::yield_context yield) {
          CallAbort abort;
          ForwardedCall forwarded{call, sink, abort, strand};
          result.emplace(forwarder.run(forwarded, yield));
        },
        boost::coroutines::attributes(256U << 10U));
    while (!result && loop.run_one_for(std::chrono::seconds(20)) > 0) {
    }
    BOOST_REQUIRE(result.has_value());
    return std::move(*result);
  }
  ServingIoContext loop;
  HeaderNames names;
  FixedEngines table;
  SteadyExecutor executor;
  NoCounters counters;
  NoStream sink;
  RandomEngine random{3};
  CostLoadBalancer loadBalancer{"", random};
  Forwarder forwarder{loop, executor, table, loadBalancer, counters, names};
  std::vector<std::unique_ptr<BufferedRequestServer>> servers;
  std::vector<std::string> attemptedEngines;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(forwarder)

/// Regression: an engine that took over the address of another one answers 421. The call then
/// failed with 503 although other engines were free.
BOOST_AUTO_TEST_CASE(a_rejected_call_is_sent_to_the_next_engine) {
  for (const Behaviour refusal : {Behaviour::RefusesNotRun, Behaviour::Misdirected}) {
    ForwarderFixture fixture({refusal, refusal, Behaviour::Serves});
    const auto answer = fixture.run(false, 1);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer.value().head.status == 200);
    BOOST_TEST(answer.value().body == "body");
    BOOST_TEST(fixture.attemptedEngines.back() == "e2");
  }
}

BOOST_AUTO_TEST_CASE(not_run_is_reported_only_if_every_engine_rejected_the_call) {
  ForwarderFixture fixture({Behaviour::RefusesNotRun, Behaviour::Misdirected});
  const auto answer = fixture.run(true, 3);
  BOOST_REQUIRE(answer.has_error());
  BOOST_TEST((answer.error().ran == Ran::No));
  ForwarderFixture mixed({Behaviour::Unsigned, Behaviour::RefusesNotRun});
  const auto unknown = mixed.run(true, 3);
  BOOST_REQUIRE(unknown.has_error());
  BOOST_TEST((unknown.error().ran == Ran::Unknown));
}

// Regression: the second copy of another request's rejection, come late, was taken for an answer to
// the request that an engine was running.
BOOST_AUTO_TEST_CASE(running_call_reported_as_not_run_after_the_rejection_of_another_call) {
  for (const Behaviour surplus :
       {Behaviour::RefusesAnotherCall, Behaviour::MisdirectsAnotherCall}) {
    ForwarderFixture fixture({surplus, Behaviour::Serves});
    const auto answer = fixture.run(false, 3);
    BOOST_REQUIRE(answer.has_error());
    BOOST_TEST((answer.error().ran == Ran::Unknown));
    BOOST_TEST(fixture.attemptedEngines.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_call_that_may_have_run_is_repeated_only_if_it_is_idempotent) {
  for (const Behaviour lost : {Behaviour::AnswersAnotherCall, Behaviour::Unsigned}) {
    ForwarderFixture once({lost, Behaviour::Serves});
    const auto answer = once.run(false, 3);
    BOOST_REQUIRE(answer.has_error());
    BOOST_TEST((answer.error().ran == Ran::Unknown));
    BOOST_TEST(once.attemptedEngines.size() == 1U);
    ForwarderFixture repeated({lost, Behaviour::Serves});
    BOOST_TEST(repeated.run(true, 2).has_value());
    ForwarderFixture exhausted({lost, Behaviour::Serves});
    BOOST_TEST(exhausted.run(true, 1).has_error());
  }
}

BOOST_AUTO_TEST_CASE(an_engines_own_failure_is_passed_on_or_repeated) {
  ForwarderFixture once({Behaviour::Fails, Behaviour::Serves});
  const auto passedOn = once.run(false, 2);
  BOOST_REQUIRE(passedOn.has_value());
  BOOST_TEST(passedOn.value().head.status == 500);
  BOOST_TEST(once.attemptedEngines.size() == 1U);
  ForwarderFixture repeated({Behaviour::Fails, Behaviour::Serves});
  BOOST_TEST(repeated.run(true, 2).value().head.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
