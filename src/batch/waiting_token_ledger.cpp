#include "batch/waiting_token_ledger.h"

namespace shedshed {
namespace {

constexpr TimerId kTickTimer = 1;
/// A rebuild that takes longer is logged.
constexpr Duration kSlowRebuild = std::chrono::seconds(2);

}  // namespace

WaitingTokenLedger::WaitingTokenLedger(CoreContext& context, PartitionStore& store,
                                       ConfigurationSource& configuration,
                                       const Directory& directory, BatchSafeguards safeguards)
    : context_(context), store_(store), settings_(configuration), directory_(directory),
      safeguards_(safeguards) {}

PartitionId WaitingTokenLedger::partition() {
  return partitionOf(TableKind::Slots, "waiting-tokens");
}

void WaitingTokenLedger::start() {}

void WaitingTokenLedger::receive(const NodeId& from, const Message& message) {
  dispatchMessage<ReserveTokens>(message,
                                 [&](const ReserveTokens& typed) { onReserve(from, typed); }) ||
      dispatchMessage<WaitingTokensReport>(
          message, [&](const WaitingTokensReport& typed) { onReport(from, typed); });
}

void WaitingTokenLedger::timerExpired(TimerId) {
  if (acts() && !unknown_.empty()) {
    askStores();
  }
}

bool WaitingTokenLedger::isReady() const {
  return epoch_ != 0 && store_.epoch(partition()) == epoch_ && unknown_.empty();
}

bool WaitingTokenLedger::acts() {
  const std::uint64_t epoch = store_.epoch(partition());
  if (epoch == 0) {
    epoch_ = 0;
    table_.clear();
    return false;
  }
  if (epoch == epoch_) {
    return true;
  }
  epoch_ = epoch;
  table_.clear();
  unknown_.clear();
  askedSince_ = context_.now();
  logged_ = false;
  for (std::uint32_t index = 0; safeguards_.askOwnersOfTokens && index < kPartitionCount; ++index) {
    unknown_.insert(PartitionId{TableKind::Batches, index});
  }
  askStores();
  return true;
}

void WaitingTokenLedger::askStores() {
  if (unknown_.empty()) {
    return;
  }
  if (!logged_ && context_.now() - askedSince_ >= kSlowRebuild) {
    logged_ = true;
    context_.logEvent(TraceEvent("QueuedTokenRebuildSlow", Severity::Warning)
                          .field("unanswered_partitions", unknown_.size())
                          .field("first_unanswered", unknown_.begin()->index));
  }
  WaitingTokensRequest request;
  request.ledgerEpoch = epoch_;
  request.partitions.assign(unknown_.begin(), unknown_.end());
  // A store that is held dead may be one that has just restarted.
  for (const NodeId& store : directory_.table()->known(NodeRole::Store)) {
    context_.send(store, request);
  }
  context_.startTimer(kTickTimer, kLedgerTick);
}

void WaitingTokenLedger::onReport(const NodeId& from, const WaitingTokensReport& report) {
  if (!acts()) {
    ReserveTokens named;
    named.number = report.number;
    reply(from, named, ReserveOutcome::NotReady);
    return;
  }
  for (const PartitionTokens& tokens : report.partitions) {
    table_.adopt(tokens, report.number);
    if (report.ledgerEpoch == epoch_ && unknown_.erase(tokens.partition) != 0 && unknown_.empty()) {
      context_.logEvent(TraceEvent("QueuedTokenRebuildFinished"));
    }
  }
}

void WaitingTokenLedger::onReserve(const NodeId& from, const ReserveTokens& request) {
  if (!acts() || !unknown_.empty()) {
    context_.counters().add("waiting_tokens_not_ready_total");
    reply(from, request, ReserveOutcome::NotReady);
    return;
  }
  const std::uint64_t limit = settings_.waitingTokenLimit(request.batch.account.route);
  const ReserveOutcome outcome = table_.reserve(request, limit);
  if (outcome != ReserveOutcome::Granted) {
    context_.counters().add("waiting_tokens_refused_total");
    reply(from, request, outcome);
    return;
  }
  if (!safeguards_.proveTokenGrants) {
    reply(from, request, outcome);
    return;
  }
  store_.confirmOwnership(partition(), [this, from, request, epoch = epoch_](Status status) {
    if (status && epoch == epoch_) {
      reply(from, request, ReserveOutcome::Granted);
    }
  });
}

void WaitingTokenLedger::reply(const NodeId& to, const ReserveTokens& request,
                               ReserveOutcome outcome) {
  ReserveTokensReply answer;
  answer.number = request.number;
  answer.partition = request.partition;
  answer.batchId = request.batch.batchId;
  answer.outcome = outcome;
  if (outcome == ReserveOutcome::NotReady) {
    answer.ledger = store_.ownerHint(partition());
  }
  context_.send(to, answer);
}

}  // namespace shedshed
