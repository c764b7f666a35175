#include "kernel/trace_event.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

BOOST_AUTO_TEST_CASE(an_event_is_one_line_of_its_name_and_fields) {
  TraceEvent event("TakeoverSlow", Severity::Warning);
  event.field("partition", "batch/7")
      .field("epoch", 3)
      .field("elapsed_ms", std::chrono::seconds(2));
  BOOST_TEST(event.text() == "TakeoverSlow partition=batch/7 epoch=3 elapsed_ms=2000");
  BOOST_TEST((event.severity() == Severity::Warning));
}

BOOST_AUTO_TEST_CASE(values_with_blanks_are_quoted) {
  TraceEvent event("PersistRefused");
  event.field("error", makeError(ErrorCode::StorageFull, "a \"b\"\nc")).field("node", "");
  BOOST_TEST(event.text() == "PersistRefused error=\"storage_full: a \\\"b\\\" c\" node=\"\"");
  BOOST_TEST((event.severity() == Severity::Info));
}
