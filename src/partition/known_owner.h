/// @file
/// State of a partition's owner on another node, as a replica knows it.
#pragma once

#include "kernel/node_id.h"
#include "kernel/time.h"

#include <cstdint>
#include <optional>

namespace shedshed {

/// The last other node whose messages as the owner of one partition were accepted here. Used for
/// redirects and for the decision to take over; safety depends on epochs alone. Core thread only.
class KnownOwner {
 public:
  /// An owner whose last message is younger than this counts as active.
  static constexpr Duration kActiveTimeout = std::chrono::seconds(1);

  struct Owner {
    NodeId node;
    std::uint64_t epoch = 0;
  };

  /// Starts the time-outs at @p now, with no owner known.
  void start(Time now) { lastMessageAt_ = now; }

  /// Records that a message of @p owner at @p epoch was accepted.
  void messageAccepted(const NodeId& owner, std::uint64_t epoch, Time now);

  /// Records that the accepted message was a heartbeat; @p sequence is the owner's last write.
  void heartbeatAccepted(std::uint64_t sequence);

  /// nullopt if no owner has sent a message since the start.
  const std::optional<Owner>& owner() const { return owner_; }

  Time lastMessageAt() const { return lastMessageAt_; }

  /// True if the last message of an owner is younger than `kActiveTimeout`.
  bool isActive(Time now) const { return owner_ && now - lastMessageAt_ < kActiveTimeout; }

  /// True if the last message, or the start if there was none, is younger than
  /// `PartitionOptions::kHeartbeatTimeout`.
  bool isWithinHeartbeatTimeout(Time now) const;

  /// The owner's last write as of the previous heartbeat: a replica that has it is up to date with
  /// the owner.
  std::uint64_t previousSequence() const { return previousSequence_; }

 private:
  std::optional<Owner> owner_;
  std::uint64_t previousSequence_ = 0;
  std::uint64_t lastSequence_ = 0;  ///< The owner's last write as of the last heartbeat.
  Time lastMessageAt_;
};

}  // namespace shedshed
