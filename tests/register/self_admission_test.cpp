/// Machines that take the place of lost or retiring members.
#include "register/self_admission.h"

#include "fixed_directory.h"
#include "register/successor_core.h"
#include "register_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct AdmissionFleet {
  explicit AdmissionFleet(int acceptors = 3) : fleet(acceptors, 0) {
    BOOST_REQUIRE(fleet.form());
    for (const NodeId& id : fleet.acceptorIds) {
      directory.add(id.address, NodeRole::Register);
      admit(id.address);
    }
  }
  /// The machine's process ends, and all others hold it dead.
  void end(const std::string& id) {
    fleet.crash(id);
    cores.erase(id);
    fleet.harness.context(id, ServiceId::Admission);
    directory.set(id, NodeRole::Register, NodeState::Dead);
  }
  SelfAdmissionCore& admit(const std::string& id) { return admit(id, directory); }
  /// Starts the core with a directory of its own.
  SelfAdmissionCore& admit(const std::string& id, const Directory& view) {
    HarnessContext& context = fleet.harness.context(id, ServiceId::Admission);
    cores[id] = std::make_unique<SelfAdmissionCore>(
        context, fleet.registers(id), view, SelfAdmissionCore::Kind::Acceptor,
        fleet.nodes[id].options.storeId, [this] { return holdsAll; },
        [this] { return placesToTake; }, [this] { return leaving; }, options);
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
  std::map<std::string, std::unique_ptr<SelfAdmissionCore>> cores;
  bool holdsAll = true;
  std::vector<NodeId> placesToTake;
  std::vector<NodeId> leaving;
  SelfAdmissionOptions options;
};

struct FiveAcceptors : AdmissionFleet {
  FiveAcceptors() : AdmissionFleet(5) {}
};

}  // namespace

BOOST_AUTO_TEST_SUITE(self_admission)

BOOST_FIXTURE_TEST_CASE(an_emptied_machine_takes_its_own_place_again, AdmissionFleet) {
  fleet.emptyDisk("a1");
  fleet.start("a1");
  BOOST_TEST(!isMember("a1"));
  admit("a1");
  fleet.harness.advance(seconds(2));
  BOOST_TEST(isMember("a1"));
}

BOOST_FIXTURE_TEST_CASE(a_machine_that_does_not_hold_all_data_waits, AdmissionFleet) {
  holdsAll = false;
  fleet.emptyDisk("a1");
  fleet.start("a1");
  admit("a1");
  fleet.harness.advance(seconds(3));
  BOOST_TEST(!isMember("a1"));
  holdsAll = true;
  fleet.harness.advance(seconds(2));
  BOOST_TEST(isMember("a1"));
}

BOOST_FIXTURE_TEST_CASE(a_newcomer_takes_the_place_of_a_dead_member, AdmissionFleet) {
  fleet.crash("a1");
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  admit("a4");
  fleet.harness.advance(seconds(4));
  BOOST_TEST(isMember("a4"));
  BOOST_TEST(!isMember("a1"));
}

BOOST_FIXTURE_TEST_CASE(a_machine_that_stood_by_replaces_no_silent_member, AdmissionFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  admit("a4");
  fleet.harness.advance(seconds(4));
  BOOST_TEST(!isMember("a4"));
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  fleet.harness.advance(seconds(20));
  BOOST_TEST(!isMember("a4"));
  BOOST_TEST(isMember("a1"));
}

// A successor that runs before its predecessor is stopped had seen it alive and never took its
// place; the next loss left no majority.
BOOST_FIXTURE_TEST_CASE(a_machine_that_stood_by_replaces_a_member_that_left, AdmissionFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  admit("a4");
  fleet.harness.advance(seconds(4));
  directory.set("a1", NodeRole::Register, NodeState::Draining);
  fleet.harness.advance(seconds(4));
  BOOST_TEST(isMember("a1"));
  end("a1");
  fleet.harness.advance(seconds(3));
  BOOST_TEST(isMember("a4"));
  BOOST_TEST(!isMember("a1"));
}

BOOST_FIXTURE_TEST_CASE(a_member_that_restarts_keeps_its_place, AdmissionFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  admit("a4");
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

// A machine that stood by for longer comes first in the order but may replace no silent member; the
// newcomer that may waited for it.
BOOST_FIXTURE_TEST_CASE(a_newcomer_does_not_wait_for_a_machine_that_stood_by, AdmissionFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  admit("a4");
  fleet.harness.advance(seconds(4));
  fleet.crash("a1");
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  fleet.addControl("a5");
  directory.add("a5", NodeRole::Register);
  admit("a5");
  fleet.harness.advance(seconds(4));
  BOOST_TEST(isMember("a5"));
}

BOOST_FIXTURE_TEST_CASE(two_newcomers_take_two_places, FiveAcceptors) {
  for (const char* id : {"a6", "a7"}) {
    fleet.addControl(id);
    directory.add(id, NodeRole::Register);
    admit(id);
  }
  fleet.harness.advance(seconds(2));
  for (const char* id : {"a1", "a3"}) {
    directory.set(id, NodeRole::Register, NodeState::Draining);
  }
  fleet.harness.advance(milliseconds(500));
  for (const char* id : {"a1", "a3"}) {
    end(id);
  }
  fleet.harness.advance(seconds(6));
  BOOST_TEST(isMember("a6"));
  BOOST_TEST(isMember("a7"));
}

// Two healthy machines that had not heard of each other took each other's place again and again.
BOOST_FIXTURE_TEST_CASE(a_member_that_only_this_machine_misses_keeps_its_place, AdmissionFleet) {
  FixedDirectory withoutMember;
  for (const char* id : {"a1", "a2", "a4"}) {
    withoutMember.add(id, NodeRole::Register);
  }
  fleet.addControl("a4");
  admit("a4", withoutMember);
  fleet.harness.advance(seconds(20));
  BOOST_TEST(!isMember("a4"));
  BOOST_TEST(isMember("a3"));
  BOOST_TEST(fleet.registers("a2").knownMembers().version == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_member_that_answers_keeps_its_place_though_nobody_lists_it,
                        AdmissionFleet) {
  FixedDirectory withoutMember;
  for (const char* id : {"a1", "a2", "a4"}) {
    withoutMember.add(id, NodeRole::Register);
  }
  fleet.addControl("a4");
  for (const char* id : {"a1", "a2", "a4"}) {
    admit(id, withoutMember);
  }
  fleet.harness.advance(seconds(20));
  BOOST_TEST(isMember("a3"));
  BOOST_TEST(fleet.registers("a2").knownMembers().version == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_member_is_not_replaced_on_the_word_of_a_minority, FiveAcceptors) {
  FixedDirectory withoutMember;
  for (const char* id : {"a1", "a2", "a4", "a5", "a6"}) {
    withoutMember.add(id, NodeRole::Register);
  }
  fleet.addControl("a6");
  for (const char* id : {"a1", "a2", "a6"}) {
    admit(id, withoutMember);
  }
  for (const char* id : {"a4", "a5"}) {
    fleet.harness.context(id, ServiceId::Admission);
  }
  end("a3");
  fleet.harness.advance(seconds(20));
  BOOST_TEST(!isMember("a6"));
  for (const char* id : {"a4", "a5"}) {
    admit(id, withoutMember);
  }
  fleet.harness.advance(seconds(4));
  BOOST_TEST(isMember("a6"));
}

// A fleet that was formed before its last acceptor was heard of stayed with too few of them.
BOOST_FIXTURE_TEST_CASE(late_acceptors_are_added_until_there_are_enough, AdmissionFleet) {
  options.acceptorsNeeded = 5;
  for (const char* id : {"a4", "a5", "a6"}) {
    fleet.addControl(id);
    directory.add(id, NodeRole::Register);
    admit(id);
  }
  fleet.harness.advance(seconds(10));
  BOOST_TEST(fleet.registers("a2").knownMembers().list.acceptors.size() == 5U);
  for (const char* id : {"a1", "a2", "a3", "a4", "a5"}) {
    BOOST_TEST(isMember(id));
  }
  // Two disks may be lost now.
  BOOST_TEST(fleet.change("a5", 0, "order", "value").has_value());
  fleet.crash("a1");
  fleet.crash("a3");
  BOOST_TEST(fleet.read("a4").value().value == "value");
}

BOOST_FIXTURE_TEST_CASE(no_acceptor_is_added_to_a_fleet_that_has_enough, AdmissionFleet) {
  options.acceptorsNeeded = 3;
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  admit("a4");
  fleet.harness.advance(seconds(10));
  BOOST_TEST(!isMember("a4"));
  BOOST_TEST(fleet.registers("a2").knownMembers().version == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_successor_takes_the_place_of_a_retiring_member, AdmissionFleet) {
  fleet.addControl("a4");
  directory.add("a4", NodeRole::Register);
  admit("a4");
  placesToTake = {NodeId{"a3"}};
  leaving = {NodeId{"a3"}};
  fleet.harness.advance(seconds(3));
  BOOST_TEST(isMember("a4"));
  BOOST_TEST(!isMember("a3"));
  admit("a3");
  placesToTake.clear();
  fleet.harness.advance(seconds(5));
  BOOST_TEST(!isMember("a3"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retirements)

BOOST_FIXTURE_TEST_CASE(orders_are_refused_kept_and_followed, AdmissionFleet) {
  directory.add("s1", NodeRole::Store);
  Retirements first(fleet.registers("a1"), fleet.configuration("a1"), directory);
  Retirements second(fleet.registers("a2"), fleet.configuration("a2"), directory);
  const auto begin = [&](Retirements& via, const std::string& name) {
    std::optional<Status> result;
    via.begin(name, [&](Status status) { result = std::move(status); });
    return fleet.await(result);
  };
  const auto completed = [&](Retirements& via, const std::string& name) {
    std::optional<Result<bool>> result;
    via.isCompleted(name, [&](Result<bool> state) { result = std::move(state); });
    return fleet.await(result);
  };
  BOOST_TEST((begin(first, "unknown").error().code == ErrorCode::NotFound));
  BOOST_TEST((completed(first, "machine-s1").error().code == ErrorCode::NotFound));
  // A store that is no member holds nothing that counts.
  BOOST_TEST(begin(first, "machine-s1").has_value());
  BOOST_TEST(begin(second, "machine-s1").has_value());
  BOOST_TEST(completed(second, "machine-s1").value());
}

BOOST_AUTO_TEST_SUITE_END()
