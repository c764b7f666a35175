// Seeds that once showed a bug. A change of the event order may hide the bug from its seed, so each
// bug also has a test of its own (docs/PROOFS.md, "Found").
#include "run_seed.h"

using namespace shedshed::test;

// A network partition leaves one front with a quorum but without the nodes that watch a draining
// engine.
BOOST_AUTO_TEST_CASE(a_draining_engine_gets_no_request_from_a_front_without_its_watchers) {
  requireNoViolation("chaos", 1);
}

// A front that is unfrozen has only an outdated state of the engine.
BOOST_AUTO_TEST_CASE(a_draining_engine_gets_no_request_from_a_front_after_unfreezing) {
  requireNoViolation("chaos", 49);
  requireNoViolation("chaos", 94);
}

// The load still dropped half of the answers to operators after the faults had ended: three changes
// took effect, and none was acknowledged.
BOOST_AUTO_TEST_CASE(changes_work_again_after_lost_answers) {
  requireNoViolation("lost-answers", 10);
}

// A recovery window closed after the answers of the live holders, while a frozen holder still held
// a slot number.
BOOST_AUTO_TEST_CASE(a_number_has_one_live_holder_under_chaos) {
  requireNoViolation("chaos", 36);
}
