// Promises of a single replica.
#include "partition/partition_replica.h"

#include "partition_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

namespace {

/// A replica on a node of its own, with its writer.
struct StandaloneReplica : Core {
  explicit StandaloneReplica(HarnessContext& context)
      : writer(context, 1), replica(context, writer, PartitionOptions{"disk"}, kBatches) {
    replica.load();
  }
  void start() override {}
  void receive(const NodeId&, const Message&) override {}
  void timerExpired(TimerId) override {}
  void persisted(PersistId id, const Status& status) override { writer.persisted(id, status); }
  DurableWriter writer;
  PartitionReplica replica;
};

bool grants(Harness& harness, PartitionReplica& replica, std::uint64_t epoch,
            const std::string& to) {
  bool granted = false;
  replica.promise(epoch, NodeId{to},
                  [&granted](const PromiseAnswer& answer) { granted = answer.granted; });
  harness.settle();
  return granted;
}

}  // namespace

/// A restarted node cannot know whether it owned the epoch that it had promised to itself. If
/// another node were granted the same epoch, two owners would write different rows under equal
/// versions.
BOOST_AUTO_TEST_CASE(a_promise_to_itself_survives_a_restart) {
  Harness harness;
  HarnessContext& context = harness.context("a:1", ServiceId::Partition);
  {
    StandaloneReplica before(context);
    harness.attach(context, before);
    BOOST_TEST(grants(harness, before.replica, 5, "a:1"));
  }
  StandaloneReplica after(context);
  harness.attach(context, after);
  BOOST_TEST(!grants(harness, after.replica, 5, "b:1"));
  BOOST_TEST(!after.replica.accepts(5, NodeId{"b:1"}));
  BOOST_TEST(grants(harness, after.replica, 6, "b:1"));
}
