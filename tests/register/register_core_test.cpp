#include "register_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

using Outcome = Result<ChangeOutcome>;

ErrorCode errorOf(const Outcome& outcome) {
  return outcome ? ErrorCode::Internal : outcome.error().code;
}

/// Describes a failure; also called if the check passes.
template <class T>
std::string describe(const Result<T>& result) {
  if (result) {
    return "ok";
  }
  return std::string(errorTypeName(result.error().code)) + " " + result.error().detail;
}

/// Makes @p count consecutive changes from @p base, alternating between two nodes.
std::uint64_t applyChanges(RegisterFleet& fleet, std::uint64_t base, int count) {
  for (int number = 0; number < count; ++number) {
    const std::string via = "d" + std::to_string(number % 2 + 1);
    const Outcome outcome =
        fleet.change(via, base, "bulk-" + std::to_string(base), "v" + std::to_string(base + 1));
    BOOST_REQUIRE(outcome);
    base = outcome.value().version;
  }
  return base;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(register_core)

BOOST_AUTO_TEST_CASE(racing_changes_have_one_winner) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    RegisterFleet fleet(6, 2);
    BOOST_REQUIRE(fleet.form());
    fleet.harness.random.seed(seed);
    fleet.stepLossRate = 0;
    std::vector<Outcome> outcomes;
    for (const char* via : {"d1", "a2"}) {
      fleet.registers(via).change({kSettingsRegister, 0, via, via, {}},
                                  [&](Outcome outcome) { outcomes.push_back(outcome); });
    }
    while (outcomes.size() < 2) {
      fleet.randomStep();
    }
    const Outcome& winner = outcomes[0] ? outcomes[0] : outcomes[1];
    const Outcome& loser = outcomes[0] ? outcomes[1] : outcomes[0];
    BOOST_REQUIRE(winner);
    BOOST_TEST(winner.value().version == 1U);
    BOOST_TEST((errorOf(loser) == ErrorCode::VersionConflict));
  }
}

BOOST_AUTO_TEST_CASE(a_resent_change_gets_its_first_outcome) {
  RegisterFleet fleet(6, 2);
  BOOST_REQUIRE(fleet.form());
  // Once the accepts are sent, no message reaches the proposer: the change takes effect but cannot
  // be confirmed.
  const auto originalFilter = fleet.harness.filter;
  bool repliesBlocked = false;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    repliesBlocked = repliesBlocked || (envelope.message.service == ServiceId::Register &&
                                        envelope.message.kind == AcceptRequest::kKind);
    return originalFilter(envelope) && !(repliesBlocked && envelope.to.address == "d1");
  };
  BOOST_TEST((errorOf(fleet.change("d1", 0, "first", "v1")) == ErrorCode::OutcomeUnknown));
  fleet.harness.filter = originalFilter;
  applyChanges(fleet, 1, 300);
  const Outcome again = fleet.change("d2", 0, "first", "v1");
  BOOST_REQUIRE(again);
  BOOST_TEST(again.value().version == 1U);
  BOOST_TEST(again.value().repeated);
  BOOST_TEST((errorOf(fleet.change("a4", 0, "first", "other")) == ErrorCode::IdempotencyKeyReused));
  BOOST_TEST((errorOf(fleet.change("a4", 7, "late", "x")) == ErrorCode::VersionConflict));
  BOOST_TEST((errorOf(fleet.change("a4", 900, "early", "x")) == ErrorCode::VersionConflict));
  BOOST_TEST(fleet.read("a5").value().version == 301U);
}

BOOST_AUTO_TEST_CASE(without_a_majority_no_outcome_is_reported) {
  RegisterFleet fleet(6, 2);
  BOOST_REQUIRE(fleet.form());
  applyChanges(fleet, 0, 1);
  fleet.isolated = {"a1", "a2", "a3", "d1"};
  BOOST_TEST((errorOf(fleet.change("d1", 1, "x", "x")) == ErrorCode::NoQuorum));
  BOOST_TEST((fleet.read("a1").error().code == ErrorCode::NoQuorum));
  for (const auto& node : fleet.nodes) {
    BOOST_TEST(!fleet.isFresh(node.first));
  }
  fleet.isolated = {"a1", "a2", "d1"};
  fleet.harness.advance(std::chrono::seconds(3));
  BOOST_TEST((!fleet.isFresh("a1") && !fleet.isFresh("d1")));
  BOOST_TEST((fleet.isFresh("a4") && fleet.isFresh("d2")));
  BOOST_REQUIRE(fleet.change("d2", 1, "y", "v2"));
  fleet.harness.advance(std::chrono::seconds(2));
  BOOST_TEST(fleet.configuration("d1").current(kSettingsRegister).version == 1U);
  fleet.isolated.clear();
  fleet.harness.advance(std::chrono::seconds(2));
  BOOST_TEST(fleet.isFresh("d1"));
  BOOST_TEST(fleet.configuration("d1").current(kSettingsRegister).version == 2U);
}

BOOST_AUTO_TEST_CASE(restart_of_all_reads_back_the_newest_version) {
  RegisterFleet fleet(6, 2);
  BOOST_REQUIRE(fleet.form());
  const std::uint64_t newest = applyChanges(fleet, 0, 400);
  for (auto& node : fleet.nodes) {
    fleet.crash(node.first);
  }
  for (auto& node : fleet.nodes) {
    fleet.start(node.first);
    BOOST_TEST(!fleet.isFresh(node.first));
  }
  fleet.harness.advance(std::chrono::seconds(2));
  for (const auto& node : fleet.nodes) {
    BOOST_TEST(fleet.isFresh(node.first));
    BOOST_TEST(fleet.configuration(node.first).current(kSettingsRegister).version == newest);
  }
  BOOST_TEST(fleet.read("d1").value().value == "v400");
  BOOST_TEST(fleet.change("d2", 17, "bulk-17", "v18").value().version == 18U);
}

/// Delivers messages but syncs nothing, crashes all nodes, and returns whether the change had been
/// acknowledged and the version that is read afterwards.
std::pair<bool, std::uint64_t> powerLossBeforeSync(RegisterSafeguards safeguards) {
  RegisterFleet fleet(6, 2, safeguards);
  BOOST_REQUIRE(fleet.form());
  fleet.harness.advance(std::chrono::seconds(1));  // Until d1 knows the members.
  bool acknowledged = false;
  fleet.registers("d1").change({kSettingsRegister, 0, "order", "v1", {}},
                               [&](Outcome outcome) { acknowledged = bool(outcome); });
  while (!fleet.harness.queue.empty()) {
    fleet.harness.deliverAt(0);
  }
  for (auto& node : fleet.nodes) {
    fleet.crash(node.first);
  }
  for (auto& node : fleet.nodes) {
    fleet.start(node.first);
  }
  return {acknowledged, fleet.read("d2").value().version};
}

BOOST_AUTO_TEST_CASE(nothing_is_acknowledged_before_it_is_synced) {
  BOOST_TEST(!powerLossBeforeSync({}).first);
}

BOOST_AUTO_TEST_CASE(replies_before_the_sync_lose_an_acknowledged_version) {
  RegisterSafeguards safeguards;
  safeguards.persistBeforeAnswer = false;
  const auto result = powerLossBeforeSync(safeguards);
  BOOST_TEST(result.first);
  BOOST_TEST(result.second == 0U);
}

BOOST_AUTO_TEST_CASE(an_acceptor_with_corrupt_records_does_not_reply) {
  RegisterFleet fleet(6, 2);
  BOOST_REQUIRE(fleet.form());
  applyChanges(fleet, 0, 3);
  fleet.crash("a1");
  fleet.harness.records["a1"].rows["register/settings/accepted"] = "\xc1";
  fleet.start("a1");
  fleet.isolated = {"a2", "a3"};
  BOOST_TEST((fleet.read("a4").error().code == ErrorCode::NoQuorum));
}

/// Commits version 1 on a1..a4 only, empties a3 and a4, and isolates a1 and a2: none of the
/// remaining four has it.
Result<RegisterValue> readAfterLossOfDisks(RegisterSafeguards safeguards) {
  RegisterFleet fleet(6, 2, safeguards);
  BOOST_REQUIRE(fleet.form());
  fleet.isolated = {"a5", "a6"};
  applyChanges(fleet, 0, 1);
  fleet.isolated = {"a1", "a2"};
  for (const char* emptied : {"a3", "a4"}) {
    fleet.emptyDisk(emptied);
    fleet.start(emptied);
  }
  return fleet.read("d1");
}

BOOST_AUTO_TEST_CASE(an_emptied_disk_does_not_vote) {
  const Result<RegisterValue> read = readAfterLossOfDisks({});
  BOOST_REQUIRE(!read);
  BOOST_TEST((read.error().code == ErrorCode::NoQuorum));
}

BOOST_AUTO_TEST_CASE(without_the_store_id_check_an_acknowledged_version_is_lost) {
  RegisterSafeguards safeguards;
  safeguards.storeIdCheck = false;
  const Result<RegisterValue> read = readAfterLossOfDisks(safeguards);
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().version == 0U);
}

BOOST_AUTO_TEST_CASE(forming_is_explicit_and_idempotent) {
  RegisterFleet fleet(6, 2);
  fleet.harness.advance(std::chrono::seconds(10));
  BOOST_TEST((fleet.read("a1").error().code == ErrorCode::NoQuorum));
  fleet.isolated = {"a6"};
  BOOST_TEST((fleet.form("a2").error().code == ErrorCode::NoQuorum));
  fleet.isolated.clear();
  BOOST_REQUIRE(fleet.form("a3"));
  BOOST_REQUIRE(fleet.form("a5"));
  applyChanges(fleet, 0, 2);
  const auto all = fleet.acceptorIds;
  fleet.acceptorIds = {all[0], all[1], all[2]};
  BOOST_TEST((fleet.form().error().code == ErrorCode::AlreadyExists));
  fleet.acceptorIds = all;
  for (const char* emptied : {"a1", "a2", "a3", "a4", "a5"}) {
    fleet.emptyDisk(emptied);
    fleet.start(emptied);
  }
  BOOST_TEST((fleet.form().error().code == ErrorCode::AlreadyExists));
  BOOST_TEST((fleet.read("d1").error().code == ErrorCode::NoQuorum));
}

BOOST_AUTO_TEST_CASE(members_are_replaced_one_by_one_under_loss) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    RegisterFleet fleet(6, 2);
    BOOST_REQUIRE(fleet.form());
    std::uint64_t version = applyChanges(fleet, 0, 100);
    fleet.harness.random.seed(seed);
    for (int number = 1; number <= 6; ++number) {
      const std::string old = "a" + std::to_string(number);
      const std::string joining = number == 3 ? old : "b" + std::to_string(number);
      fleet.emptyDisk(old);
      if (joining == old) {
        fleet.start(old);
      } else {
        fleet.addControl(joining);
      }
      fleet.dropRate = 0.15;
      const std::string via = number == 6 ? "b1" : "a6";
      Result<MemberList> list = fleet.replace(via, old, joining);
      for (int attempt = 0; attempt < 5 && !list; ++attempt) {
        list = fleet.replace(via, old, joining);
      }
      fleet.dropRate = 0;
      BOOST_REQUIRE_MESSAGE(list, "seed " << seed << " " << old << ": " << describe(list));
      const Outcome changed = fleet.change("d1", version, "after-" + old, old);
      BOOST_REQUIRE_MESSAGE(changed,
                            "seed " << seed << " after " << old << ": " << describe(changed));
      version = changed.value().version;
    }
    fleet.harness.advance(std::chrono::seconds(3));
    BOOST_TEST(fleet.registers("d2").knownMembers().version == 7U);
    BOOST_TEST(fleet.read("d2").value().value == "a6");
    BOOST_TEST(fleet.change("d2", 17, "bulk-17", "v18").value().version == 18U);
    BOOST_TEST(fleet.change("d2", 100, "after-a1", "a1").value().repeated);
  }
}

BOOST_AUTO_TEST_CASE(second_loss_right_after_a_replacement_loses_nothing) {
  RegisterFleet fleet(6, 2);
  BOOST_REQUIRE(fleet.form());
  fleet.isolated = {"a5", "a6"};
  const std::uint64_t version = applyChanges(fleet, 0, 70);
  fleet.isolated.clear();
  fleet.emptyDisk("a1");
  fleet.addControl("b1");
  BOOST_REQUIRE(fleet.replace("a2", "a1", "b1"));
  fleet.emptyDisk("a2");
  fleet.emptyDisk("a3");
  BOOST_TEST(fleet.read("d1").value().version == version);
  BOOST_TEST(fleet.change("d2", 17, "bulk-17", "v18").value().repeated);
}

BOOST_AUTO_TEST_CASE(a_proposer_that_missed_replacements_cannot_use_the_old_list) {
  RegisterFleet fleet(6, 2);
  BOOST_REQUIRE(fleet.form());
  fleet.harness.advance(std::chrono::seconds(1));
  fleet.isolated = {"d1", "a1", "a2"};
  for (const char* old : {"a1", "a2"}) {
    const std::string joining = std::string("b") + old;
    fleet.addControl(joining);
    BOOST_REQUIRE(fleet.replace("a4", old, joining));
  }
  BOOST_REQUIRE(fleet.change("d2", 0, "new", "v1"));
  // d1 and the two retired acceptors reach a5 and a6 of the old list: four of six.
  fleet.isolated = {"d1", "a1", "a2", "a5", "a6"};
  BOOST_TEST((errorOf(fleet.change("d1", 0, "old", "w1")) == ErrorCode::NoQuorum));
  BOOST_TEST(!fleet.isFresh("a1"));
  fleet.isolated.clear();
  fleet.harness.advance(std::chrono::seconds(2));
  BOOST_TEST((errorOf(fleet.change("d1", 0, "old", "w1")) == ErrorCode::VersionConflict));
}

BOOST_AUTO_TEST_SUITE_END()
