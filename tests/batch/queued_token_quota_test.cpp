// The queued tokens of a route stay below the route's bound.
#include "batch/queued_token_quota.h"
#include "batch_fleet.h"

namespace shedshed::test {
namespace {

const char* const kSettings =
    R"({"services":{"s":{}},"routes":{"r":{"host":"h","path_prefix":"/","kind":"batch",)"
    R"("timeout_ms":1000,"service":"s","max_queued_tokens":100}}})";

/// A world whose settings bound the route "r" to 100 tokens, with a quota on each store.
struct TokenWorld {
  TokenWorld() {
    world.configuration.values[kSettingsRegister] = RegisterValue{1, kSettings};
    for (const std::string name : {"s1", "s2"}) {
      auto& ownerContext = world.harness.context(name, ServiceId::BatchOwner);
      world.stores[name] = std::make_unique<BatchFleet::StoreNode>(world, name, ownerContext);
      world.harness.attach(ownerContext, world.stores[name]->core);
      world.stores[name]->core.start();
      auto& context = world.harness.context(name, ServiceId::WaitingTokens);
      quotas[name] = std::make_unique<QueuedTokenQuota>(context, world.stores[name]->table,
                                                        world.configuration, world.directory);
      world.harness.attach(context, *quotas[name]);
    }
    world.stores["s1"]->table.begin(1);
    world.stores["s2"]->table.hint = NodeId{"s1"};
    world.engines.holdAnswers = true;
  }
  /// A batch of two items with @p tokens each.
  static BatchSubmission batch(const std::string& key, std::uint64_t tokens) {
    BatchSubmission submission = BatchFleet::batchOf(2, key, true, key);
    submission.route = "r";
    submission.tokens = {tokens, tokens};
    return submission;
  }
  /// `Internal` if the batch was accepted.
  ErrorCode rejectionOf(const BatchSubmission& submission) {
    const auto answer = world.submit(submission);
    world.waitFor(*answer);
    return (*answer)->has_error() ? (*answer)->error().code : ErrorCode::Internal;
  }
  bool accepts(const BatchSubmission& submission) {
    return rejectionOf(submission) == ErrorCode::Internal;
  }

  BatchFleet world;
  std::map<std::string, std::unique_ptr<QueuedTokenQuota>> quotas;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(queued_token_quota)

BOOST_AUTO_TEST_CASE(aBatchThatDoesNotFitIsRejectedAndAResendIsNot) {
  TokenWorld fleet;
  BOOST_TEST(fleet.accepts(TokenWorld::batch("first", 40)));
  BOOST_TEST((fleet.rejectionOf(TokenWorld::batch("second", 11)) == ErrorCode::PoolFull));
  BOOST_TEST(fleet.accepts(TokenWorld::batch("first", 40)));
  BOOST_TEST(fleet.accepts(TokenWorld::batch("third", 10)));
}

BOOST_AUTO_TEST_CASE(finishedItemsFreeTheirTokens) {
  TokenWorld fleet;
  BOOST_TEST(fleet.accepts(TokenWorld::batch("first", 40)));
  fleet.world.harness.advance(1s);
  fleet.world.engines.answerNext();
  fleet.world.harness.advance(1s);
  BOOST_TEST(fleet.accepts(TokenWorld::batch("second", 30)));
}

BOOST_AUTO_TEST_CASE(aCancelledBatchFreesItsTokens) {
  TokenWorld fleet;
  BOOST_TEST(fleet.accepts(TokenWorld::batch("first", 50)));
  BOOST_TEST(fleet.world.cancel(batchIdOfClientKey("acme", "first")).has_value());
  fleet.world.harness.advance(1s);
  BOOST_TEST(fleet.accepts(TokenWorld::batch("second", 50)));
}

BOOST_AUTO_TEST_CASE(aNewQuotaOwnerRecoversWhatIsQueued) {
  TokenWorld fleet;
  BOOST_TEST(fleet.accepts(TokenWorld::batch("first", 40)));
  fleet.world.failover(false);
  BOOST_TEST((fleet.rejectionOf(TokenWorld::batch("second", 11)) == ErrorCode::PoolFull));
  BOOST_TEST(fleet.accepts(TokenWorld::batch("third", 10)));
  BOOST_TEST(fleet.quotas["s2"]->isReady());
}

BOOST_AUTO_TEST_CASE(withoutAQuotaOwnerTheBatchIsRejectedAndNotRun) {
  TokenWorld fleet;
  fleet.world.harness.filter = [](const Harness::Envelope& envelope) {
    return envelope.message.service != ServiceId::WaitingTokens;
  };
  BOOST_TEST((fleet.rejectionOf(TokenWorld::batch("first", 1)) == ErrorCode::StoreUnavailable));
  fleet.world.installFilter();
  fleet.world.harness.advance(5s);
  BOOST_TEST(fleet.world.engines.runs.empty());
}

BOOST_AUTO_TEST_CASE(aBatchAboveTheLimitIsNeverAccepted) {
  TokenWorld fleet;
  BOOST_TEST((fleet.rejectionOf(TokenWorld::batch("huge", 1ULL << 40U)) == ErrorCode::PoolFull));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
