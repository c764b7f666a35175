#include "partition/table_merge.h"

#include <algorithm>

namespace shedshed {

TableMerge::TableMerge(CoreContext& context, PartitionReplica& replica,
                       const PromiseQuorum& promises, std::uint64_t epoch)
    : context_(context), replica_(replica), promises_(promises), epoch_(epoch) {}

const PromiseQuorum::Promise& TableMerge::promiseOf(const NodeId& node) const {
  return promises_.promises().at(node);
}

void TableMerge::begin() {
  lastProgressAt_ = context_.now();
  std::uint64_t newest = 0;
  for (const auto& entry : promises_.promises()) {
    newest = std::max(newest, entry.second.answer.installedEpoch);
  }
  bool equalSource = false;
  for (const auto& entry : promises_.promises()) {
    const PromiseAnswer& answer = entry.second.answer;
    if (newest == 0 || answer.installedEpoch != newest || entry.first == context_.self()) {
      continue;
    }
    equalSource = equalSource || answer.checksum == replica_.table().checksum();
    sources_.push_back(entry.first);
  }
  const bool selfIsNewest = promiseOf(context_.self()).answer.installedEpoch == newest;
  replaceOwn_ = !selfIsNewest && !equalSource;
  fetchNextTable();
}

void TableMerge::fetchNextTable() {
  while (!sources_.empty()) {
    const PromiseAnswer& answer = promiseOf(sources_.front()).answer;
    if (replaceOwn_ || answer.checksum != replica_.table().checksum()) {
      fetchFromStart_ = true;
      fetchAfter_.clear();
      sendFetch();
      return;
    }
    sources_.erase(sources_.begin());
  }
}

void TableMerge::sendFetch() {
  fetchSentAt_ = context_.now();
  context_.send(sources_.front(),
                FetchRequest{replica_.partition(), epoch_, fetchFromStart_, fetchAfter_});
}

bool TableMerge::isExpected(const NodeId& from, const FetchReply& reply) const {
  return reply.epoch == epoch_ && !sources_.empty() && from == sources_.front() &&
         reply.storeId == promiseOf(from).storeId && reply.page.fromStart == fetchFromStart_ &&
         reply.page.afterKey == fetchAfter_;
}

void TableMerge::receive(const NodeId& from, const FetchReply& reply) {
  if (!isExpected(from, reply)) {
    return;
  }
  lastProgressAt_ = context_.now();
  replica_.applyTakeoverPage(reply.page, epoch_, replaceOwn_);
  context_.counters().add("partition_takeover_rows_total",
                          static_cast<double>(reply.page.rows.size()));
  if (!reply.page.last) {
    fetchFromStart_ = false;
    fetchAfter_ = reply.page.throughKey;
    sendFetch();
    return;
  }
  replaceOwn_ = false;
  sources_.erase(sources_.begin());
  fetchNextTable();
}

void TableMerge::tick() {
  if (!isFinished() && context_.now() - fetchSentAt_ >= PartitionOptions::kRetransmitTimeout) {
    sendFetch();
  }
}

bool TableMerge::isTimedOut() const {
  return context_.now() - lastProgressAt_ >= kProgressTimeout;
}

}  // namespace shedshed
