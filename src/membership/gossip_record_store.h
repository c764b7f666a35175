/// @file
/// The newest known records of all origins, with their version vector.
#pragma once

#include "kernel/node_id.h"
#include "membership/membership_messages.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Keeps for each origin every record up to one version, without gaps, so that one version per
/// origin describes exactly what is stored. A delta that would leave a gap is rejected and must be
/// requested from the stored version. Not thread-safe.
class GossipRecordStore {
 public:
  /// Result of applying a delta.
  enum class Outcome {
    Stale,    ///< It contains nothing new.
    Applied,  ///< Its records are stored.
    Gap,      ///< Records between the stored version and the delta are missing.
  };

  /// Called for each record that changed; empty bytes for a topic that is no longer published.
  using ChangeHandler = std::function<void(const NodeId& origin, const GossipVersion& version,
                                           const std::string& topic, const std::string& bytes)>;

  explicit GossipRecordStore(ChangeHandler changed) : changed_(std::move(changed)) {}

  /// Sets a record of @p origin under the next sequence number.
  void publish(const NodeId& origin, const std::string& topic, const std::string& bytes);

  /// Moves all records of @p origin to a higher incarnation, renumbered from 1.
  void raiseIncarnation(const NodeId& origin, std::uint64_t incarnation);

  /// Applies a delta of another node. Duplicate and out-of-order deltas are harmless.
  Outcome apply(const GossipDelta& delta);

  /// Returns the records that a node with the version @p since of @p origin lacks; may be empty.
  GossipDelta deltaSince(const NodeId& origin, const GossipVersion& since) const;

  /// The stored version of @p origin; zero if the origin is unknown.
  GossipVersion version(const NodeId& origin) const;

  /// Returns the version vector without the origins in @p withheld, sorted by origin; only the
  /// entries in @p buckets.
  std::vector<VersionVectorEntry> versionVector(const std::set<NodeId>& withheld,
                                                std::uint64_t buckets = kAllBuckets) const;

  /// Returns the digest of each bucket of the version vector without the origins in @p withheld.
  /// Equal buckets have equal digests, whatever the order in which their records arrived.
  std::vector<std::uint64_t> bucketDigests(const std::set<NodeId>& withheld) const;

  std::size_t originCount() const { return origins_.size(); }

  /// Removes an origin with all of its records.
  void erase(const NodeId& origin) { origins_.erase(origin); }

  /// Calls @p visit for each known value of @p topic.
  void forEach(const std::string& topic,
               const std::function<void(const NodeId&, const GossipVersion&, const std::string&)>&
                   visit) const;

 private:
  struct Record {
    std::uint32_t sequence = 0;
    std::string bytes;
  };
  struct OriginState {
    GossipVersion version;
    std::uint64_t addressHash = 0;
    std::map<std::string, Record> records;
  };
  OriginState& stateOf(const NodeId& id);
  void withdrawMissingTopics(const NodeId& origin, OriginState& state, const GossipDelta& delta);

  ChangeHandler changed_;
  std::map<NodeId, OriginState> origins_;
};

}  // namespace shedshed
