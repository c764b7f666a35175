#include "register/member_absences.h"

#include "fixed_directory.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;
using std::chrono::milliseconds;

namespace {

struct AbsenceFixture {
  /// Observes the directory once, @p later after the last time.
  void observe(milliseconds later) {
    now += later;
    absences.observe(members, *directory.nodes, now);
  }
  FixedDirectory directory;
  std::vector<MemberList::Member> members = {{NodeId{"a1"}, "disk-a1"}};
  MemberAbsences absences{AbsenceTimeouts{}};
  Time now{milliseconds(1000)};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(member_absences)

BOOST_FIXTURE_TEST_CASE(a_member_dead_since_the_start_is_presumed_lost_after_the_time_out,
                        AbsenceFixture) {
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  observe(milliseconds(0));
  observe(milliseconds(1199));
  BOOST_TEST(!absences.isPresumedLost(NodeId{"a1"}, now));
  observe(milliseconds(1));
  BOOST_TEST(absences.isPresumedLost(NodeId{"a1"}, now));
  absences.restartTimeout(NodeId{"a1"}, now);
  BOOST_TEST(!absences.isPresumedLost(NodeId{"a1"}, now));
}

BOOST_FIXTURE_TEST_CASE(a_member_never_seen_is_presumed_lost_later_than_a_dead_one,
                        AbsenceFixture) {
  observe(milliseconds(0));
  observe(milliseconds(2999));
  BOOST_TEST(!absences.isPresumedLost(NodeId{"a1"}, now));
  observe(milliseconds(1));
  BOOST_TEST(absences.isPresumedLost(NodeId{"a1"}, now));
}

BOOST_FIXTURE_TEST_CASE(a_member_that_was_live_is_never_presumed_lost, AbsenceFixture) {
  directory.add("a1", NodeRole::Register);
  observe(milliseconds(0));
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  observe(milliseconds(100));
  observe(milliseconds(60000));
  BOOST_TEST(!absences.isPresumedLost(NodeId{"a1"}, now));
  BOOST_TEST(!absences.hasDeparted(NodeId{"a1"}, now));
}

BOOST_FIXTURE_TEST_CASE(a_member_has_departed_once_it_is_dead_after_its_announcement,
                        AbsenceFixture) {
  directory.set("a1", NodeRole::Register, NodeState::Draining);
  observe(milliseconds(0));
  directory.set("a1", NodeRole::Register, NodeState::Dead);
  observe(milliseconds(100));
  observe(milliseconds(1699));
  BOOST_TEST(!absences.hasDeparted(NodeId{"a1"}, now));
  observe(milliseconds(1));
  BOOST_TEST(absences.hasDeparted(NodeId{"a1"}, now));
}

BOOST_AUTO_TEST_SUITE_END()
