/// @file
/// Confirms by a quorum of the acceptors that a member is unreachable.
#pragma once

#include "kernel/core.h"
#include "register/configuration_register.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Asks whether the receiver sees `member` alive.
struct ReachabilityRequest {
  static constexpr ServiceId kService = ServiceId::MembershipJoin;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t requestId = 0;
  NodeId member;
  std::string storeId;  ///< Store id of the member, as listed.
  MSGPACK_DEFINE(requestId, member, storeId);
};

/// Reply to `ReachabilityRequest`.
struct ReachabilityReply {
  static constexpr ServiceId kService = ServiceId::MembershipJoin;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t requestId = 0;
  bool alive = false;  ///< The receiver is the member, or its directory shows it alive.
  MSGPACK_DEFINE(requestId, alive);
};

/// Time for which the replies to a request are valid.
inline constexpr Duration kReachabilityReplyLifetime = std::chrono::seconds(1);

/// One request about one member, to the member itself and to all acceptors.
///
/// The directory of a single node may be incomplete, so a member counts as unreachable only if a
/// majority of the acceptors reports it as such and no node sees it alive. Core thread only.
class ReachabilityQuorum {
 public:
  enum class Verdict { Undecided, Unreachable, Alive };

  explicit ReachabilityQuorum(CoreContext& context) : context_(context) {}

  /// Sends a request about @p member, or resends it to the nodes that have not found it unreachable
  /// if it is the same member as before. Replies older than `kReachabilityReplyLifetime` are
  /// discarded and requested anew.
  void request(const MemberList::Member& member, const std::vector<MemberList::Member>& acceptors);

  void onReply(const NodeId& from, const ReachabilityReply& reply);

  /// Evaluates the replies received so far about @p member.
  Verdict verdict(const MemberList::Member& member) const;

  /// Discards the request and its replies.
  void reset() { member_.reset(); }

 private:
  bool isAbout(const MemberList::Member& member) const;

  CoreContext& context_;
  std::optional<MemberList::Member> member_;  ///< The member in question, if any.
  std::set<NodeId> acceptors_;
  std::uint64_t requestId_ = 0;
  Time requestedAt_{};
  std::set<NodeId> unreachableFrom_;  ///< Acceptors that do not see the member alive.
  bool seenAlive_ = false;
};

}  // namespace shedshed
