// Seeds that show faults which are not mended yet; see KNOWN-RED.txt.
#include "sim/run_seed.h"

using namespace shedshed::test;

// After the faults have ended no change of the settings is acknowledged (docs/PROOFS.md, "Found"
// 9).
BOOST_AUTO_TEST_CASE(changes_work_again_after_lost_answers) {
  requireNoViolation("lost-answers", 10);
}
