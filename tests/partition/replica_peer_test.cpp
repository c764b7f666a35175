// A replica that restarts on the same disk during a paged transfer must still catch up.
#include "partition_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

namespace {

constexpr int kRows = 3000;
constexpr std::size_t kRowBytes = 1000;
constexpr std::size_t kPageMessageBytes = 100000;
constexpr int kPagesBeforeRestart = 3;
/// Twenty times the pages of the whole table. Bounds the run time of the test, not the transfer.
constexpr int kMaxPagesAfterRestart = 1000;
constexpr auto kCatchUpTimeout = milliseconds(4800);

/// Delivers at most @p limit pages to @p node; counts all of them in @p pages.
void limitPages(Fleet& fleet, const std::string& node, int& pages, int& limit) {
  fleet.messageFilter = [&pages, &limit, node](const Harness::Envelope& envelope) {
    const bool isPage = envelope.message.kind == InstallRequest::kKind &&
                        envelope.to.address == node &&
                        envelope.message.payload.size() > kPageMessageBytes;
    if (!isPage) {
      return true;
    }
    ++pages;
    return pages <= limit;
  };
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_replica_that_restarts_in_the_middle_of_a_transfer_catches_up) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  std::vector<TableEntry> rows;
  for (int row = 0; row < kRows; ++row) {
    rows.push_back({"item" + std::to_string(row), std::string(kRowBytes, 'x')});
  }
  Outcome written;
  fleet.core(order[0]).write(kBatches, rows, written.callback());
  fleet.advance(milliseconds(100));
  BOOST_REQUIRE(written.succeeded());
  fleet.killAndMarkDead(order[0]);
  fleet.advance(seconds(1));
  fleet.harness.records[order[0]].rows.clear();
  fleet.storeIds[order[0]] = "other-disk";
  int pages = 0;
  int limit = kPagesBeforeRestart;
  limitPages(fleet, order[0], pages, limit);
  fleet.start(order[0]);
  fleet.advance(seconds(1));
  BOOST_REQUIRE(pages > limit);

  fleet.kill(order[0]);
  fleet.start(order[0]);
  pages = 0;
  limit = kMaxPagesAfterRestart;
  fleet.advance(kCatchUpTimeout);
  BOOST_TEST(fleet.core(order[0]).repairProgress().complete());
}
