/// @file
/// Brings the platform's listing of engines to all nodes, through one reader.
///
/// Register nodes can read the source. The first live one in the agreed order (by id) reads it
/// while it is asked, so there is one reader at a time without an election; another one reads only
/// when its own copy grows old. Nodes pull the listing from the reader; in a large fleet data nodes
/// pull it from the other control nodes, which relay their copies, each data node from one chosen
/// by rendezvous. A node whose source is silent, or has an old copy, asks the next one.
///
/// A pull proves that its answer's listing was current at the moment at which the pull was sent,
/// less the age that the answerer gives: no clocks of two nodes are compared. So each node knows
/// how old its listing is at most.
#pragma once

#include "engines/engine_table.h"
#include "engines/listing_source.h"
#include "kernel/core.h"
#include "kernel/snapshot.h"
#include "membership/directory.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace shedshed {

/// Times of the engine list.
struct EngineListOptions {
  Duration pullInterval = std::chrono::milliseconds(500);
  /// Between pulls, each at the next node, until the first answer.
  Duration firstPullInterval = std::chrono::milliseconds(100);
  Duration pullTimeout = std::chrono::milliseconds(400);  ///< Then the next node is asked.
  /// A copy older than this is read anew before a pull is answered.
  Duration refreshAge = std::chrono::milliseconds(450);
  /// An answer older than this lets a node ask the next one.
  Duration oldListing = std::chrono::milliseconds(1200);
  std::size_t directPullers = 64;  ///< With more live nodes, data nodes pull from relays.
};

/// Asks a control node for the listing.
struct ListingPull {
  static constexpr ServiceId kService = ServiceId::EngineList;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t request = 0;
  std::uint64_t digest = 0;  ///< Of the listing that the sender holds; 0 if none.
  MSGPACK_DEFINE(request, digest);
};

/// Answers `ListingPull`.
struct ListingAnswer {
  static constexpr ServiceId kService = ServiceId::EngineList;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t request = 0;
  bool known = false;                 ///< False if the sender never read the source.
  std::uint64_t ageMilliseconds = 0;  ///< Since the reading was begun, rounded up.
  std::uint64_t digest = 0;
  std::vector<EngineInfo> engines;  ///< Left out if the asker holds the same digest.
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

  /// The moment at which the table was current for sure; `Time::min()` before the first answer.
  Time provedAt() const { return provedAt_; }

 private:
  struct Waiting {
    NodeId from;
    ListingPull pull;
  };

  void pull();
  bool neverProved() const { return provedAt_ == Time::min(); }
  void adopt(const ListingAnswer& answer, Time moment);
  void onAnswer(const ListingAnswer& answer);
  void onPull(const NodeId& from, const ListingPull& pull);
  /// Answers with the newer one of the copy that was read and the table that was pulled.
  void answer(const NodeId& to, const ListingPull& pull);
  void answerWaiting();
  void readSource();
  void sourceRead(Time begun, Result<std::vector<EngineInfo>> engines);
  /// True if no other node reads for this one.
  bool mustRead() const;
  std::vector<NodeId> readers(const NodeTable& nodes) const;
  /// The nodes to pull from, in the order in which they are tried.
  std::vector<NodeId> sources() const;

  CoreContext& context_;
  Directory& directory_;
  ListingSource* source_;
  const EngineListOptions options_;
  // The asking side.
  Time startedAt_{};
  std::uint64_t request_ = 0;
  std::map<std::uint64_t, Time> openPulls_;  ///< When each of the last ones was sent.
  std::size_t next_ = 0;                     ///< Index of the node to ask among `sources`.
  std::uint32_t pulls_ = 0;
  Time provedAt_ = Time::min();
  std::uint64_t digest_ = 0;
  Snapshot<EngineTable> table_;
  std::vector<std::function<void(const EngineTable&)>> listeners_;
  // The reading side.
  bool reading_ = false;
  Time copyReadAt_ = Time::min();
  std::uint64_t copyDigest_ = 0;
  std::vector<EngineInfo> copy_;
  std::vector<Waiting> waiting_;
};

}  // namespace shedshed
