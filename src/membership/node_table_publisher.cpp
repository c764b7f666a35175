#include "membership/node_table_publisher.h"

#include "kernel/message.h"
#include "membership/membership_messages.h"

#include <algorithm>
#include <utility>

namespace shedshed {

namespace {

/// A dead node is withheld from other nodes after `deadNodeRetention` divided by this.
constexpr int kWithholdDivisor = 4;

/// Compares the fields whose changes are published; a change of the name alone is not.
bool sameInfo(const NodeInfo& left, const NodeInfo& right) {
  return left.id == right.id && left.role == right.role && left.state == right.state &&
         left.zone == right.zone && left.incarnation == right.incarnation &&
         left.storeId == right.storeId && left.operatorsAddress == right.operatorsAddress &&
         left.clientAddress == right.clientAddress;
}

bool sameTable(const NodeTable& left, const NodeTable& right) {
  return std::equal(left.nodes.begin(), left.nodes.end(), right.nodes.begin(), right.nodes.end(),
                    sameInfo);
}

}  // namespace

NodeTablePublisher::NodeTablePublisher(CoreContext& context, const DirectoryOptions& options)
    : context_(context), options_(options), detector_(options),
      table_(std::make_shared<const NodeTable>()) {}

void NodeTablePublisher::addListener(std::function<void(const NodeTable&)> listener) {
  listeners_.push_back(std::move(listener));
}

void NodeTablePublisher::setOwnRecord(const NodeInfo& info) {
  records_[info.id] = info;
  changed_ = true;
}

void NodeTablePublisher::setRecord(const NodeId& origin, const std::string& bytes) {
  Result<NodeInfo> info = decodeRecord<NodeInfo>(bytes);
  if (!info || info.value().id != origin) {
    return;
  }
  // A node reports only whether it drains; the failure detector decides whether it is alive.
  if (info.value().state != NodeState::Draining) {
    info.value().state = NodeState::Alive;
  }
  records_[origin] = std::move(info).value();
  changed_ = true;
}

void NodeTablePublisher::setSuspicions(const NodeId& monitor, const std::string& bytes) {
  const Result<SuspicionList> list = decodeRecord<SuspicionList>(bytes);
  changed_ = true;
  detector_.setSuspicions(monitor, list ? list.value().suspicions : std::vector<Suspicion>());
}

void NodeTablePublisher::refresh() {
  if (!changed_) {
    return;
  }
  changed_ = false;
  auto next = std::make_shared<NodeTable>();
  for (const auto& record : records_) {
    next->nodes.push_back(record.second);
  }
  detector_.evaluate(context_.now(), context_.self(), next->nodes);
  if (sameTable(*next, *table_.read())) {
    return;
  }
  table_.publish(next);
  context_.counters().set("directory_nodes_known", static_cast<double>(next->nodes.size()));
  for (const auto& listener : listeners_) {
    listener(*next);
  }
}

std::vector<NodeId> NodeTablePublisher::removeExpired() {
  const Time now = context_.now();
  std::vector<NodeId> expired;
  for (const auto& record : records_) {
    const std::optional<Time> since = detector_.confirmedDeadSince(record.first);
    if (since && now - *since >= options_.deadNodeRetention) {
      expired.push_back(record.first);
    }
  }
  for (const NodeId& node : expired) {
    detector_.erase(node);
    records_.erase(node);
    changed_ = true;
  }
  return expired;
}

std::set<NodeId> NodeTablePublisher::withheldNodes() const {
  return detector_.confirmedDeadBefore(context_.now() -
                                       options_.deadNodeRetention / kWithholdDivisor);
}

}  // namespace shedshed
