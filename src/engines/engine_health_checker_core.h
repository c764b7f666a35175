/// @file
/// Checks the health of the engines: each by two data nodes, whose results reach all nodes by
/// gossip.
///
/// Computed traffic at 3,300 engines and 390 data nodes: 3,300 x 2 / 390 = ~17 engines checked by
/// each node, so ~17 checks a second. A report is ~17 x 16 B = ~270 B, ~330 B with its envelope;
/// sent to 389 nodes that is ~128 KB, at most every 66 s for changed loads alone (see
/// `loadReportIntervalPerEngine`): ~2 KB/s sent and as much received. A change of state is sent at
/// once. The table of 3,300 engines holds ~100 B each: ~330 KB a node.
#pragma once

#include "engines/checked_engines.h"
#include "engines/engine_health_checker_options.h"
#include "engines/engine_health_table.h"
#include "engines/engine_table.h"
#include "engines/health_report_publisher.h"
#include "engines/peer_result_verification.h"
#include "kernel/core.h"
#include "membership/directory.h"
#include "membership/gossip_topics.h"
#include "register/configuration_register.h"

#include <functional>
#include <memory>
#include <string>

namespace shedshed {

/// The health checker of one node. Without a probe (control nodes) it only adopts the results of
/// others.
///
/// `CheckedEngines` has the results of this node, `HealthReportPublisher` sends them to the peers,
/// and `EngineHealthTable` merges them with those of the peers. A node may have only stale results:
/// during a network partition, until it confirms the checkers dead, or after a stall of its own
/// process. `PeerResultVerification` then makes it check all engines itself, so that it detects a
/// draining engine within the usual time.
class EngineHealthCheckerCore : public Core, public EngineSource {
 public:
  /// @p probe is null on nodes that check nothing. All references must outlive the core.
  EngineHealthCheckerCore(CoreContext& context, Directory& directory, GossipTopics& gossip,
                          ConfigurationSource& configuration, EngineProbe* probe,
                          EngineHealthCheckerOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  std::shared_ptr<const EngineTable> table() const override { return table_.read(); }
  Time freshUntil() const override { return verification_.freshUntil(); }
  void addListener(std::function<void(const EngineTable&)> listener) override;

 private:
  void setListing(const RegisterValue& value);
  void adoptReport(const NodeId& origin, const std::string& bytes);
  void checkEngines();
  void checkForSuspicion();
  void verifyAllEngines();
  void updateAssignments();
  void sendHealthChecks();
  void onHealth(const CheckedEngines::Target& target, std::uint64_t number,
                const EngineHealth& health);
  void scheduleReport();
  void publishReport();

  CoreContext& context_;
  Directory& directory_;
  GossipTopics& gossip_;
  ConfigurationSource& configuration_;
  EngineProbe* probe_;
  const EngineHealthCheckerOptions options_;
  EngineHealthTable table_;
  CheckedEngines checked_;
  PeerResultVerification verification_;
  HealthReportPublisher publisher_;
  bool reportScheduled_ = false;
  std::uint64_t lastCheckNumber_ = 0;
  /// Expires with the core: answers that arrive later are ignored.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace shedshed
