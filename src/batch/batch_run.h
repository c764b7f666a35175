/// @file
/// One run of a batch in its runner's memory.
#pragma once

#include "batch/batch_messages.h"
#include "batch/item_admission.h"
#include "batch/waiting_items.h"
#include "partition/partition_store.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace shedshed {

/// Names a run: batch id and run epoch.
using RunKey = std::pair<std::string, std::uint64_t>;

/// What an attempt of an item waits for.
enum class AttemptPhase {
  Acquiring,  ///< Slots.
  Starting,   ///< The owner makes `Started` durable.
  Running,    ///< The engine.
  Reporting,  ///< The owner acknowledges the result or the revert.
};

/// An attempt of an item that is in flight.
struct ItemAttempt {
  AttemptPhase phase = AttemptPhase::Acquiring;
  std::uint64_t attempt = 0;
  std::string model;
  std::string body;
  std::optional<std::uint64_t> grant;  ///< Granted slots.
  std::string suggestedEngine;
  Time startRequestedAt{};
  Time lastSent{};
  std::optional<Message> report;  ///< `FinishItem` or `RevertStart`, until acknowledged.
};

/// A run that the owner of the batch assigned to this node.
struct BatchRun {
  AssignRun assignment;
  Time due{};  ///< When all results are due, if the assignment has a due time.
  PartitionId partition;
  std::uint32_t locatorAttempt = 0;
  Time leaseEnd{};  ///< Nothing starts from here on; extended by heartbeat replies.
  Time heartbeatSent{};
  bool heartbeatInFlight = false;  ///< The last heartbeat has no reply yet.
  bool stopped = false;            ///< Cancelled: nothing starts, what runs is finished.
  bool ended = false;              ///< Fenced or finished: only reports what ran.
  WaitingItems waiting;
  std::map<std::uint64_t, ItemAttempt> items;                ///< By position.
  std::map<std::uint64_t, std::uint32_t> engineCallsByItem;  ///< Engine calls by position.
  std::map<std::string, ItemAdmission> admissions;           ///< By model.
  std::uint64_t fetchFrom = 0;                               ///< Position of the next page.
  std::optional<Time> fetchSent;                             ///< A page is in flight since then.
  Time nextPass{};  ///< The first page is not fetched before.
};

}  // namespace shedshed
