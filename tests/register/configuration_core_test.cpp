#include "register_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

/// Time until all nodes have adopted @p version; at most ten seconds.
Duration timeUntilAdopted(RegisterFleet& fleet, std::uint64_t version) {
  const Time begin = fleet.harness.now;
  const auto everywhere = [&] {
    for (const auto& node : fleet.nodes) {
      const auto value = node.second.configuration->current(kSettingsRegister);
      if (value.version < version || !fleet.isFresh(node.first)) {
        return false;
      }
    }
    return true;
  };
  while (!everywhere() && fleet.harness.now < begin + std::chrono::seconds(10)) {
    fleet.harness.advance(std::chrono::milliseconds(10));
  }
  return fleet.harness.now - begin;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_core)

BOOST_AUTO_TEST_CASE(a_new_setting_is_adopted_everywhere_within_two_seconds) {
  RegisterFleet fleet(6, 30);
  BOOST_REQUIRE(fleet.form());
  fleet.harness.advance(std::chrono::seconds(2));
  fleet.configurationBytes = 0;
  fleet.harness.advance(std::chrono::seconds(10));
  const double bytesPerSecond = static_cast<double>(fleet.configurationBytes) / 10 / 30;
  BOOST_TEST_MESSAGE("payload bytes per second and data node without changes: " << bytesPerSecond);
  BOOST_TEST(bytesPerSecond < 200);
  Duration longest{0};
  for (std::uint64_t version = 1; version <= 20; ++version) {
    fleet.dropRate = version % 2 == 0 ? 0.02 : 0;
    BOOST_REQUIRE(fleet.change("d1", version - 1, std::to_string(version), "v"));
    longest = std::max(longest, timeUntilAdopted(fleet, version));
  }
  BOOST_TEST_MESSAGE("longest time until adopted, ms: " << toMilliseconds(longest));
  BOOST_TEST(toMilliseconds(longest) < 2000);
}

// At 2,400 tenants the settings are about 0.5 MB; 6,500 changes a day must not send the complete
// value.
BOOST_AUTO_TEST_CASE(a_small_change_of_a_large_value_costs_each_node_little) {
  RegisterFleet fleet(6, 4);
  BOOST_REQUIRE(fleet.form());
  std::string value(500000, 'x');
  BOOST_REQUIRE(fleet.change("d1", 0, "whole", value));
  timeUntilAdopted(fleet, 1);
  fleet.configurationBytes = 0;
  for (std::uint64_t version = 2; version <= 11; ++version) {
    value.replace(version * 1000, version % 3, std::to_string(version));
    BOOST_REQUIRE(fleet.change("d1", version - 1, std::to_string(version), value));
    BOOST_TEST(toMilliseconds(timeUntilAdopted(fleet, version)) < 2000);
  }
  BOOST_TEST((fleet.configuration("d4").current(kSettingsRegister).value == value));
  BOOST_TEST_MESSAGE("payload bytes of 10 changes, 4 data nodes: " << fleet.configurationBytes);
  BOOST_TEST(fleet.configurationBytes < 40000U);
}

BOOST_AUTO_TEST_CASE(a_patch_that_does_not_fit_is_rejected_and_the_complete_value_follows) {
  const RegisterValue base{1, "abcabc"};
  const RegisterValue next{2, "abcXabc"};
  const ValuePatch patch = makePatch(base, next);
  BOOST_TEST(applyPatch(base, patch).value().value == next.value);
  BOOST_TEST(!applyPatch({1, "abdabc"}, patch).has_value());
  BOOST_TEST(!applyPatch({1, "a"}, patch).has_value());
  BOOST_TEST(!applyPatch({3, base.value}, patch).has_value());
  BOOST_TEST(applyPatch(next, makePatch(next, base)).value().value == base.value);

  RegisterFleet fleet(6, 1);
  BOOST_REQUIRE(fleet.form());
  BOOST_REQUIRE(fleet.change("a1", 0, "o1", std::string(1000, 'a')));
  timeUntilAdopted(fleet, 1);
  // Replaces the patch in the next pull reply by one of another value.
  std::size_t forged = 0;
  const auto originalFilter = fleet.harness.filter;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    const bool isReply = envelope.to.address == "d1" && envelope.message.kind == PullReply::kKind &&
                         envelope.message.service == ServiceId::Configuration;
    const auto decoded = isReply ? decodeRecord<PullReply>(envelope.message.payload)
                                 : Result<PullReply>(PullReply{});
    if (decoded && !decoded.value().patches.empty()) {
      ++forged;
      PullReply wrong = decoded.value();
      wrong.patches[0].patches[0].resultHash += 1;
      fleet.configuration("d1").receive(envelope.from, encodeMessage(wrong));
      return false;
    }
    return originalFilter(envelope);
  };
  BOOST_REQUIRE(fleet.change("a1", 1, "o2", std::string(1000, 'a') + "b"));
  BOOST_TEST(toMilliseconds(timeUntilAdopted(fleet, 2)) < 2000);
  BOOST_TEST(forged == 1U);
  BOOST_TEST(fleet.configuration("d1").current(kSettingsRegister).value.size() == 1001U);
}

// After the loss of all processes, nodes reject all calls until they have a proof.
BOOST_AUTO_TEST_CASE(a_fleet_that_restarts_completely_is_proved_soon) {
  int longest = 0;
  for (int wait = 0; wait <= 600; wait += 10) {
    RegisterFleet fleet(3, 3);
    BOOST_REQUIRE(fleet.form());
    BOOST_REQUIRE(fleet.change("a1", 0, "o1", "v"));
    fleet.harness.advance(std::chrono::seconds(2));
    for (const char* name : {"d1", "d2", "d3", "a1", "a2", "a3"}) {
      fleet.crash(name);
    }
    for (const char* name : {"d1", "d2", "d3"}) {
      fleet.start(name);
    }
    fleet.harness.advance(std::chrono::milliseconds(wait));
    for (const char* name : {"a1", "a2", "a3"}) {
      fleet.start(name);
      fleet.harness.advance(std::chrono::milliseconds(5));
    }
    int taken = 0;
    while (taken < 2000 && !(fleet.isFresh("d1") && fleet.isFresh("d2") && fleet.isFresh("d3"))) {
      fleet.harness.advance(std::chrono::milliseconds(10));
      taken += 10;
    }
    longest = std::max(longest, taken);
  }
  BOOST_TEST(longest <= 200);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_does_not_adopt_older_values_from_a_stale_control_node) {
  RegisterFleet fleet(6, 2);
  BOOST_REQUIRE(fleet.form());
  fleet.harness.advance(std::chrono::seconds(1));
  fleet.isolated = {"a1", "a2", "a3"};
  fleet.harness.advance(std::chrono::milliseconds(100));
  fleet.crash("d1");
  fleet.isolated.insert("d1");
  fleet.start("d1");
  // The three still hold an unexpired proof, but from before the node's start.
  for (int step = 0; step < 50; ++step) {
    fleet.harness.advance(std::chrono::milliseconds(100));
    BOOST_REQUIRE(!fleet.isFresh("d1"));
  }
  fleet.isolated.clear();
  fleet.harness.advance(std::chrono::seconds(2));
  BOOST_TEST(fleet.isFresh("d1"));
}

BOOST_AUTO_TEST_CASE(rounds_stay_small_and_a_lagging_acceptor_fetches_the_change_log) {
  RegisterFleet fleet(6, 2);
  BOOST_REQUIRE(fleet.form());
  fleet.isolated = {"a6"};
  for (std::uint64_t base = 0; base < 9000; ++base) {
    BOOST_REQUIRE(fleet.change("d1", base, "order-" + std::to_string(base), "value"));
  }
  for (const auto& entry : fleet.maxMessageBytes) {
    BOOST_TEST_MESSAGE("register message kind " << entry.first << ": " << entry.second
                                                << " bytes at most");
    BOOST_TEST((entry.first == FormRequest::kKind || entry.second < 400));
  }
  fleet.isolated = {"a1", "a2"};
  BOOST_REQUIRE(fleet.change("d2", 9000, "with-a6", "value"));
  BOOST_TEST(fleet.change("d2", 17, "order-17", "value").value().version == 18U);
  BOOST_TEST_MESSAGE("largest change log chunk: " << fleet.maxMessageBytes[ChangeLogChunk::kKind]);
  fleet.crash("a6");
  fleet.start("a6");
  BOOST_TEST(fleet.change("d1", 8123, "order-8123", "value").value().version == 8124U);
}

BOOST_AUTO_TEST_SUITE_END()
