// Order of the pages of a transfer, and newer transfers.
#include "partition/incoming_transfer.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

InstallRequest request(std::uint64_t epoch, std::uint64_t transfer) {
  InstallRequest request;
  request.epoch = epoch;
  request.transfer = transfer;
  return request;
}

TablePage firstPage(const std::string& throughKey) {
  TablePage page;
  page.throughKey = throughKey;
  return page;
}

TablePage pageAfter(const std::string& afterKey, const std::string& throughKey, bool last) {
  TablePage page;
  page.fromStart = false;
  page.afterKey = afterKey;
  page.throughKey = throughKey;
  page.last = last;
  return page;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(incoming_transfer)

BOOST_AUTO_TEST_CASE(pages_are_accepted_only_in_order) {
  IncomingTransfer transfer;
  BOOST_TEST(transfer.beginOrContinue(request(2, 1)));
  BOOST_TEST(!transfer.isNext(pageAfter("b", "d", true)));
  BOOST_TEST(transfer.isNext(firstPage("b")));
  transfer.advance(firstPage("b"));
  BOOST_TEST(!transfer.isNext(firstPage("b")));
  BOOST_TEST(transfer.throughKey() == "b");
  BOOST_TEST(transfer.isNext(pageAfter("b", "d", true)));
}

BOOST_AUTO_TEST_CASE(last_page_completes_the_transfer_once) {
  IncomingTransfer transfer;
  BOOST_TEST(transfer.beginOrContinue(request(2, 1)));
  transfer.advance(firstPage("b"));
  transfer.advance(pageAfter("b", "d", true));
  BOOST_TEST(transfer.isComplete());
  BOOST_TEST(!transfer.isNext(pageAfter("b", "d", true)));
  BOOST_TEST(!transfer.isNext(pageAfter("d", "e", true)));
}

BOOST_AUTO_TEST_CASE(newer_transfer_resets_the_position_and_older_ones_are_ignored) {
  IncomingTransfer transfer;
  BOOST_TEST(transfer.beginOrContinue(request(2, 1)));
  transfer.advance(firstPage("b"));
  BOOST_TEST(transfer.beginOrContinue(request(2, 2)));
  BOOST_TEST(transfer.isNext(firstPage("b")));
  BOOST_TEST(transfer.throughKey().empty());
  BOOST_TEST(!transfer.beginOrContinue(request(2, 1)));
  BOOST_TEST(transfer.beginOrContinue(request(3, 1)));
  BOOST_TEST(!transfer.beginOrContinue(request(2, 2)));
}

BOOST_AUTO_TEST_SUITE_END()
