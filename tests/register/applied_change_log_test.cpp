#include "register/applied_change_log.h"

#include "core_harness.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_SUITE(applied_change_log)

BOOST_AUTO_TEST_CASE(the_log_is_bounded_and_survives_in_blocks) {
  AppliedChangeLog log;
  MemoryRecords records;
  const std::uint64_t count = AppliedChangeLog::kCapacity + 1000;
  for (std::uint64_t number = 1; number <= count; ++number) {
    log.append({digestOf(std::to_string(number)), number});
    records.apply(log.takeMutations("l/"));
  }
  BOOST_TEST(log.version() == count);
  BOOST_TEST(!log.versionOf(digestOf("1")));
  BOOST_TEST(*log.versionOf(digestOf("2000")) == 2000U);
  BOOST_TEST(records.rows.size() <=
             AppliedChangeLog::kCapacity / AppliedChangeLog::kBlockEntries + 2);
  log.truncate(count - 70);
  records.apply(log.takeMutations("l/"));
  const Result<AppliedChangeLog> loaded = AppliedChangeLog::load(records, "l/", count - 70);
  BOOST_REQUIRE(loaded);
  BOOST_TEST((loaded.value().chain() == log.chain()));
  BOOST_TEST(loaded.value().firstVersion() == log.firstVersion());
  BOOST_TEST(!AppliedChangeLog::load(records, "l/", count));
}

BOOST_AUTO_TEST_SUITE_END()
