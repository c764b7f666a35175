/// @file
/// Messages of the directory service. All of them may be lost, repeated or late.
#pragma once

#include "kernel/message.h"
#include "membership/gossip_topics.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace shedshed {

/// A version vector is compared in this many parts; an origin's part follows from its hash.
inline constexpr std::size_t kVectorBuckets = 64;
inline constexpr std::uint64_t kAllBuckets = ~std::uint64_t{0};

/// One published value.
struct GossipRecord {
  std::string topic;
  std::uint32_t sequence = 0;
  std::string bytes;
  MSGPACK_DEFINE(topic, sequence, bytes);
};

/// All records of one origin's incarnation whose sequence lies in (fromSequence, toSequence].
struct GossipDelta {
  NodeId origin;
  std::uint64_t incarnation = 0;
  std::uint32_t fromSequence = 0;  ///< 0: the delta holds every record of the incarnation.
  std::uint32_t toSequence = 0;
  std::vector<GossipRecord> records;
  MSGPACK_DEFINE(origin, incarnation, fromSequence, toSequence, records);
};

/// One element of a version vector.
struct VectorEntry {
  NodeId origin;
  GossipVersion version;
  MSGPACK_DEFINE(origin, version);
};

/// Asks the receiver to compare its version vector with the sender's, by hash.
struct CompareRequest {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t vectorHash = 0;
  MSGPACK_DEFINE(vectorHash);
};

/// The sender's version vector, or the part of it that lies in some buckets; sent only when the
/// hashes differ.
struct VectorReply {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 2;
  std::vector<VectorEntry> entries;
  std::uint64_t buckets = kAllBuckets;  ///< One bit per bucket that `entries` covers.
  MSGPACK_DEFINE(entries, buckets);
};

/// New records, pushed or pulled.
struct DeltaBatch {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 3;
  std::vector<GossipDelta> deltas;
  bool spreads = false;  ///< In a large fleet the receiver passes on what is new to it.
  MSGPACK_DEFINE(deltas, spreads);
};

/// Asks for the records of the named origins that are newer than the given versions.
struct DeltaRequest {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 4;
  std::vector<VectorEntry> since;
  MSGPACK_DEFINE(since);
};

/// Asks a watched node for a sign of life.
struct Ping {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 5;
  std::uint64_t number = 0;
  std::uint64_t doubtedIncarnation = 0;  ///< Receiver's incarnation held dead by the sender, or 0.
  MSGPACK_DEFINE(number, doubtedIncarnation);
};

/// Answers a `Ping`.
struct Pong {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 6;
  std::uint64_t number = 0;
  std::uint64_t doubtedIncarnation = 0;  ///< As in `Ping`.
  MSGPACK_DEFINE(number, doubtedIncarnation);
};

/// Answers a `CompareRequest` in a large fleet: the hash of each bucket of the sender's version
/// vector, so that the receiver can send just the parts that differ.
struct BucketHashes {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 7;
  std::vector<std::uint64_t> hashes;
  MSGPACK_DEFINE(hashes);
};

/// One watcher's claim that it misses a node.
struct Suspicion {
  NodeId target;
  std::uint64_t incarnation = 0;  ///< Void once the target has a higher one.
  bool operator==(const Suspicion& other) const {
    return target == other.target && incarnation == other.incarnation;
  }
  MSGPACK_DEFINE(target, incarnation);
};

/// Value of the topic `kSuspicionTopic`: all nodes that the origin misses now.
struct SuspicionList {
  std::vector<Suspicion> suspicions;
  MSGPACK_DEFINE(suspicions);
};

/// Topic of a node's own `NodeInfo`.
inline constexpr const char* kNodeTopic = "node";
/// Topic of a watcher's `SuspicionList`.
inline constexpr const char* kSuspicionTopic = "suspects";

}  // namespace shedshed
