/// @file
/// Simulated engines, and the client through which fronts call them.
#pragma once

#include "engines/engine_listing.h"
#include "engines/engine_runner.h"
#include "engines/engine_table.h"
#include "sim/invariants.h"
#include "sim/world.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace shedshed::sim {

/// Prefix of the answer to @p body; a nonce follows, so that the answers of two runs differ.
std::string answerPrefix(const std::string& body);

/// Run times of requests and probabilities of faulty answers, per request.
struct SimEngineOptions {
  double mismatched = 0;  ///< The answer belongs to another request.
  double lateAnswer = 0;  ///< The answer arrives after the front's timeout.
  double truncated = 0;   ///< The connection closes in the middle of the answer.
  Duration minRun = std::chrono::milliseconds(200);
  Duration maxRun = std::chrono::milliseconds(2500);
  double longRuns = 0.1;  ///< Share of runs that exceed the time to live of their slots.
  Duration maxLongRun = std::chrono::seconds(15);
};

/// All engines of a world. An engine finishes a request even if its caller has timed out.
class SimEngines {
 public:
  using Done = std::function<void(Result<EngineAnswer>)>;

  SimEngines(World& world, RunLog& runs) : world_(world), runs_(runs) {}

  void add(ListedEngine engine);
  SimEngineOptions& options() { return options_; }
  /// The JSON of the engines register.
  std::string listing() const;
  std::vector<std::string> addresses() const;

  /// Answers as `GET /ready` of the engine would, after a network delay.
  void probe(const std::string& address, std::function<void(EngineHealth)> done);
  /// One exchange over a new connection. @p done is called at most once per call; an error's `ran`
  /// is `No` only if the connection was refused.
  void exchange(const std::string& address, const EngineCall& call, Done done);

  void crash(const std::string& address);
  void restart(const std::string& address);
  void freeze(const std::string& address);
  void unfreeze(const std::string& address);
  void slowDown(const std::string& address, double factor);
  void setDraining(const std::string& address, bool draining);
  /// Ends all engine faults.
  void heal();

  /// While set, a request sent to an engine more than `kStopBound` after it began to drain is a
  /// violation.
  void setDrainChecked(bool checked) { drainChecked_ = checked; }

 private:
  struct Exchange {
    std::uint64_t number =
        0;  ///< Increasing, so that the iteration order is the same in every run.
    EngineCall call;
    Done done;
  };
  using Open = std::shared_ptr<Exchange>;
  struct Engine {
    ListedEngine listed;
    bool up = true;
    bool frozen = false;
    double slowdown = 1;
    std::optional<Time> drainingSince;
    std::uint64_t process = 0;
    std::uint32_t running = 0;
    std::deque<Open> waiting;
    std::map<std::uint64_t, Open> open;       ///< By number.
    std::vector<std::function<void()>> held;  ///< Events deferred while the engine is frozen.
  };

  Duration networkDelay();
  void receive(Engine& engine, const Open& exchange);
  void begin(Engine& engine, const Open& exchange);
  void finish(Engine& engine, std::uint64_t process, const Open& exchange);
  void runOrHold(Engine& engine, std::function<void()> event);
  void answer(const Open& exchange, Duration after, Result<EngineAnswer> result);

  World& world_;
  RunLog& runs_;
  SimEngineOptions options_;
  std::map<std::string, Engine> engines_;  ///< By address.
  std::uint64_t lastExchange_ = 0;
  std::uint64_t lastNonce_ = 0;
  bool drainChecked_ = true;
};

/// Engine client of one front. Models the routing and the at-most-once rule of `serving/` without
/// HTTP; it does not run that code.
class FrontEngineClient : public EngineProbe, public EngineRunner {
 public:
  FrontEngineClient(SimNode& node, SimEngines& engines) : node_(node), engines_(engines) {}

  /// Called once, before the first run. @p source must outlive this.
  void setSource(const EngineSource& source) { source_ = &source; }

  void probe(const std::string& address, std::function<void(EngineHealth)> done) override;
  void run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) override;
  /// Runs a live call; a repeatable call may be retried after an unknown outcome.
  void runLive(EngineCall call, bool repeatable, std::function<void(Result<EngineAnswer>)> done);

 private:
  struct Attempt {
    EngineCall call;
    bool repeatable = false;
    std::function<void(Result<EngineAnswer>)> done;
    std::set<std::string> excluded;
    int connects = 0;
    int runs = 0;
  };
  void tryNext(const std::shared_ptr<Attempt>& attempt, const Error& last);
  void answered(const std::shared_ptr<Attempt>& attempt, const Result<EngineAnswer>& result);
  std::string choose(const Attempt& attempt);

  SimNode& node_;
  SimEngines& engines_;
  const EngineSource* source_ = nullptr;
};

}  // namespace shedshed::sim
