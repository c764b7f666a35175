// Compares the hash of all messages and records, with their times, under fixed seeds. A commit that
// changes the behaviour on purpose gives the reason and regenerates the file with
// `build/sim/sim --behaviour 3 > tests/sim_behaviour/hashes.txt`.
#include "../sim/run_seed.h"

#include <fstream>
#include <iomanip>
#include <sstream>
#include <string>

using namespace shedshed;
using namespace shedshed::test;

namespace {

std::string hexadecimal(std::uint64_t value) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << value;
  return text.str();
}

}  // namespace

BOOST_AUTO_TEST_CASE(fixed_seeds_reproduce_recorded_behaviour) {
  std::ifstream file(SHEDSHED_SOURCE_DIR "/tests/sim_behaviour/hashes.txt");
  std::string scenario;
  std::string hash;
  std::uint64_t seed = 0;
  int runs = 0;
  while (file >> scenario >> seed >> hash) {
    BOOST_TEST(hexadecimal(runSeed(scenario, seed).behaviourHash) == hash,
               scenario << " seed " << seed);
    ++runs;
  }
  constexpr int kMinRuns = 40;
  BOOST_TEST(runs >= kMinRuns);
}
