/// @file
/// Runs the items of batches, on the data nodes.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_settings.h"
#include "batch/item_admission.h"
#include "engines/engine_runner.h"
#include "kernel/core.h"
#include "partition/owner_locator.h"
#include "slots/slot_client.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace shedshed {

/// Sizes and times of the runner.
struct BatchRunnerOptions {
  std::uint32_t itemsPerBatch = 16;  ///< Items of one batch under way at once.
  std::uint32_t itemsInAll = 64;     ///< Items of all batches under way at once.
  Duration tick = std::chrono::milliseconds(250);
  Duration heartbeat = std::chrono::seconds(1);
  /// Without an acknowledged heartbeat sent within this time no item is started.
  Duration lease = std::chrono::seconds(3);
  /// An acknowledged start that was asked for longer ago than this is taken back and not run: the
  /// batch may have been cancelled since.
  Duration maxStartAge = std::chrono::milliseconds(2500);
  /// Unacknowledged messages to the owner are repeated after this time.
  Duration resend = std::chrono::seconds(1);
  /// Pause after an engine refused an item without running it, and between two passes.
  Duration retryPause = std::chrono::seconds(2);
  /// Runs of one idempotent item by this runner before its outcome is given up as unknown.
  std::uint32_t maxRunsPerItem = 3;
};

/// Runs batches that their owners assign to this node.
///
/// For each item: take slots of the tenant's and the model's pool, have the owner make `Started`
/// durable, call the engine at once, release the slots, report the result until the owner
/// acknowledges it. Every start has a number; what the owner says of another number is not of this
/// start. A refused item asks again after the re-queue delay; `ItemAdmission` bounds what the other
/// items of its model ask for in the meantime.
class BatchRunnerCore : public Core {
 public:
  /// Keeps references; they must outlive it.
  BatchRunnerCore(CoreContext& context, OwnerLocator& locator, SlotClient& slots,
                  EngineRunner& engines, ConfigurationSource& configuration,
                  BatchRunnerOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  /// Starts nothing any more; what runs is finished and each run handed back when it is idle.
  void drain();
  /// True when no item is under way and no result waits for its acknowledgement.
  bool idle() const;

  /// True while draining once the owners know of every run that it is over here.
  bool handedBack() const;

 private:
  static constexpr TimerId kTickTimer = 1;
  static constexpr TimerId kRetryTimer = 2;  ///< Refused items of runs with a share ask again.

  using RunKey = std::pair<std::string, std::uint64_t>;  ///< Batch id and run epoch.

  enum class Phase { Acquiring, Starting, Running, Reporting };

  struct Item {
    Phase phase = Phase::Acquiring;
    std::uint64_t attempt = 0;
    std::string model;
    std::string body;
    std::optional<std::uint64_t> grant;  ///< Slots held.
    std::string suggestedEngine;
    Time startRequestedAt{};
    Time lastSent{};
    std::optional<Message> report;  ///< `FinishItem` or `RevertStart`, until acknowledged.
  };

  /// An item that waits for its turn.
  struct WaitingItem {
    std::uint64_t position = 0;
    std::string model;
    std::string body;
    Time notBefore{};
  };

  struct Run {
    AssignRun assignment;
    Time due{};  ///< When all results are due, if the assignment has a due time.
    PartitionId partition;
    std::uint32_t locatorAttempt = 0;
    Time leaseEnd{};
    Time heartbeatSent{};
    bool heartbeatOpen = false;        ///< The last heartbeat has no answer yet.
    bool stopped = false;              ///< Cancelled.
    bool ended = false;                ///< Fenced or finished: only reports what ran.
    std::deque<WaitingItem> queue;     ///< In the order of the batch.
    std::deque<WaitingItem> requeued;  ///< Refused ones, until their time has come.
    std::map<std::uint64_t, Item> items;
    std::map<std::uint64_t, std::uint32_t> runsOfItem;
    std::uint64_t fetchFrom = 0;
    std::optional<Time> fetchSent;
    Time nextPass{};  ///< The first page is not fetched again before.
    std::map<std::string, ItemAdmission> admissions;  ///< By model.
  };

  // Runs (batch_runner_core.cpp).
  void onAssign(const NodeId& from, const AssignRun& assign);
  void onHeartbeatReply(const NodeId& from, const RunHeartbeatReply& reply);
  void applyAnswer(const NodeId& from, Time sent, const RunAnswer& answer);
  void stopStarting(const RunKey& key, Run& run);
  void sendHeartbeats();
  void returnIfDrained(const RunKey& key, Run& run);
  void onItems(const ItemsPage& page);
  void fetch(const RunKey& key, Run& run);
  void tick();
  void forgetIfDone(const RunKey& key);
  /// Items asked of the owner at once.
  std::uint32_t pageSize() const;
  Run* find(const RunKey& key);
  RunName nameOf(const RunKey& key) const;
  NodeId ownerOf(const Run& run) const;
  bool mayStart(const Run& run) const;

  // Items (batch_runner_items.cpp).
  void startWaitingItems(const RunKey& key);
  void beginItem(const RunKey& key, Run& run, WaitingItem next);
  std::optional<WaitingItem> takeNext(Run& run);
  bool hasCapacity(const Run& run) const;
  bool isKnown(const Run& run, std::uint64_t position) const;
  void recallRequeued(Run& run);
  void requeue(Run& run, std::uint64_t position, Item& item);
  void acquireSlots(const RunKey& key, Run& run, std::uint64_t position);
  void onSlots(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
               const Result<SlotGrant>& grant);
  /// Items that wait for slots or hold them.
  static std::uint32_t requestedSlots(const Run& run);
  void onShare(const RunKey& key, const std::string& model, const RunShare& share);
  void retryRefused();
  void requestStart(const RunKey& key, Run& run, std::uint64_t position);
  void onStartReply(const StartReply& reply);
  void callEngine(const RunKey& key, Run& run, std::uint64_t position);
  void onAnswer(const RunKey& key, std::uint64_t position, std::uint64_t attempt,
                Result<EngineAnswer> answer);
  void onEngineError(const RunKey& key, Run& run, std::uint64_t position, const Error& error);
  void finishItem(const RunKey& key, Run& run, std::uint64_t position, ItemState state,
                  std::string body, ErrorCode code);
  void revertStart(const RunKey& key, Run& run, std::uint64_t position, bool mayHaveRun);
  void report(Run& run, Item& item, Message message);
  void resendItem(const RunKey& key, Run& run, std::uint64_t position, Item& item);
  void onFinishReply(const FinishReply& reply);
  void releaseSlots(Run& run, Item& item);

  CoreContext& context_;
  OwnerLocator& locator_;
  SlotClient& slots_;
  EngineRunner& engines_;
  BatchSettings settings_;
  BatchRunnerOptions options_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t nextAttempt_ = 1;
  std::uint64_t nextHeartbeat_ = 1;
  std::map<std::uint64_t, Time> heartbeatsSent_;
  Time lastHeartbeat_{};
  std::uint32_t itemsInFlight_ = 0;  ///< Items that acquire, start or run.
  bool draining_ = false;
  std::map<RunKey, Run> runs_;
};

}  // namespace shedshed
