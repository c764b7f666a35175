/// @file
/// Asks the acceptors whether a member that this node misses is alive.
#pragma once

#include "kernel/core.h"
#include "kernel/message.h"
#include "register/configuration_register.h"

#include <set>
#include <string>

namespace shedshed {

/// Asks whether the receiver sees @p member live.
struct SightingRequest {
  static constexpr ServiceId kService = ServiceId::Admission;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t requestId = 0;
  NodeId member;
  std::string storeId;  ///< Of the member, as listed.
  MSGPACK_DEFINE(requestId, member, storeId);
};

/// Answers a `SightingRequest`.
struct SightingAnswer {
  static constexpr ServiceId kService = ServiceId::Admission;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t requestId = 0;
  bool live = false;  ///< The receiver is the member, or holds it live.
  MSGPACK_DEFINE(requestId, live);
};

/// Time for which the answers to a question count.
inline constexpr Duration kSightingAge = std::chrono::seconds(1);

/// One question about one member, to the member itself and to all acceptors.
///
/// A node that does not know a member may know less than others do. Only what a majority of the
/// acceptors finds counts, and nothing if anybody sees the member live.
class MemberSightings {
 public:
  enum class Verdict { Open, Missed, Live };

  explicit MemberSightings(CoreContext& context) : context_(context) {}

  /// Asks about @p member, or again those that have not answered if it is the same one as before.
  /// Answers that are older than `kSightingAge` are asked for anew.
  void ask(const MemberList::Member& member, const std::vector<MemberList::Member>& acceptors);

  /// Takes the answer of one node.
  void answered(const NodeId& from, const SightingAnswer& answer);

  /// What the answers so far tell about @p member.
  Verdict verdict(const MemberList::Member& member) const;

  /// Forgets the question and its answers.
  void reset() { member_ = {}; }

 private:
  CoreContext& context_;
  MemberList::Member member_;  ///< The one asked about; an empty id if none.
  std::set<NodeId> acceptors_;
  std::uint64_t requestId_ = 0;
  Time askedAt_{};
  std::set<NodeId> missedBy_;
  bool seenLive_ = false;
};

}  // namespace shedshed
