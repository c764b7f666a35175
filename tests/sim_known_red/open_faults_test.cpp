// Seeds that show faults which are not mended yet; see KNOWN-RED.txt.
#include "sim/run_seed.h"

using namespace shedshed::test;

// A cut leaves one front with a quorum but without the watchers of a draining engine. Until it
// holds them dead and watches the engine itself, it goes on sending requests to it.
BOOST_AUTO_TEST_CASE(a_draining_engine_gets_no_request_from_a_front_without_its_watchers) {
  requireNoViolation("chaos", 1);
}

// Two live holders of one number (docs/PROOFS.md, "Found" 8).
BOOST_AUTO_TEST_CASE(a_number_has_one_live_holder_under_chaos) {
  requireNoViolation("chaos", 36);
}
