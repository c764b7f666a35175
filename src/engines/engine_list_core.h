/// @file
/// Distributes the platform's listing of engines to all nodes, through one reader.
///
/// Register nodes can read the source. The first live one in the order of ids reads it while it
/// receives pulls, so there is one reader at a time without an election; another one reads only
/// when its own listing is older than `staleListingAge`. Nodes pull the listing from the reader; in
/// a large fleet data nodes pull it from the other control nodes, which relay their listings, each
/// data node from one chosen by rendezvous. A node whose source does not reply, or has a stale
/// listing, pulls from the next one.
///
/// The listing in a reply was current at the time at which the pull was sent, minus the age in the
/// reply. So each node knows an upper bound of the age of its listing, and the clocks of two nodes
/// are never compared.
#pragma once

#include "engines/engine_table.h"
#include "engines/listing_reader.h"
#include "engines/listing_source.h"
#include "kernel/core.h"
#include "kernel/snapshot.h"
#include "membership/directory.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace shedshed {

/// Timing and limits of the engine list.
struct EngineListOptions {
  Duration pullInterval = std::chrono::milliseconds(500);
  /// Between pulls, each from the next source, until the first reply.
  Duration firstPullInterval = std::chrono::milliseconds(100);
  Duration pullTimeout = std::chrono::milliseconds(400);  ///< Then the next source is tried.
  /// A cached listing older than this is refreshed before a pull is answered.
  Duration refreshAge = std::chrono::milliseconds(450);
  /// After a reply with a listing older than this a node pulls from the next source.
  Duration staleListingAge = std::chrono::milliseconds(1200);
  std::size_t directPullers = 64;  ///< With more known nodes, data nodes pull from relays.
};

/// Any node → control node: requests the listing.
struct ListingPull {
  static constexpr ServiceId kService = ServiceId::EngineList;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t request = 0;
  std::uint64_t digest = 0;  ///< Of the listing that the sender has; 0 if none.
  MSGPACK_DEFINE(request, digest);
};

/// Control node → any node: answers `ListingPull`.
struct ListingReply {
  static constexpr ServiceId kService = ServiceId::EngineList;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t request = 0;
  bool known = false;                 ///< False if the sender has no listing.
  std::uint64_t ageMilliseconds = 0;  ///< Upper bound of the time since the read was started.
  std::uint64_t digest = 0;
  std::vector<EngineInfo> engines;  ///< Empty if the requester has the same digest.
  MSGPACK_DEFINE(request, known, ageMilliseconds, digest, engines);
};

/// The engine list of one node.
class EngineListCore : public Core, public EngineSource {
 public:
  /// @p source is null on nodes that never read it. All references must outlive the core.
  EngineListCore(CoreContext& context, Directory& directory, ListingSource* source,
                 EngineListOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  std::shared_ptr<const EngineTable> table() const override { return table_.read(); }
  void addListener(std::function<void(const EngineTable&)> listener) override;

  /// The latest time at which the table is known to have been current; `Time::min()` before the
  /// first reply.
  Time validatedAt() const { return validatedAt_; }

 private:
  /// A pull that is answered when the read in progress has ended.
  struct WaitingPull {
    NodeId from;
    ListingPull pull;
  };

  // Pulling.
  void pull();
  bool hasListing() const { return validatedAt_ != Time::min(); }
  /// The nodes to pull from, in the order in which they are tried.
  std::vector<NodeId> sources() const;
  void onReply(const ListingReply& reply);
  void adopt(const ListingReply& reply, Time validatedAt);

  // Answering.
  void onPull(const NodeId& from, const ListingPull& pull);
  /// Replies with the newer of the listing that was read and the one that was pulled.
  void reply(const NodeId& to, const ListingPull& pull);
  void replyToWaitingPulls();
  void readSource();
  /// True if this node must read the source itself.
  bool mustRead() const;
  std::vector<NodeId> readers(const NodeTable& nodes) const;

  CoreContext& context_;
  Directory& directory_;
  const EngineListOptions options_;
  // Pulling.
  Time startedAt_{};
  std::uint64_t lastRequest_ = 0;
  std::map<std::uint64_t, Time> outstandingPulls_;  ///< When each was sent, by request.
  std::size_t nextSource_ = 0;                      ///< Index among `sources`.
  std::uint32_t pulls_ = 0;
  Time validatedAt_ = Time::min();
  std::uint64_t digest_ = 0;
  Snapshot<EngineTable> table_;
  std::vector<std::function<void(const EngineTable&)>> listeners_;
  // Answering.
  ListingReader reader_;
  std::vector<WaitingPull> waitingPulls_;
};

}  // namespace shedshed
