/// @file
/// In-memory state of one run of a batch at its runner.
#pragma once

#include "batch/batch_messages.h"
#include "batch/item_admission.h"
#include "batch/item_history.h"
#include "batch/stall_detector.h"
#include "batch/waiting_items.h"
#include "partition/partition_store.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace shedshed {

/// Identifies a run: batch id and run epoch.
using RunKey = std::pair<std::string, std::uint64_t>;

/// What an item attempt is waiting for.
enum class AttemptPhase {
  Acquiring,  ///< The grant of slots.
  Starting,   ///< The owner's confirmation that `Started` is durable.
  Running,    ///< The engine's response.
  Reporting,  ///< The owner's acknowledgement of the result or revert.
};

/// An item attempt in flight.
struct ItemAttempt {
  AttemptPhase phase = AttemptPhase::Acquiring;
  std::uint64_t attempt = 0;
  ItemTarget target;
  std::uint64_t targetsVersion = 0;  ///< That `target` is based on.
  std::string body;
  std::optional<std::uint64_t> grant;  ///< Id of the granted slots.
  std::string suggestedEngine;
  Time startRequestedAt{};
  Time lastSent{};
  std::optional<Message> report;  ///< `FinishItem` or `RevertStart`, until acknowledged.
};

/// A run that the owner of the batch assigned to this node.
struct BatchRun {
  AssignRun assignment;
  Time assignedAt{};  ///< When the assignment arrived; the batch had been accepted by then.
  Time due{};         ///< When all results are due, if the assignment has a due time.
  PartitionId partition;
  std::uint32_t locatorAttempt = 0;
  Time leaseEnd{};  ///< No item starts after this; extended by heartbeat replies.
  Time heartbeatSent{};
  bool heartbeatInFlight = false;  ///< The last heartbeat has not been replied to.
  bool stopped = false;            ///< Cancelled: no new starts; running items are finished.
  bool ended = false;              ///< Fenced or finished: only reports outstanding results.
  WaitingItems waiting;
  std::map<std::uint64_t, ItemAttempt> items;       ///< By position.
  std::map<std::uint64_t, ItemHistory> histories;   ///< By position; of items that were called.
  std::map<std::string, ItemAdmission> admissions;  ///< By model.
  StallDetector stalls;
  std::uint64_t fetchFrom = 0;    ///< Position of the next page.
  std::optional<Time> fetchSent;  ///< Set while a page is in flight.
  Time nextPass{};                ///< Earliest time of the next first page.
};

}  // namespace shedshed
