#include "register/retirements.h"

#include "fixed_directory.h"
#include "register_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_SUITE(retirements)

BOOST_AUTO_TEST_CASE(retirements_are_validated_stored_and_completed) {
  RegisterFleet fleet(3, 0);
  BOOST_REQUIRE(fleet.form());
  FixedDirectory directory;
  for (const NodeId& id : fleet.acceptorIds) {
    directory.add(id.address, NodeRole::Register);
  }
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
  // A store that is not a member counts towards no majority, so its retirement completes at once.
  BOOST_TEST(begin(first, "machine-s1").has_value());
  BOOST_TEST(begin(second, "machine-s1").has_value());
  BOOST_TEST(completed(second, "machine-s1").value());
}

BOOST_AUTO_TEST_SUITE_END()
