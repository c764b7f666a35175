/// @file
/// Tests of machines that replace lost or retiring members.
#include "register/membership_join_core.h"

#include "fixed_directory.h"
#include "register_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Join conditions that the test sets.
struct FakeJoinConditions : JoinConditions {
  bool isCaughtUp() const override { return caughtUp; }
  std::vector<NodeId> replaceableMembers() const override { return replaceable; }
  std::vector<NodeId> retiringNodes() const override { return retiring; }
  bool caughtUp = true;
  std::vector<NodeId> replaceable;
  std::vector<NodeId> retiring;
};

struct JoinFleet {
  explicit JoinFleet(int acceptors = 3) : fleet(acceptors, 0) {
    BOOST_REQUIRE(fleet.form());
    for (const NodeId& id : fleet.acceptorIds) {
      directory.add(id.address, NodeRole::Register);
      startJoin(id.address);
    }
  }
  /// Crashes the process of the machine; the directory lists it as dead.
  void crashAndConfirmDead(const std::string& id) {
    fleet.crash(id);
    cores.erase(id);
    fleet.harness.context(id, ServiceId::MembershipJoin);
    directory.set(id, NodeRole::Register, NodeState::Dead);
  }
  MembershipJoinCore& startJoin(const std::string& id) { return startJoin(id, directory); }
  /// Starts the core with a directory of its own.
  MembershipJoinCore& startJoin(const std::string& id, const Directory& view) {
    HarnessContext& context = fleet.harness.context(id, ServiceId::MembershipJoin);
    cores[id] = std::make_unique<MembershipJoinCore>(
        context, fleet.registers(id), view, MembershipJoinCore::Kind::Acceptor,
        fleet.nodes[id].options.storeId, conditions, options);
    fleet.harness.attach(context, *cores[id]);
    cores[id]->start();
    return *cores[id];
  }
  bool isMember(const std::string& id) {
    const auto& acceptors = fleet.registers("a2").knownMembers().list.acceptors;
    return std::any_of(acceptors.begin(), acceptors.end(), [&](const MemberList::Member& member) {
      return member.id.address == id && member.storeId == fleet.nodes[id].options.storeId;
    });
  }
  RegisterFleet fleet;
  FixedDirectory directory;
  std::map<std::string, std::unique_ptr<MembershipJoinCore>> cores;
  FakeJoinConditions conditions;
  MembershipJoinOptions options;
};

struct FiveAcceptors : JoinFleet {
  FiveAcceptors() : JoinFleet(5) {}
};

}  // namespace

BOOST_AUTO_TEST_SUITE(membership_join)

BOOST_FIXTURE_TEST_CASE(an_emptied_machine_replaces_itself, JoinFleet) {
  fleet.emptyDisk("a1");
  fleet.start("a1");
  BOOST_TEST(!isMember("a1"));
  startJoin("a1");
  fleet.harness.advance(seconds(2));
  BOOST_TEST(isMember("a1"));
}

BOOST_FIXTURE_TEST_CASE(a_machine_that_is_not_caught_up_does_not_join, JoinFleet) {
  conditions.caughtUp = false;
  fleet.emptyDisk("a1");
  fleet.start("a1");
  startJoin("a1");
  fleet.harness.advance(seconds(3));
  BOOST_TEST(!isMember("a1"));
  conditions.caughtUp = true;
  fleet.harness.advance(seconds(2));
  BOOST_TEST(isMember("a1"));
}

BOOST_FIXTURE_TEST_CASE(a_new_machine_replaces_a_dead_member, JoinFleet) {
  fleet.crash("a1");
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  startJoin("a4");
  fleet.harness.advance(seconds(4));
  BOOST_TEST(isMember("a4"));
  BOOST_TEST(!isMember("a1"));
}

BOOST_FIXTURE_TEST_CASE(a_standby_does_not_replace_an_unreachable_member, JoinFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  startJoin("a4");
  fleet.harness.advance(seconds(4));
  BOOST_TEST(!isMember("a4"));
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  fleet.harness.advance(seconds(20));
  BOOST_TEST(!isMember("a4"));
  BOOST_TEST(isMember("a1"));
}

// Guards against a standby that never replaces a stopped member because it has seen it alive; the
// next loss would leave no majority.
BOOST_FIXTURE_TEST_CASE(a_standby_replaces_a_departed_member, JoinFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  startJoin("a4");
  fleet.harness.advance(seconds(4));
  directory.set("a1", NodeRole::Register, NodeState::Draining);
  fleet.harness.advance(seconds(4));
  BOOST_TEST(isMember("a1"));
  crashAndConfirmDead("a1");
  fleet.harness.advance(seconds(3));
  BOOST_TEST(isMember("a4"));
  BOOST_TEST(!isMember("a1"));
}

BOOST_FIXTURE_TEST_CASE(a_restarting_member_is_not_replaced, JoinFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  startJoin("a4");
  fleet.harness.advance(seconds(4));
  directory.set("a1", NodeRole::Register, NodeState::Draining);
  fleet.harness.advance(milliseconds(500));
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  fleet.harness.advance(seconds(1));
  directory.set("a1", NodeRole::Register, NodeState::Alive);
  fleet.harness.advance(seconds(1));
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  fleet.harness.advance(seconds(10));
  BOOST_TEST(isMember("a1"));
}

// Guards against a new machine that waits for an older standby: the standby comes first in the
// order of ids but may not replace an unreachable member.
BOOST_FIXTURE_TEST_CASE(a_new_machine_does_not_wait_for_a_standby, JoinFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  startJoin("a4");
  fleet.harness.advance(seconds(4));
  fleet.crash("a1");
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  fleet.addControl("a5");
  directory.add("a5", NodeRole::Register);
  startJoin("a5");
  fleet.harness.advance(seconds(4));
  BOOST_TEST(isMember("a5"));
}

BOOST_FIXTURE_TEST_CASE(two_standbys_replace_two_departed_members, FiveAcceptors) {
  for (const char* id : {"a6", "a7"}) {
    fleet.addControl(id);
    directory.add(id, NodeRole::Register);
    startJoin(id);
  }
  fleet.harness.advance(seconds(2));
  for (const char* id : {"a1", "a3"}) {
    directory.set(id, NodeRole::Register, NodeState::Draining);
  }
  fleet.harness.advance(milliseconds(500));
  for (const char* id : {"a1", "a3"}) {
    crashAndConfirmDead(id);
  }
  fleet.harness.advance(seconds(6));
  BOOST_TEST(isMember("a6"));
  BOOST_TEST(isMember("a7"));
}

// Guards against two healthy machines that do not know each other and replace each other
// repeatedly.
BOOST_FIXTURE_TEST_CASE(a_member_unreachable_from_one_machine_only_is_not_replaced, JoinFleet) {
  FixedDirectory withoutMember;
  for (const char* id : {"a1", "a2", "a4"}) {
    withoutMember.add(id, NodeRole::Register);
  }
  fleet.addControl("a4");
  startJoin("a4", withoutMember);
  fleet.harness.advance(seconds(20));
  BOOST_TEST(!isMember("a4"));
  BOOST_TEST(isMember("a3"));
  BOOST_TEST(fleet.registers("a2").knownMembers().version == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_member_that_replies_is_not_replaced_though_no_directory_lists_it,
                        JoinFleet) {
  FixedDirectory withoutMember;
  for (const char* id : {"a1", "a2", "a4"}) {
    withoutMember.add(id, NodeRole::Register);
  }
  fleet.addControl("a4");
  for (const char* id : {"a1", "a2", "a4"}) {
    startJoin(id, withoutMember);
  }
  fleet.harness.advance(seconds(20));
  BOOST_TEST(isMember("a3"));
  BOOST_TEST(fleet.registers("a2").knownMembers().version == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_minority_cannot_confirm_that_a_member_is_unreachable, FiveAcceptors) {
  FixedDirectory withoutMember;
  for (const char* id : {"a1", "a2", "a4", "a5", "a6"}) {
    withoutMember.add(id, NodeRole::Register);
  }
  fleet.addControl("a6");
  for (const char* id : {"a1", "a2", "a6"}) {
    startJoin(id, withoutMember);
  }
  for (const char* id : {"a4", "a5"}) {
    fleet.harness.context(id, ServiceId::MembershipJoin);
  }
  crashAndConfirmDead("a3");
  fleet.harness.advance(seconds(20));
  BOOST_TEST(!isMember("a6"));
  for (const char* id : {"a4", "a5"}) {
    startJoin(id, withoutMember);
  }
  fleet.harness.advance(seconds(4));
  BOOST_TEST(isMember("a6"));
}

// Guards against a fleet that is formed before all acceptors are known and keeps too few of them.
BOOST_FIXTURE_TEST_CASE(late_acceptors_are_added_until_there_are_enough, JoinFleet) {
  options.acceptorsNeeded = 5;
  for (const char* id : {"a4", "a5", "a6"}) {
    fleet.addControl(id);
    directory.add(id, NodeRole::Register);
    startJoin(id);
  }
  fleet.harness.advance(seconds(10));
  BOOST_TEST(fleet.registers("a2").knownMembers().list.acceptors.size() == 5U);
  for (const char* id : {"a1", "a2", "a3", "a4", "a5"}) {
    BOOST_TEST(isMember(id));
  }
  // The fleet now tolerates the loss of two disks.
  BOOST_TEST(fleet.change("a5", 0, "order", "value").has_value());
  fleet.crash("a1");
  fleet.crash("a3");
  BOOST_TEST(fleet.read("a4").value().value == "value");
}

BOOST_FIXTURE_TEST_CASE(no_acceptor_is_added_to_a_fleet_that_has_enough, JoinFleet) {
  options.acceptorsNeeded = 3;
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  startJoin("a4");
  fleet.harness.advance(seconds(10));
  BOOST_TEST(!isMember("a4"));
  BOOST_TEST(fleet.registers("a2").knownMembers().version == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_successor_replaces_a_retiring_member, JoinFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  startJoin("a4");
  conditions.replaceable = {NodeId{"a3"}};
  conditions.retiring = {NodeId{"a3"}};
  fleet.harness.advance(seconds(3));
  BOOST_TEST(isMember("a4"));
  BOOST_TEST(!isMember("a3"));
  startJoin("a3");
  conditions.replaceable.clear();
  fleet.harness.advance(seconds(5));
  BOOST_TEST(!isMember("a3"));
}

BOOST_AUTO_TEST_SUITE_END()
