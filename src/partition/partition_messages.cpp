// The message half of `PartitionCore`.
#include "partition/partition_core.h"

#include <algorithm>
#include <utility>

namespace shedshed {

void PartitionCore::heard(Place& place, const NodeId& from, std::uint64_t epoch) {
  place.highestEpoch = std::max(place.highestEpoch, epoch);
  if (place.heardEpoch != epoch) {
    place.heardSequence = 0;
    place.nextSequence = 0;
  }
  place.heardOwner = from;
  place.heardEpoch = epoch;
  place.heardAt = context_.now();
}

bool PartitionCore::displacesWorkingOwner(const Place& place, const NodeId& candidate) const {
  NodeId owner;
  if (place.owner && place.announced && !place.owner->lost()) {
    owner = context_.self();
  } else if (place.heardEpoch != 0 && context_.now() - place.heardAt < kOwnerHeard &&
             stores_.isReachable(place.heardOwner)) {
    owner = place.heardOwner;
  }
  if (owner.empty() || owner == candidate) {
    return false;
  }
  const std::vector<NodeId> order = stores_.liveOrder(place.replica.partition());
  return std::find(order.begin(), order.end(), owner) <
         std::find(order.begin(), order.end(), candidate);
}

void PartitionCore::handle(const NodeId& from, const PromiseRequest& request) {
  struct Collected {
    PromiseReply reply;
    std::size_t missing;
  };
  const auto collected = std::make_shared<Collected>();
  collected->reply.storeId = options_.storeId;
  collected->missing = request.items.size();
  for (const PromiseItem& item : request.items) {
    Place* place = find(item.partition);
    if (place == nullptr) {
      --collected->missing;
      continue;
    }
    const auto collect = [this, from, collected](PromiseAnswer answer) {
      collected->reply.answers.push_back(std::move(answer));
      if (--collected->missing == 0) {
        context_.send(from, collected->reply);
      }
    };
    if (displacesWorkingOwner(*place, from)) {
      collect(place->replica.decline(item.epoch));
    } else {
      place->replica.promise(item.epoch, from, collect);
    }
    scheduleReview(item.partition);
  }
}

void PartitionCore::handle(const NodeId& from, const PromiseReply& reply) {
  for (const PromiseAnswer& answer : reply.answers) {
    Place* place = find(answer.partition);
    if (place == nullptr) {
      continue;
    }
    place->highestEpoch = std::max(place->highestEpoch, answer.promisedEpoch);
    if (place->takeover) {
      place->takeover->receive(from, reply.storeId, answer);
    } else if (place->owner) {
      place->owner->receive(from, reply.storeId, answer);
    }
    scheduleReview(answer.partition);
  }
}

void PartitionCore::handle(const NodeId& from, const FetchRequest& request) {
  Place* place = find(request.partition);
  if (place == nullptr) {
    return;
  }
  const bool promised = place->replica.state().promisedEpoch == request.epoch &&
                        place->replica.state().promisedTo == from;
  if (!promised && options_.safeguards.fencing) {
    return;
  }
  FetchReply reply;
  reply.storeId = options_.storeId;
  reply.partition = request.partition;
  reply.epoch = request.epoch;
  reply.page = place->replica.table().page(request.fromStart, request.afterKey);
  context_.send(from, reply);
}

void PartitionCore::handle(const NodeId& from, const FetchReply& reply) {
  Place* place = find(reply.partition);
  if (place != nullptr && place->takeover) {
    place->takeover->receive(from, reply);
    scheduleReview(reply.partition);
  }
}

void PartitionCore::handle(const NodeId& from, const InstallRequest& request) {
  Place* place = find(request.partition);
  if (place == nullptr) {
    return;
  }
  InstallReply reply;
  reply.storeId = options_.storeId;
  reply.partition = request.partition;
  reply.epoch = request.epoch;
  reply.transfer = request.transfer;
  if (!place->replica.accepts(request.epoch, from)) {
    reply.promisedEpoch = place->replica.state().promisedEpoch;
    context_.send(from, reply);
    return;
  }
  heard(*place, from, request.epoch);
  scheduleReview(request.partition);
  const auto answer = [this, place, from](InstallReply complete) {
    complete.promisedEpoch = place->replica.state().promisedEpoch;
    context_.send(from, complete);
  };
  place->replica.install(request, std::move(reply), answer);
}

void PartitionCore::handle(const NodeId& from, const InstallReply& reply) {
  Place* place = find(reply.partition);
  if (place != nullptr && place->owner) {
    place->owner->receive(from, reply);
    scheduleReview(reply.partition);
  }
}

void PartitionCore::handle(const NodeId& from, const ReplicateRequest& request) {
  Place* place = find(request.partition);
  if (place == nullptr) {
    return;
  }
  const auto answer = [this, place, from, epoch = request.epoch](bool gap) {
    context_.send(from, ReplicateReply{options_.storeId, epoch, gap, place->replica.position()});
  };
  if (!place->replica.accepts(request.epoch, from)) {
    answer(false);
    return;
  }
  heard(*place, from, request.epoch);
  scheduleReview(request.partition);
  const bool gap = request.firstSequence > place->replica.state().sequence + 1;
  place->replica.replicate(request, [answer, gap] { answer(gap); });
}

void PartitionCore::handle(const NodeId& from, const ReplicateReply& reply) {
  Place* place = find(reply.position.partition);
  if (place != nullptr && place->owner) {
    place->owner->receive(from, reply);
    scheduleReview(reply.position.partition);
  }
}

void PartitionCore::handle(const NodeId& from, const HeartbeatRequest& request) {
  HeartbeatReply reply;
  reply.storeId = options_.storeId;
  reply.round = request.round;
  reply.isScarce = context_.records().space().isScarce();
  for (const HeartbeatItem& item : request.items) {
    Place* place = find(item.partition);
    if (place == nullptr) {
      continue;
    }
    if (place->replica.accepts(item.epoch, from)) {
      heard(*place, from, item.epoch);
      place->heardSequence = place->nextSequence == 0 ? item.sequence : place->nextSequence;
      place->nextSequence = std::max(item.sequence, place->heardSequence);
      place->replica.collectTombstones(item.epoch, item.stable);
      scheduleReview(item.partition);
    }
    reply.positions.push_back(place->replica.position());
  }
  context_.send(from, reply);
}

void PartitionCore::handle(const NodeId& from, const HeartbeatReply& reply) {
  for (const ReplicaPosition& position : reply.positions) {
    Place* place = find(position.partition);
    if (place != nullptr && place->owner) {
      place->owner->heartbeatAnswered(from, reply, position);
      scheduleReview(position.partition);
    }
  }
}

void PartitionCore::sendPromiseRequests() {
  std::map<NodeId, PromiseRequest> requests;
  for (auto& entry : places_) {
    if (!entry.second.takeover) {
      continue;
    }
    for (const NodeId& node : entry.second.takeover->unasked()) {
      requests[node].items.push_back({entry.first, entry.second.takeover->epoch()});
    }
  }
  for (const auto& entry : requests) {
    context_.send(entry.first, entry.second);
  }
}

void PartitionCore::sendHeartbeats(bool onlyConfirmations) {
  ++round_;
  std::map<NodeId, HeartbeatRequest> requests;
  for (auto& entry : places_) {
    Place& place = entry.second;
    if (!place.owner || (onlyConfirmations && !place.owner->confirming())) {
      continue;
    }
    const HeartbeatItem item = place.owner->heartbeat();
    place.replica.collectTombstones(item.epoch, item.stable);
    for (const NodeId& peer : stores_.peers(entry.first)) {
      requests[peer].items.push_back(item);
    }
  }
  for (auto& entry : requests) {
    entry.second.round = round_;
    context_.send(entry.first, entry.second);
  }
}

}  // namespace shedshed
