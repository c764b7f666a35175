// Order of completion when the disk rejects persist requests.
#include "partition/durable_writer.h"

#include "core_harness.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(requests_complete_in_order_after_the_disk_has_rejected_one) {
  MemoryRecords unused;
  Harness harness;
  HarnessContext& context = harness.context("a:1", ServiceId::Partition);
  DurableWriter writer(context, 1);
  std::vector<int> done;
  writer.persist({{"k", "1"}}, [&done] { done.push_back(1); });
  writer.persist({{"k", "2"}}, [&done] { done.push_back(2); });
  writer.persisted(1, makeError(ErrorCode::StorageFull));
  writer.persisted(2, okStatus());
  BOOST_TEST(done.empty());
  writer.retry();
  writer.persisted(3, okStatus());
  writer.persisted(4, okStatus());
  BOOST_TEST(done == (std::vector<int>{1, 2}), boost::test_tools::per_element());
  BOOST_TEST(harness.records["a:1"].rows["k"] == "2");
}
