#include "batch/queued_token_quota.h"

namespace shedshed {
namespace {

constexpr TimerId kRebuildTimer = 1;
/// A rebuild that takes at least this long is logged.
constexpr Duration kSlowRebuildThreshold = std::chrono::seconds(2);

}  // namespace

QueuedTokenQuota::QueuedTokenQuota(CoreContext& context, PartitionStore& store,
                                   ConfigurationSource& configuration, const Directory& directory,
                                   BatchSafeguards safeguards)
    : context_(context), store_(store), settings_(configuration), directory_(directory),
      safeguards_(safeguards) {}

PartitionId QueuedTokenQuota::partition() {
  return partitionOf(TableKind::Slots, "waiting-tokens");
}

void QueuedTokenQuota::start() {}

void QueuedTokenQuota::receive(const NodeId& from, const Message& message) {
  dispatchMessage<ReserveQueuedTokens>(
      message, [&](const ReserveQueuedTokens& typed) { onReserve(from, typed); }) ||
      dispatchMessage<QueuedTokensReport>(
          message, [&](const QueuedTokensReport& typed) { onReport(from, typed); });
}

void QueuedTokenQuota::timerExpired(TimerId) {
  if (refreshOwnership() && !unreported_.empty()) {
    requestMissingReports();
  }
}

bool QueuedTokenQuota::isReady() const {
  return epoch_ != 0 && store_.epoch(partition()) == epoch_ && unreported_.empty();
}

bool QueuedTokenQuota::refreshOwnership() {
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
  unreported_.clear();
  rebuildStartedAt_ = context_.now();
  slowRebuildLogged_ = false;
  for (std::uint32_t index = 0; safeguards_.rebuildQuotaFromOwners && index < kPartitionCount;
       ++index) {
    unreported_.insert(PartitionId{TableKind::Batches, index});
  }
  requestMissingReports();
  return true;
}

void QueuedTokenQuota::requestMissingReports() {
  if (unreported_.empty()) {
    return;
  }
  if (!slowRebuildLogged_ && context_.now() - rebuildStartedAt_ >= kSlowRebuildThreshold) {
    slowRebuildLogged_ = true;
    context_.logEvent(TraceEvent("QueuedTokenRebuildSlow", Severity::Warning)
                          .field("unanswered_partitions", unreported_.size())
                          .field("first_unanswered", unreported_.begin()->index));
  }
  QueuedTokensRequest request;
  request.quotaEpoch = epoch_;
  request.partitions.assign(unreported_.begin(), unreported_.end());
  // Includes stores that are marked dead: they may have just restarted.
  for (const NodeId& store : directory_.table()->known(NodeRole::Store)) {
    context_.send(store, request);
  }
  context_.startTimer(kRebuildTimer, kQuotaRebuildRetry);
}

void QueuedTokenQuota::onReport(const NodeId& from, const QueuedTokensReport& report) {
  if (!refreshOwnership()) {
    ReserveQueuedTokens request;
    request.number = report.number;
    reply(from, request, ReserveOutcome::NotReady);
    return;
  }
  for (const PartitionTokens& tokens : report.partitions) {
    table_.applyReport(tokens, report.number);
    if (report.quotaEpoch == epoch_ && unreported_.erase(tokens.partition) != 0 &&
        unreported_.empty()) {
      context_.logEvent(TraceEvent("QueuedTokenRebuildFinished"));
    }
  }
}

void QueuedTokenQuota::onReserve(const NodeId& from, const ReserveQueuedTokens& request) {
  if (!refreshOwnership() || !unreported_.empty()) {
    context_.counters().add("queued_tokens_not_ready_total");
    reply(from, request, ReserveOutcome::NotReady);
    return;
  }
  const std::uint64_t limit = settings_.queuedTokenLimit(request.batch.account.route);
  const ReserveOutcome outcome = table_.reserve(request, limit);
  if (outcome != ReserveOutcome::Granted) {
    context_.counters().add("queued_tokens_rejected_total");
    reply(from, request, outcome);
    return;
  }
  if (!safeguards_.proveQuotaOwnership) {
    reply(from, request, outcome);
    return;
  }
  store_.confirmOwnership(partition(), [this, from, request, epoch = epoch_](Status status) {
    if (status && epoch == epoch_) {
      reply(from, request, ReserveOutcome::Granted);
    }
  });
}

void QueuedTokenQuota::reply(const NodeId& to, const ReserveQueuedTokens& request,
                             ReserveOutcome outcome) {
  ReserveQueuedTokensReply answer;
  answer.number = request.number;
  answer.partition = request.partition;
  answer.batchId = request.batch.batchId;
  answer.outcome = outcome;
  if (outcome == ReserveOutcome::NotReady) {
    answer.quotaOwner = store_.ownerHint(partition());
  }
  context_.send(to, answer);
}

}  // namespace shedshed
