/// @file
/// The table of engines of one node, merged from the listing and all health reports.
#pragma once

#include "engines/engine_health_report.h"
#include "engines/engine_listing.h"
#include "engines/engine_table.h"
#include "kernel/core.h"
#include "kernel/snapshot.h"
#include "membership/directory.h"

#include <functional>
#include <memory>
#include <vector>

namespace shedshed {

/// Collects the listing and the reports, and publishes a new table after changes. Changes within
/// the minimum interval share one rebuild. `read` may be called by any thread, the rest on the core
/// thread only.
class EngineHealthTable {
 public:
  /// Starts timer @p rebuildTimer of @p context, whose expiry must call `rebuild`.
  EngineHealthTable(CoreContext& context, TimerId rebuildTimer, Duration minRebuildInterval);

  void setListing(EngineListing listing);
  const EngineListing& listing() const { return listing_; }

  /// Stores the report that @p checker has published; @p nodes shows which checkers are dead.
  void setReport(const NodeId& checker, EngineHealthReport report, const NodeTable& nodes);
  /// Replaces the results of this node that it does not publish.
  void setOwnReport(EngineHealthReport report);
  /// Updates which checkers are confirmed dead.
  void updateDeadCheckers(const NodeTable& nodes);
  /// Removes the results of checkers that have been dead for @p expiry.
  void expireDeadCheckers(Duration expiry);

  /// Builds the table and calls the listeners if it has changed.
  void rebuild();

  std::shared_ptr<const EngineTable> read() const { return table_.read(); }
  void addListener(std::function<void(const EngineTable&)> listener);

 private:
  void scheduleRebuild();

  CoreContext& context_;
  const TimerId rebuildTimer_;
  const Duration minRebuildInterval_;
  EngineListing listing_;
  EngineHealthReports reports_;
  bool rebuildScheduled_ = false;
  Time lastRebuild_{};
  Snapshot<EngineTable> table_;
  std::vector<std::function<void(const EngineTable&)>> listeners_;
  /// Expires with this object: a deferred rebuild that runs later does nothing.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace shedshed
