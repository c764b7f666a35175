#include "membership/gossip_record_store.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {

namespace {

std::size_t bucketOf(std::uint64_t addressHash) {
  return addressHash % kDigestBuckets;
}

bool isInBuckets(std::uint64_t addressHash, std::uint64_t buckets) {
  return (buckets >> bucketOf(addressHash) & 1U) != 0;
}

/// Hashes the address and the version together, so that the sum over a bucket changes with each of
/// its entries.
std::uint64_t entryDigest(std::uint64_t addressHash, const GossipVersion& version) {
  const std::uint64_t parts[] = {addressHash, version.incarnation, version.sequence};
  return hash64({reinterpret_cast<const char*>(parts), sizeof(parts)});
}

}  // namespace

GossipRecordStore::OriginState& GossipRecordStore::stateOf(const NodeId& id) {
  const auto [found, isNew] = origins_.try_emplace(id);
  if (isNew) {
    found->second.addressHash = hash64(id.address);
  }
  return found->second;
}

void GossipRecordStore::publish(const NodeId& origin, const std::string& topic,
                                const std::string& bytes) {
  OriginState& state = stateOf(origin);
  ++state.version.sequence;
  state.records[topic] = Record{state.version.sequence, bytes};
  changed_(origin, state.version, topic, bytes);
}

void GossipRecordStore::raiseIncarnation(const NodeId& origin, std::uint64_t incarnation) {
  OriginState& state = stateOf(origin);
  state.version = GossipVersion{incarnation, 0};
  for (auto& record : state.records) {
    record.second.sequence = ++state.version.sequence;
  }
}

GossipRecordStore::Outcome GossipRecordStore::apply(const GossipDelta& delta) {
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
  OriginState& state = stateOf(delta.origin);
  state.version = upTo;
  if (known.incarnation != delta.incarnation) {
    withdrawMissingTopics(delta.origin, state, delta);
  }
  for (const GossipRecord& record : delta.records) {
    Record& stored = state.records[record.topic];
    if (record.sequence <= stored.sequence) {
      continue;
    }
    stored = Record{record.sequence, record.bytes};
    changed_(delta.origin, upTo, record.topic, record.bytes);
  }
  return Outcome::Applied;
}

void GossipRecordStore::withdrawMissingTopics(const NodeId& origin, OriginState& state,
                                              const GossipDelta& delta) {
  std::map<std::string, Record> before = std::move(state.records);
  state.records.clear();
  for (const GossipRecord& record : delta.records) {
    before.erase(record.topic);
  }
  for (const auto& record : before) {
    changed_(origin, state.version, record.first, std::string());
  }
}

GossipDelta GossipRecordStore::deltaSince(const NodeId& origin, const GossipVersion& since) const {
  GossipDelta delta;
  delta.origin = origin;
  const auto found = origins_.find(origin);
  if (found == origins_.end()) {
    return delta;
  }
  const OriginState& state = found->second;
  delta.incarnation = state.version.incarnation;
  delta.toSequence = state.version.sequence;
  delta.fromSequence = since.incarnation == state.version.incarnation ? since.sequence : 0;
  for (const auto& record : state.records) {
    if (record.second.sequence > delta.fromSequence) {
      delta.records.push_back({record.first, record.second.sequence, record.second.bytes});
    }
  }
  return delta;
}

GossipVersion GossipRecordStore::version(const NodeId& origin) const {
  const auto found = origins_.find(origin);
  return found == origins_.end() ? GossipVersion{} : found->second.version;
}

std::vector<VersionVectorEntry> GossipRecordStore::versionVector(const std::set<NodeId>& withheld,
                                                                 std::uint64_t buckets) const {
  std::vector<VersionVectorEntry> entries;
  for (const auto& origin : origins_) {
    if (isInBuckets(origin.second.addressHash, buckets) && withheld.count(origin.first) == 0) {
      entries.push_back({origin.first, origin.second.version});
    }
  }
  return entries;
}

std::vector<std::uint64_t>
GossipRecordStore::bucketDigests(const std::set<NodeId>& withheld) const {
  std::vector<std::uint64_t> hashes(kDigestBuckets);
  for (const auto& origin : origins_) {
    if (withheld.count(origin.first) == 0) {
      const std::uint64_t addressHash = origin.second.addressHash;
      hashes[bucketOf(addressHash)] += entryDigest(addressHash, origin.second.version);
    }
  }
  return hashes;
}

void GossipRecordStore::forEach(const std::string& topic,
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
