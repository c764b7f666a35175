#include "sim/sim_engine.h"

#include <algorithm>
#include <sstream>

namespace shedshed::sim {
namespace {

constexpr Duration kMinNetworkDelay = std::chrono::microseconds(200);
constexpr Duration kMaxNetworkDelay = std::chrono::milliseconds(2);
/// Longer than any front waits for an answer.
constexpr Duration kLateAnswer = std::chrono::seconds(30);
constexpr Duration kExchangeTimeout = std::chrono::seconds(20);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(800);
constexpr int kMaxConnects = 3;
constexpr int kMaxRuns = 2;
constexpr int kHttpOk = 200;

}  // namespace

std::string answerPrefix(const std::string& body) {
  return "answer to " + body + " #";
}

void SimEngines::add(ListedEngine listed) {
  const std::string address = listed.address;
  engines_[address].listed = std::move(listed);
}

std::string SimEngines::listing() const {
  std::ostringstream text;
  text << R"({"engines":[)";
  const char* separator = "";
  for (const auto& entry : engines_) {
    const ListedEngine& listed = entry.second.listed;
    text << separator << R"({"id":")" << listed.id << R"(","address":")" << listed.address
         << R"(","model":")" << listed.model << R"(","max_running":)" << listed.maxRunning << "}";
    separator = ",";
  }
  text << "]}";
  return text.str();
}

std::vector<std::string> SimEngines::addresses() const {
  std::vector<std::string> result;
  for (const auto& entry : engines_) {
    result.push_back(entry.first);
  }
  return result;
}

Duration SimEngines::networkDelay() {
  return world_.between(kMinNetworkDelay, kMaxNetworkDelay);
}

void SimEngines::runOrHold(Engine& engine, std::function<void()> event) {
  if (engine.frozen) {
    engine.held.push_back(std::move(event));
  } else {
    event();
  }
}

void SimEngines::probe(const std::string& address, std::function<void(EngineHealth)> done) {
  const Engine& engine = engines_.at(address);
  EngineHealth health;
  health.reachable = engine.up && !engine.frozen;
  if (health.reachable) {
    health.draining = engine.drainingSince.has_value();
    health.running = engine.running;
    health.maxRunning = engine.listed.maxRunning;
  }
  const Duration after = engine.frozen ? kProbeTimeout : networkDelay() + networkDelay();
  world_.schedule(after, [done = std::move(done), health] { done(health); });
}

void SimEngines::exchange(const std::string& address, const EngineCall& call, Done done) {
  Engine& engine = engines_.at(address);
  const Open exchange =
      std::make_shared<Exchange>(Exchange{++lastExchange_, call, std::move(done)});
  runs_.sent(call.body);
  const bool draining = engine.drainingSince.has_value();
  if (drainChecked_ && draining && world_.now() - *engine.drainingSince > kStopBound) {
    world_.violation("a draining engine receives no new request", engine.listed.id);
  }
  world_.schedule(networkDelay(), [this, &engine, exchange] {
    if (!engine.up) {
      answer(exchange, networkDelay(), makeError(ErrorCode::EngineFailed, "connection refused"));
      return;
    }
    engine.open[exchange->number] = exchange;
    runOrHold(engine, [this, &engine, exchange, process = engine.process] {
      if (engine.process == process) {
        receive(engine, exchange);
      }
    });
  });
  answer(exchange, kExchangeTimeout,
         makeError(ErrorCode::EngineFailed, "request timed out", Ran::Unknown));
}

void SimEngines::answer(const Open& exchange, Duration after, Result<EngineAnswer> result) {
  world_.schedule(after, [exchange, result = std::move(result)]() mutable {
    if (exchange->done) {
      const Done done = std::move(exchange->done);
      exchange->done = nullptr;
      done(std::move(result));
    }
  });
}

void SimEngines::receive(Engine& engine, const Open& exchange) {
  runs_.received(engine.listed.id + " as " + exchange->call.requestId, exchange->call.body);
  if (engine.running < engine.listed.maxRunning) {
    begin(engine, exchange);
  } else {
    engine.waiting.push_back(exchange);
  }
}

void SimEngines::begin(Engine& engine, const Open& exchange) {
  ++engine.running;
  const bool isLong = world_.chance() < options_.longRuns;
  const Duration run =
      world_.between(options_.minRun, isLong ? options_.maxLongRun : options_.maxRun);
  const Duration slowed(
      static_cast<Duration::rep>(static_cast<double>(run.count()) * engine.slowdown));
  world_.schedule(slowed, [this, &engine, process = engine.process, exchange] {
    runOrHold(engine, [this, &engine, process, exchange] { finish(engine, process, exchange); });
  });
}

void SimEngines::finish(Engine& engine, std::uint64_t process, const Open& exchange) {
  if (engine.process != process) {
    return;
  }
  --engine.running;
  engine.open.erase(exchange->number);
  if (!engine.waiting.empty()) {
    const Open next = engine.waiting.front();
    engine.waiting.pop_front();
    begin(engine, next);
  }
  EngineAnswer fullAnswer{kHttpOk,
                          answerPrefix(exchange->call.body) + std::to_string(++lastNonce_)};
  const double fault = world_.chance();
  if (fault < options_.mismatched) {
    answer(
        exchange, networkDelay(),
        makeError(ErrorCode::ResponseMismatch, "answer belongs to another request", Ran::Unknown));
  } else if (fault < options_.mismatched + options_.truncated) {
    answer(exchange, networkDelay(),
           makeError(ErrorCode::EngineFailed, "connection closed in the middle of the answer",
                     Ran::Unknown));
  } else if (fault < options_.mismatched + options_.truncated + options_.lateAnswer) {
    answer(exchange, kLateAnswer, std::move(fullAnswer));
  } else {
    answer(exchange, networkDelay(), std::move(fullAnswer));
  }
}

void SimEngines::crash(const std::string& address) {
  Engine& engine = engines_.at(address);
  world_.trace("engine " + engine.listed.id + " crashes");
  ++engine.process;
  engine.up = false;
  engine.frozen = false;
  engine.held.clear();
  engine.waiting.clear();
  engine.running = 0;
  engine.drainingSince.reset();
  for (const auto& open : engine.open) {
    answer(open.second, networkDelay(),
           makeError(ErrorCode::EngineFailed, "connection reset", Ran::Unknown));
  }
  engine.open.clear();
}

void SimEngines::restart(const std::string& address) {
  Engine& engine = engines_.at(address);
  if (!engine.up) {
    world_.trace("engine " + engine.listed.id + " starts");
    engine.up = true;
  }
}

void SimEngines::freeze(const std::string& address) {
  Engine& engine = engines_.at(address);
  world_.trace("engine " + engine.listed.id + " freezes");
  engine.frozen = engine.up;
}

void SimEngines::unfreeze(const std::string& address) {
  Engine& engine = engines_.at(address);
  engine.frozen = false;
  std::vector<std::function<void()>> held;
  held.swap(engine.held);
  for (const auto& event : held) {
    event();
  }
}

void SimEngines::slowDown(const std::string& address, double factor) {
  engines_.at(address).slowdown = factor;
}

void SimEngines::setDraining(const std::string& address, bool draining) {
  Engine& engine = engines_.at(address);
  world_.trace("engine " + engine.listed.id + (draining ? " starts draining" : " stops draining"));
  if (!draining) {
    engine.drainingSince.reset();
  } else if (!engine.drainingSince) {
    engine.drainingSince = world_.now();
  }
}

void SimEngines::heal() {
  options_ = SimEngineOptions{};
  for (auto& entry : engines_) {
    restart(entry.first);
    unfreeze(entry.first);
    entry.second.slowdown = 1;
    entry.second.drainingSince.reset();
  }
}

void FrontEngineClient::probe(const std::string& address, std::function<void(EngineHealth)> done) {
  auto result = std::make_shared<EngineHealth>();
  const auto guarded = node_.inThisProcess([done = std::move(done), result] { done(*result); });
  engines_.probe(address, [guarded, result](EngineHealth health) {
    *result = health;
    guarded();
  });
}

void FrontEngineClient::run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) {
  runLive(std::move(call), false, std::move(done));
}

void FrontEngineClient::runLive(EngineCall call, bool repeatable,
                                std::function<void(Result<EngineAnswer>)> done) {
  const auto attempt = std::make_shared<Attempt>();
  attempt->call = std::move(call);
  attempt->repeatable = repeatable;
  attempt->done = std::move(done);
  tryNext(attempt, makeError(ErrorCode::NoEngine));
}

std::string FrontEngineClient::choose(const Attempt& attempt) {
  if (node_.world().now() >= source_->freshUntil()) {
    return {};
  }
  std::vector<std::string> ready;
  for (const EngineInfo& engine : source_->table()->engines) {
    const bool usable = engine.state == EngineState::Ready && engine.model == attempt.call.model;
    if (usable && attempt.excluded.count(engine.address) == 0) {
      ready.push_back(engine.address);
    }
  }
  return ready.empty() ? std::string() : ready[node_.world().pick(ready.size())];
}

void FrontEngineClient::tryNext(const std::shared_ptr<Attempt>& attempt, const Error& last) {
  const std::string address = choose(*attempt);
  if (address.empty() || attempt->connects >= kMaxConnects) {
    const auto guarded =
        node_.inThisProcess([attempt, last] { attempt->done(Result<EngineAnswer>(last)); });
    node_.world().schedule(kMinNetworkDelay, guarded);
    return;
  }
  ++attempt->connects;
  attempt->excluded.insert(address);
  const auto result = std::make_shared<std::optional<Result<EngineAnswer>>>();
  const auto guarded =
      node_.inThisProcess([this, attempt, result] { answered(attempt, **result); });
  engines_.exchange(address, attempt->call, [guarded, result](Result<EngineAnswer> answer) {
    result->emplace(std::move(answer));
    guarded();
  });
}

void FrontEngineClient::answered(const std::shared_ptr<Attempt>& attempt,
                                 const Result<EngineAnswer>& result) {
  if (result) {
    attempt->done(result);
    return;
  }
  Error error = result.error();
  attempt->runs += error.ran == Ran::No ? 0 : 1;
  error.ran = attempt->runs > 0 ? Ran::Unknown : Ran::No;
  const bool mayRepeat = attempt->repeatable && attempt->runs < kMaxRuns;
  if (attempt->runs > 0 && !mayRepeat) {
    attempt->done(Result<EngineAnswer>(error));
    return;
  }
  tryNext(attempt, error);
}

}  // namespace shedshed::sim
