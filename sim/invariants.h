/// @file
/// Invariants of every run, checked at each observation.
///
/// The parts of the simulation report requests at engines, answers to callers, results read,
/// changes acknowledged and settings adopted. A broken invariant is recorded by
/// `World::violation`.
#pragma once

#include "batch/batch_client.h"
#include "register/configuration_register.h"
#include "sim/settings_history.h"
#include "sim/world.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shedshed::sim {

/// A withdrawn key may be accepted for this long after the withdrawal was acknowledged.
inline constexpr Duration kWithdrawalBound = std::chrono::seconds(5);
/// All fronts of a healthy fleet use new settings after this time.
inline constexpr Duration kAdoptionBound = std::chrono::seconds(2);
/// A cancelled batch may start items, and a draining engine get requests, for this long.
inline constexpr Duration kStopBound = std::chrono::seconds(3);
/// A control node that was isolated for this long has no lease and owns no partition.
inline constexpr Duration kIsolationBound = std::chrono::seconds(20);
/// An accepted batch can be read at any front of a healthy fleet after this time.
inline constexpr Duration kReadableBound = std::chrono::seconds(1);

/// Invariants of engine requests: a request that is not repeatable runs at most once, and a request
/// reported as not run never runs.
class RunLog {
 public:
  explicit RunLog(World& world) : world_(world) {}

  /// A caller is about to send the request that @p body names. Bodies are unique.
  void expect(const std::string& body, bool repeatable);
  /// A front sends the request to an engine; a frozen engine reads it only when it is unfrozen.
  void sent(const std::string& body);
  /// An engine received the request.
  void received(const std::string& engine, const std::string& body);
  /// A caller was told that the request did not run and never will.
  void reportedNotRun(const std::string& body);
  /// A caller was told that the request ran.
  void reportedRan(const std::string& body);
  /// The batch of the item was cancelled, and the caller told.
  void cancelled(const std::string& body);

  std::uint64_t runs(const std::string& body) const;
  std::uint64_t received() const { return received_; }

 private:
  struct Request {
    bool repeatable = false;
    bool reportedNotRun = false;
    std::uint64_t runs = 0;
    std::optional<Time> cancelledAt;
  };
  World& world_;
  std::map<std::string, Request> requests_;
  std::uint64_t received_ = 0;
};

/// Invariants of batches: an accepted batch is never lost, and its results never change.
class BatchLog {
 public:
  /// A batch as its caller knows it.
  struct Batch {
    std::string tenant;
    std::string id;
    bool repeatable = false;
    std::vector<std::string> bodies;
    bool cancelSent = false;
    Time acceptedAt{};
    bool readOnce = false;
    std::map<std::uint64_t, ItemResult> results;  ///< As read for the first time.
    bool complete() const { return results.size() == bodies.size(); }
  };

  BatchLog(World& world, RunLog& runs) : world_(world), runs_(runs) {}

  /// A submission was acknowledged. A resend must name the same batch.
  void accepted(const std::string& clientKey, const BatchSubmission& submission,
                const BatchStatus& status);
  /// A read from position @p from was answered.
  void readResults(const std::string& clientKey, std::uint64_t from, const ResultPage& page);
  void readUnfinished(const std::string& clientKey, const std::vector<UnfinishedItem>& items);
  /// A read failed.
  void readFailed(const std::string& clientKey, const Error& error);
  void cancelSent(const std::string& clientKey);
  void cancelAcknowledged(const std::string& clientKey);

  const std::map<std::string, Batch>& batches() const { return batches_; }
  bool allComplete() const;

 private:
  void checkResult(const Batch& batch, const ItemResult& result);

  World& world_;
  RunLog& runs_;
  std::map<std::string, Batch> batches_;  ///< By client key.
};

/// Invariants of the settings register and its distribution.
class SettingsLog {
 public:
  SettingsLog(World& world, SettingsHistory& history) : world_(world), history_(history) {}

  /// An operator's order was answered.
  void changeAnswered(const std::string& orderId, const std::string& value,
                      const Result<ChangeOutcome>& outcome);
  /// A quorum read has been answered; @p newestBefore is the newest version that was acknowledged
  /// when it was sent.
  void readAnswered(std::uint64_t newestBefore, const RegisterValue& value);
  /// A node has adopted a value.
  void adopted(const NodeId& node, const RegisterValue& value);
  /// A front has accepted a call with @p key, under @p version of the settings.
  void callAccepted(const NodeId& front, const std::string& key, std::uint64_t version);

  std::uint64_t newestAcknowledged() const { return newestAcknowledged_; }
  std::uint64_t changesAcknowledged() const { return orders_.size(); }

 private:
  void checkValue(const RegisterValue& value, const std::string& where);
  void recordAcknowledgement(std::uint64_t version, const std::string& value);

  World& world_;
  SettingsHistory& history_;
  std::map<std::uint64_t, std::string> values_;           ///< The one value of each version.
  std::map<std::string, std::uint64_t> orders_;           ///< Version of each applied order.
  std::set<std::string> refused_;                         ///< Orders reported as rejected.
  std::map<NodeId, std::uint64_t> adopted_;               ///< Newest version adopted by each node.
  std::map<std::string, Time> withdrawnAt_;               ///< Acknowledgement of each withdrawal.
  std::vector<std::pair<Time, std::uint64_t>> versions_;  ///< Acknowledgements of newest versions.
  std::uint64_t newestAcknowledged_ = 0;
};

/// All invariants of one run.
struct Invariants {
  explicit Invariants(World& world) : runs(world), batches(world, runs), settings(world, history) {}

  SettingsHistory history;
  RunLog runs;
  BatchLog batches;
  SettingsLog settings;
};

}  // namespace shedshed::sim
