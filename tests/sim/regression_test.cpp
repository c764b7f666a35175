// Seeds that once ran into a fault. Changes of the schedule may hide it from a seed; each fault has
// a test of its own besides (docs/PROOFS.md, "Found").
#include "run_seed.h"

using namespace shedshed::test;

// A cut leaves one front with a quorum but without the watchers of a draining engine.
BOOST_AUTO_TEST_CASE(a_draining_engine_gets_no_request_from_a_front_without_its_watchers) {
  requireNoViolation("chaos", 1);
}

// A front that wakes from a standstill knows an engine only from before.
BOOST_AUTO_TEST_CASE(a_draining_engine_gets_no_request_from_a_front_after_unfreezing) {
  requireNoViolation("chaos", 49);
  requireNoViolation("chaos", 94);
}

// The load went on losing half of the answers to operators after the faults had ended: three
// changes took effect, and none was acknowledged.
BOOST_AUTO_TEST_CASE(changes_work_again_after_lost_answers) {
  requireNoViolation("lost-answers", 10);
}

// A recovery window closed on the answers of the live holders while a frozen one still held a
// number.
BOOST_AUTO_TEST_CASE(a_number_has_one_live_holder_under_chaos) {
  requireNoViolation("chaos", 36);
}
