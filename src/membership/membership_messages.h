/// @file
/// Messages of the directory service. All of them may be lost, duplicated or delayed.
#pragma once

#include "kernel/message.h"
#include "membership/gossip_topics.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace shedshed {

/// Number of buckets whose digests anti-entropy compares; the hash of an origin's address selects
/// its bucket.
inline constexpr std::size_t kDigestBuckets = 64;
/// Bit set of all buckets.
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
struct VersionVectorEntry {
  NodeId origin;
  GossipVersion version;
  MSGPACK_DEFINE(origin, version);
};

/// Starts an anti-entropy exchange: the receiver compares the digest with that of its own version
/// vector and answers only if they differ.
struct DigestRequest {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t digest = 0;  ///< Hash of the digests of all buckets.
  MSGPACK_DEFINE(digest);
};

/// The sender's version vector, or the part of it that lies in some buckets.
struct VersionVectorReply {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 2;
  std::vector<VersionVectorEntry> entries;
  std::uint64_t buckets = kAllBuckets;  ///< One bit per bucket that `entries` covers.
  MSGPACK_DEFINE(entries, buckets);
};

/// Records that are new to the receiver, pushed by the sender or pulled by a `DeltaRequest`.
struct DeltaBatch {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 3;
  std::vector<GossipDelta> deltas;
  bool forward = false;  ///< In a large fleet the receiver forwards the deltas that are new to it.
  MSGPACK_DEFINE(deltas, forward);
};

/// Requests the records of the named origins that are newer than the given versions.
struct DeltaRequest {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 4;
  std::vector<VersionVectorEntry> since;
  MSGPACK_DEFINE(since);
};

/// Liveness check of a monitored node.
struct Ping {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 5;
  std::uint64_t number = 0;  ///< Number of the sender's ping interval; returned in the `Pong`.
  /// The receiver's incarnation that the sender has confirmed dead, so that the receiver can
  /// refute it; 0 if none.
  std::uint64_t deadIncarnation = 0;
  MSGPACK_DEFINE(number, deadIncarnation);
};

/// Acknowledges a `Ping`.
struct Pong {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 6;
  std::uint64_t number = 0;           ///< Number of the acknowledged ping.
  std::uint64_t deadIncarnation = 0;  ///< As in `Ping`.
  MSGPACK_DEFINE(number, deadIncarnation);
};

/// Answers a `DigestRequest` in a large fleet: the digest of each bucket of the sender's version
/// vector, so that the receiver can send only the buckets that differ.
struct DigestReply {
  static constexpr ServiceId kService = ServiceId::Directory;
  static constexpr std::uint16_t kKind = 7;
  std::vector<std::uint64_t> digests;
  MSGPACK_DEFINE(digests);
};

/// A monitor's statement that a node does not acknowledge its pings.
struct Suspicion {
  NodeId target;
  std::uint64_t incarnation = 0;  ///< Obsolete once the target has a higher one.
  bool operator==(const Suspicion& other) const {
    return target == other.target && incarnation == other.incarnation;
  }
  MSGPACK_DEFINE(target, incarnation);
};

/// Value of the topic `kSuspicionTopic`: all nodes that the origin suspects now.
struct SuspicionList {
  std::vector<Suspicion> suspicions;
  MSGPACK_DEFINE(suspicions);
};

/// Topic of a node's own `NodeInfo`.
inline constexpr const char* kNodeTopic = "node";
/// Topic of a monitor's `SuspicionList`.
inline constexpr const char* kSuspicionTopic = "suspects";

}  // namespace shedshed
