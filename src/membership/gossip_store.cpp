#include "membership/gossip_store.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {

namespace {

std::size_t bucketOf(std::uint64_t addressHash) {
  return addressHash % kVectorBuckets;
}

bool isInBuckets(std::uint64_t addressHash, std::uint64_t buckets) {
  return (buckets >> bucketOf(addressHash) & 1U) != 0;
}

/// Mixes both numbers, so that a sum of such hashes differs when one of its terms does.
std::uint64_t hashOfEntry(std::uint64_t addressHash, const GossipVersion& version) {
  const std::uint64_t parts[] = {addressHash, version.incarnation, version.sequence};
  return hash64({reinterpret_cast<const char*>(parts), sizeof(parts)});
}

}  // namespace

GossipStore::Origin& GossipStore::originOf(const NodeId& id) {
  const auto [found, isNew] = origins_.try_emplace(id);
  if (isNew) {
    found->second.addressHash = hash64(id.address);
  }
  return found->second;
}

void GossipStore::publish(const NodeId& origin, const std::string& topic,
                          const std::string& bytes) {
  Origin& held = originOf(origin);
  ++held.version.sequence;
  held.records[topic] = Record{held.version.sequence, bytes};
  changed_(origin, held.version, topic, bytes);
}

void GossipStore::raiseIncarnation(const NodeId& origin, std::uint64_t incarnation) {
  Origin& held = originOf(origin);
  held.version = GossipVersion{incarnation, 0};
  for (auto& record : held.records) {
    record.second.sequence = ++held.version.sequence;
  }
}

GossipStore::Outcome GossipStore::apply(const GossipDelta& delta) {
  const GossipVersion upTo{delta.incarnation, delta.toSequence};
  const GossipVersion known = version(delta.origin);
  if (!(known < upTo)) {
    return Outcome::Stale;
  }
  const bool complete = delta.fromSequence == 0;
  const bool continues =
      known.incarnation == delta.incarnation && delta.fromSequence <= known.sequence;
  if (!complete && !continues) {
    return Outcome::Gap;
  }
  Origin& held = originOf(delta.origin);
  held.version = upTo;
  if (known.incarnation != delta.incarnation) {
    dropUnlisted(delta.origin, held, delta);
  }
  for (const GossipRecord& record : delta.records) {
    Record& slot = held.records[record.topic];
    if (record.sequence <= slot.sequence) {
      continue;
    }
    slot = Record{record.sequence, record.bytes};
    changed_(delta.origin, upTo, record.topic, record.bytes);
  }
  return Outcome::Applied;
}

void GossipStore::dropUnlisted(const NodeId& origin, Origin& held, const GossipDelta& delta) {
  std::map<std::string, Record> before = std::move(held.records);
  held.records.clear();
  for (const GossipRecord& record : delta.records) {
    before.erase(record.topic);
  }
  for (const auto& record : before) {
    changed_(origin, held.version, record.first, std::string());
  }
}

GossipDelta GossipStore::deltaSince(const NodeId& origin, const GossipVersion& since) const {
  GossipDelta delta;
  delta.origin = origin;
  const auto found = origins_.find(origin);
  if (found == origins_.end()) {
    return delta;
  }
  const Origin& held = found->second;
  delta.incarnation = held.version.incarnation;
  delta.toSequence = held.version.sequence;
  delta.fromSequence = since.incarnation == held.version.incarnation ? since.sequence : 0;
  for (const auto& record : held.records) {
    if (record.second.sequence > delta.fromSequence) {
      delta.records.push_back({record.first, record.second.sequence, record.second.bytes});
    }
  }
  return delta;
}

GossipVersion GossipStore::version(const NodeId& origin) const {
  const auto found = origins_.find(origin);
  return found == origins_.end() ? GossipVersion{} : found->second.version;
}

std::vector<VectorEntry> GossipStore::vector(const std::set<NodeId>& hidden,
                                             std::uint64_t buckets) const {
  std::vector<VectorEntry> entries;
  for (const auto& origin : origins_) {
    if (isInBuckets(origin.second.addressHash, buckets) && hidden.count(origin.first) == 0) {
      entries.push_back({origin.first, origin.second.version});
    }
  }
  return entries;
}

std::vector<std::uint64_t> GossipStore::bucketHashes(const std::set<NodeId>& hidden) const {
  std::vector<std::uint64_t> hashes(kVectorBuckets);
  for (const auto& origin : origins_) {
    if (hidden.count(origin.first) == 0) {
      const std::uint64_t addressHash = origin.second.addressHash;
      hashes[bucketOf(addressHash)] += hashOfEntry(addressHash, origin.second.version);
    }
  }
  return hashes;
}

void GossipStore::forEach(const std::string& topic,
                          const std::function<void(const NodeId&, const GossipVersion&,
                                                   const std::string&)>& visit) const {
  for (const auto& origin : origins_) {
    const auto record = origin.second.records.find(topic);
    if (record != origin.second.records.end()) {
      visit(origin.first, origin.second.version, record->second.bytes);
    }
  }
}

}  // namespace shedshed
