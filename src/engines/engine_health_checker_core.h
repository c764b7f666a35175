/// @file
/// Watches the engines: each by two fronts, whose findings reach all nodes by gossip.
///
/// Computed traffic at 3,300 engines and 390 fronts: 3,300 x 2 / 390 = ~17 engines watched by each
/// front, so ~17 probes a second. A report is ~17 x 16 B = ~270 B, ~330 B with its envelope; sent
/// to 389 nodes that is ~128 KB, at most every 66 s for moved `running` values alone (see
/// `runningStep`): ~2 KB/s sent and as much received. A change of state is sent at once. The table
/// of 3,300 engines holds ~100 B each: ~330 KB a node.
#pragma once

#include "engines/engine_health_report.h"
#include "engines/engine_listing.h"
#include "engines/engine_table.h"
#include "kernel/core.h"
#include "kernel/snapshot.h"
#include "membership/directory.h"
#include "membership/gossip_topics.h"
#include "register/configuration_register.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shedshed {

/// Times and bounds of the engine watch.
struct EngineWatchOptions {
  Duration probeInterval = std::chrono::seconds(1);
  Duration goneAfter = std::chrono::seconds(2);  ///< Without a sign of life.
  std::uint32_t watchersPerEngine = 2;
  Duration handover = std::chrono::seconds(3);    ///< A watcher goes on this long after its duty.
  Duration deadExpiry = std::chrono::seconds(5);  ///< Findings of a dead watcher count this long.
  Duration minRunningAge = std::chrono::seconds(1);  ///< Between reports of moved values.
  Duration maxRunningAge = std::chrono::seconds(5);  ///< An untold change waits at most this long.
  Duration runningStep = std::chrono::milliseconds(20);  ///< Lower bound of both, per engine.
  /// States that change within this time are reported together: a front that starts finds some 17
  /// engines ready within milliseconds.
  Duration reportDelay = std::chrono::milliseconds(20);
  /// Least time between two rebuilds of the table, whose cost is that of all engines.
  Duration minRebuildAge = std::chrono::milliseconds(50);
  /// In doubt about what other nodes tell, a front watches all engines itself, and goes on for this
  /// long after the doubt has ended: by then gossip has caught up.
  Duration verification = std::chrono::seconds(5);
  Duration doubtInterval = std::chrono::milliseconds(250);  ///< Between looks for a doubt.
  /// After a standstill the table counts again this long after the engines were asked anew.
  Duration answersWithin = std::chrono::milliseconds(500);
  double runningChange = 0.25;  ///< Part of `max_running` by which a value has moved notably.
};

/// The engine watch of one node. Without a probe (control nodes) it only listens.
///
/// A front may be left alone with old findings: by a cut, until it holds the watchers dead, or by a
/// standstill of its own. It then watches all engines itself, so that it learns within the usual
/// time that an engine drains. After a standstill its table counts only once that was done.
class EngineWatchCore : public Core, public EngineSource {
 public:
  /// @p probe is null on nodes that do not watch. All references must outlive the core.
  EngineWatchCore(CoreContext& context, Directory& directory, GossipTopics& gossip,
                  ConfigurationSource& configuration, EngineProbe* probe,
                  EngineWatchOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  std::shared_ptr<const EngineTable> table() const override { return table_.read(); }
  Time freshUntil() const override { return Time(Duration(freshUntil_.load())); }
  void addListener(std::function<void(const EngineTable&)> listener) override;

 private:
  /// What this node knows of an engine that it watches.
  struct Watched {
    std::string address;
    std::uint32_t maxRunning = 0;
    bool first = false;   ///< First of the watchers: moved `running` values are its to report.
    bool shared = false;  ///< Watched by duty; else only to verify what others tell.
    Time lastDuty{};
    Time lastContact{};  ///< Last sign of life; at first the start of the watch.
    std::uint64_t newestAnswer = 0;
    EngineState state = EngineState::Unknown;
    std::uint32_t running = 0;
    std::uint32_t reportedRunning = 0;
  };

  void setListing(const RegisterValue& value);
  void setReport(const NodeId& origin, const std::string& bytes);
  void updateDead(const NodeTable& nodes);
  void noticeStandstill();
  void noticeDoubt();
  /// Watches all engines from now on, until `verification` after the last call.
  void verify();
  bool verifies() const;
  void extendFreshness();
  void updateDuties();
  void probeAll();
  void answered(const std::string& id, const std::string& address, std::uint64_t number,
                const EngineHealth& health);
  void findUnreachable();
  bool runningIsDue() const;
  void publishReport();
  void publishShared(const EngineReport& shared);
  void reportSoon();
  void tableDirty();
  void rebuildTable();
  std::vector<NodeId> eligibleWatchers() const;

  CoreContext& context_;
  Directory& directory_;
  GossipTopics& gossip_;
  ConfigurationSource& configuration_;
  EngineProbe* probe_;
  const EngineWatchOptions options_;
  EngineListing listing_;
  std::map<std::string, Watched> watched_;  ///< By engine id.
  EngineReports reports_;
  std::uint64_t probeNumber_ = 0;
  Time lastTick_ = Time::max();
  Time verifyUntil_ = Time::min();
  Time unprovedUntil_ = Time::min();  ///< After a standstill: the engines have not answered yet.
  std::atomic<Duration::rep> freshUntil_{Duration::max().count()};
  std::string publishedReport_;
  Time lastReport_{};
  bool reportScheduled_ = false;
  bool dirty_ = false;  ///< A rebuild is on its way.
  Time lastRebuild_{};
  Snapshot<EngineTable> table_;
  std::vector<std::function<void(const EngineTable&)>> listeners_;
  /// Expires with the core: answers that come later are dropped.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace shedshed
