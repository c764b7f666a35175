/// @file
/// Lets a machine with a new disk take the place of a lost member by itself.
#pragma once

#include "kernel/core.h"
#include "membership/directory.h"
#include "register/member_sightings.h"
#include "register/register_core.h"

#include <functional>
#include <map>
#include <vector>

namespace shedshed {

/// Times of `SelfAdmissionCore`.
struct SelfAdmissionOptions {
  Duration check = std::chrono::milliseconds(250);  ///< Interval of the looks at the directory.
  /// A member must have been held dead for this long before another machine takes its place.
  Duration deadFor = std::chrono::milliseconds(1200);
  /// The same for a member that the directory never showed since this process started.
  Duration absentFor = std::chrono::milliseconds(3000);
  /// The same for a member that had announced that it leaves; longer than a restart takes.
  Duration leftFor = std::chrono::milliseconds(1700);
  /// Fewer acceptors than this cannot keep what was acknowledged through the tolerated losses.
  std::size_t acceptorsNeeded = 0;
};

/// Runs on every machine with a disk, as an acceptor or as a store. One that is no member with its
/// present disk asks for a place:
/// - its own one, if a member is listed at its address with another disk: that disk is gone;
/// - that of a member that is dead and that was never live in the life of this process: this
///   machine was put in its place. A member that falls silent later is never replaced by a machine
///   that stood by: it may only be cut off;
/// - that of a member that announced that it leaves and is dead since: it was stopped for good. Of
///   several machines that stand by, the first in the order of ids takes the place;
/// - that of a retiring member whose successor it is;
/// - one more place, if the fleet was formed with fewer acceptors than it needs.
///
/// What this machine misses, others may see: before it asks for the place of a member that it takes
/// for lost or stopped, a majority of the acceptors must miss that member too, and nobody may see
/// it.
///
/// Safety does not rest on these guesses: a change of the members needs majorities of the old and
/// of the new list, and a store asks only once it holds all data.
class SelfAdmissionCore : public Core {
 public:
  enum class Kind { Acceptor, Store };

  /// @p holdsAllData tells whether this machine may be counted; @p placesToTake lists the retiring
  /// members whose places it is to take; @p leaving all machines that retire or have. References
  /// must outlive the core.
  SelfAdmissionCore(CoreContext& context, RegisterCore& registers, const Directory& directory,
                    Kind kind, std::string storeId, std::function<bool()> holdsAllData,
                    std::function<std::vector<NodeId>()> placesToTake,
                    std::function<std::vector<NodeId>()> leaving,
                    SelfAdmissionOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

 private:
  const std::vector<MemberList::Member>& members() const;
  bool isListed(const NodeId& id) const;
  void watchMembers(const NodeTable& nodes);
  /// True if this machine was put in the place of @p member.
  bool isLost(const MemberList::Member& member) const;
  /// True if @p member was stopped on request and has not come back.
  bool hasLeft(const MemberList::Member& member) const;
  bool isLeaving(const NodeId& id) const;
  /// True if this node is the first of the live machines of its kind that are no members.
  bool isFirstSpare(const NodeTable& nodes) const;
  struct Place {
    NodeId member;              ///< Empty if there is none to take.
    bool presumedLost = false;  ///< It counts only if the acceptors miss the member as well.
  };
  /// The member whose place this machine should take.
  Place placeToTake(const NodeTable& nodes) const;
  /// True once a majority of the acceptors misses @p id; asks them otherwise.
  bool isMissedByOthers(const NodeId& id);
  /// True if this machine is @p member, or holds it live.
  bool seesLive(const MemberList::Member& member) const;
  void answerSighting(const NodeId& from, const SightingRequest& request);
  void check();
  void askFor(const NodeId& place);
  /// True if this machine is to be one more acceptor.
  bool isMissing(const NodeTable& nodes) const;
  void askToBeAdded();
  void answered(const Result<MemberList>& list);

  CoreContext& context_;
  RegisterCore& registers_;
  const Directory& directory_;
  const Kind kind_;
  const std::string storeId_;
  std::function<bool()> holdsAllData_;
  std::function<std::vector<NodeId>()> placesToTake_;
  std::function<std::vector<NodeId>()> leaving_;
  const SelfAdmissionOptions options_;
  Time startedAt_{};
  /// For each member: since when it is held dead, or absent if it was never live since the start.
  struct Silence {
    bool wasLive = false;
    bool isDead = false;
    bool announcedLeaving = false;  ///< In its present life, or in the one that ended.
    Time since{};
  };
  std::map<NodeId, Silence> silences_;
  MemberSightings sightings_;
  bool asking_ = false;
};

}  // namespace shedshed
