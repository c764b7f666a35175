// Time-outs and sequences of a partition's last known owner.
#include "partition/known_owner.h"

#include "partition/partition_options.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

const Time kStart = Time() + std::chrono::seconds(100);
const NodeId kOwner{"a:1"};

}  // namespace

BOOST_AUTO_TEST_SUITE(known_owner)

BOOST_AUTO_TEST_CASE(no_owner_is_active_before_the_first_message) {
  KnownOwner owner;
  owner.start(kStart);
  BOOST_TEST(!owner.isActive(kStart));
  BOOST_TEST(owner.isWithinHeartbeatTimeout(kStart));
  BOOST_TEST(!owner.owner().has_value());
}

BOOST_AUTO_TEST_CASE(owner_is_active_until_the_active_timeout) {
  KnownOwner owner;
  owner.messageAccepted(kOwner, 3, kStart);
  const Duration tick = std::chrono::milliseconds(1);
  BOOST_TEST(owner.isActive(kStart + KnownOwner::kActiveTimeout - tick));
  BOOST_TEST(!owner.isActive(kStart + KnownOwner::kActiveTimeout));
  BOOST_TEST(owner.isWithinHeartbeatTimeout(kStart + PartitionOptions::kHeartbeatTimeout - tick));
  BOOST_TEST(!owner.isWithinHeartbeatTimeout(kStart + PartitionOptions::kHeartbeatTimeout));
}

BOOST_AUTO_TEST_CASE(previous_sequence_is_that_of_the_previous_heartbeat) {
  KnownOwner owner;
  owner.messageAccepted(kOwner, 3, kStart);
  owner.heartbeatAccepted(10);
  BOOST_TEST(owner.previousSequence() == 10U);
  owner.heartbeatAccepted(20);
  BOOST_TEST(owner.previousSequence() == 10U);
  owner.heartbeatAccepted(30);
  BOOST_TEST(owner.previousSequence() == 20U);
}

BOOST_AUTO_TEST_CASE(new_epoch_resets_the_sequences) {
  KnownOwner owner;
  owner.messageAccepted(kOwner, 3, kStart);
  owner.heartbeatAccepted(10);
  owner.messageAccepted(kOwner, 4, kStart);
  BOOST_TEST(owner.previousSequence() == 0U);
  BOOST_TEST(owner.owner()->epoch == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
