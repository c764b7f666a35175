#include "register/fleet_bootstrap.h"

#include "core_harness.h"
#include "fixed_directory.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

struct BootstrapFixture {
  BootstrapFixture() {
    for (const char* id : {"a1", "a2", "a3", "s1"}) {
      add(id);
    }
  }
  void add(const std::string& id) { add(id, "disk-" + id); }
  void add(const std::string& id, const std::string& storeId) {
    HarnessContext& context = harness.context(id, ServiceId::Register);
    registers[id] =
        std::make_unique<RegisterCore>(context, RegisterOptions{!storeId.empty(), storeId, {}});
    harness.attach(context, *registers[id]);
    registers[id]->start();
    directory.add(id, id[0] == 's' ? NodeRole::Store : NodeRole::Register);
    directory.setStoreId(id, storeId);
  }
  void loseDisk(const std::string& id) {
    harness.crash(id);
    harness.records[id] = {};
    harness.synced[id] = {};
    registers.erase(id);
    cores.erase(id);
  }
  void startBootstrap(const std::string& id, FleetBootstrapOptions options = {}) {
    HarnessContext& context = harness.context(id, ServiceId::Bootstrap);
    cores[id] = std::make_unique<FleetBootstrapCore>(
        context, *registers[id], directory,
        std::vector<NodeId>{NodeId{"a3"}, NodeId{"a1"}, NodeId{"a2"}}, options);
    harness.attach(context, *cores[id]);
    cores[id]->start();
  }
  Harness harness;
  FixedDirectory directory;
  std::map<std::string, std::unique_ptr<RegisterCore>> registers;
  std::map<std::string, std::unique_ptr<FleetBootstrapCore>> cores;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_bootstrap)

BOOST_FIXTURE_TEST_CASE(the_first_acceptor_forms_the_fleet_once_the_stores_are_stable,
                        BootstrapFixture) {
  for (const char* id : {"a1", "a2", "a3"}) {
    startBootstrap(id);
  }
  harness.advance(std::chrono::milliseconds(1000));
  BOOST_TEST(registers["a1"]->knownMembers().version == 0U);
  harness.advance(std::chrono::milliseconds(1500));
  const KnownMembers& members = registers["a1"]->knownMembers();
  BOOST_TEST(members.version == 1U);
  BOOST_TEST(members.list.acceptors.size() == 3U);
  BOOST_TEST(members.list.stores.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(another_acceptor_forms_the_fleet_if_the_first_one_does_not,
                        BootstrapFixture) {
  startBootstrap("a2");
  harness.advance(std::chrono::seconds(5));
  BOOST_TEST(registers["a2"]->knownMembers().version == 0U);
  harness.advance(std::chrono::seconds(3));
  BOOST_TEST(registers["a2"]->knownMembers().version == 1U);
}

// Guards against a fleet whose acceptors are the three seeds only: the loss of two disks would
// leave no majority and lose the configuration.
BOOST_FIXTURE_TEST_CASE(the_configuration_outlives_the_loss_of_two_disks_of_eight,
                        BootstrapFixture) {
  for (const char* id : {"a4", "a5", "a6", "a7", "a8"}) {
    add(id);
  }
  startBootstrap("a1");
  harness.advance(std::chrono::seconds(3));
  bool acknowledged = false;
  registers["a1"]->change({kSettingsRegister, 0, "order", "value", {}},
                          [&](const auto& outcome) { acknowledged = bool(outcome); });
  harness.advance(std::chrono::seconds(1));
  BOOST_REQUIRE(acknowledged);
  for (const char* id : {"a1", "a2"}) {
    loseDisk(id);
  }
  std::string found;
  registers["a3"]->read(kSettingsRegister, [&](const auto& value) {
    found = value ? value.value().value : value.error().detail;
  });
  harness.advance(std::chrono::seconds(10));
  BOOST_TEST(found == "value");
}

BOOST_FIXTURE_TEST_CASE(a_register_node_without_a_disk_is_no_acceptor, BootstrapFixture) {
  add("b1", "");
  startBootstrap("a1");
  harness.advance(std::chrono::seconds(3));
  BOOST_TEST(registers["a1"]->knownMembers().list.acceptors.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(too_few_acceptors_delay_the_formation_and_are_then_reported,
                        BootstrapFixture) {
  FleetBootstrapOptions options;
  options.toleratedLosses = 2;
  startBootstrap("a1", options);
  harness.advance(std::chrono::seconds(5));
  BOOST_TEST(registers["a1"]->knownMembers().version == 0U);
  harness.advance(std::chrono::seconds(3));
  BOOST_TEST(registers["a1"]->knownMembers().list.acceptors.size() == 3U);
  BOOST_TEST(harness.counters.values["fleet_members_missing"] == 4);
}

BOOST_FIXTURE_TEST_CASE(neighbouring_stores_lie_in_different_zones, BootstrapFixture) {
  for (const char* id : {"s2", "s3", "s4", "s5", "s6"}) {
    add(id);
  }
  for (const char* id : {"s1", "s2", "s3", "s4"}) {
    directory.setZone(id, "east");
  }
  for (const char* id : {"s5", "s6"}) {
    directory.setZone(id, "west");
  }
  startBootstrap("a1");
  harness.advance(std::chrono::seconds(3));
  std::string order;
  for (const MemberList::Member& member : registers["a1"]->knownMembers().list.stores) {
    order += member.id.address + " ";
  }
  BOOST_TEST(order == "s1 s5 s2 s6 s3 s4 ");
  BOOST_TEST(registers["a1"]->knownMembers().list.replicas == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
