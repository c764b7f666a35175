/// @file
/// The newest known values of all origins, with the version vector that names them.
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
/// origin describes exactly what is held. A delta that would leave a gap is refused and must be
/// pulled from the version held. Not thread-safe.
class GossipStore {
 public:
  /// What became of a delta.
  enum class Outcome {
    Stale,    ///< Nothing new in it.
    Applied,  ///< Taken over.
    Gap,      ///< Records between the version held and the delta are missing.
  };

  /// Called for each record that changed; empty bytes for a topic that is no longer published.
  using ChangeHandler = std::function<void(const NodeId& origin, const GossipVersion& version,
                                           const std::string& topic, const std::string& bytes)>;

  explicit GossipStore(ChangeHandler changed) : changed_(std::move(changed)) {}

  /// Sets a record of @p origin under the next sequence number.
  void publish(const NodeId& origin, const std::string& topic, const std::string& bytes);

  /// Moves all records of @p origin to a higher incarnation, renumbered from 1.
  void raiseIncarnation(const NodeId& origin, std::uint64_t incarnation);

  /// Takes over a delta of another node. Applying twice or out of order is harmless.
  Outcome apply(const GossipDelta& delta);

  /// Returns what a node that holds @p since of @p origin lacks; no records if nothing.
  GossipDelta deltaSince(const NodeId& origin, const GossipVersion& since) const;

  /// The version held; zero if the origin is unknown.
  GossipVersion version(const NodeId& origin) const;

  /// Returns the version vector without the origins in @p hidden, sorted by origin; of @p buckets
  /// only.
  std::vector<VectorEntry> vector(const std::set<NodeId>& hidden,
                                  std::uint64_t buckets = kAllBuckets) const;

  /// Returns a hash of each bucket of the version vector without the origins in @p hidden. Equal
  /// parts have equal hashes, whatever the order in which they came.
  std::vector<std::uint64_t> bucketHashes(const std::set<NodeId>& hidden) const;

  std::size_t originCount() const { return origins_.size(); }

  /// Drops an origin.
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
  struct Origin {
    GossipVersion version;
    std::uint64_t addressHash = 0;
    std::map<std::string, Record> records;
  };
  Origin& originOf(const NodeId& id);
  void dropUnlisted(const NodeId& origin, Origin& held, const GossipDelta& delta);

  ChangeHandler changed_;
  std::map<NodeId, Origin> origins_;
};

}  // namespace shedshed
