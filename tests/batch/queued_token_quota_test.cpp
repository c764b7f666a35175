/// Tests of the limit on the queued tokens of a route.
#include "batch/queued_token_quota.h"
#include "batch_fleet.h"

namespace shedshed::test {
namespace {

const char* const kSettings =
    R"({"services":{"s":{}},"routes":{"r":{"host":"h","path_prefix":"/","kind":"batch",)"
    R"("timeout_ms":1000,"service":"s","max_queued_tokens":100}}})";

/// A fleet whose settings limit the route "r" to 100 queued tokens, with a quota on each store.
struct QuotaFleet {
  QuotaFleet() {
    batchFleet.configuration.values[kSettingsRegister] = RegisterValue{1, kSettings};
    for (const std::string name : {"s1", "s2"}) {
      auto& ownerContext = batchFleet.harness.context(name, ServiceId::BatchOwner);
      batchFleet.stores[name] =
          std::make_unique<BatchFleet::StoreNode>(batchFleet, name, ownerContext);
      batchFleet.harness.attach(ownerContext, batchFleet.stores[name]->core);
      batchFleet.stores[name]->core.start();
      auto& context = batchFleet.harness.context(name, ServiceId::WaitingTokens);
      quotas[name] = std::make_unique<QueuedTokenQuota>(
          context, batchFleet.stores[name]->table, batchFleet.configuration, batchFleet.directory);
      batchFleet.harness.attach(context, *quotas[name]);
    }
    batchFleet.stores["s1"]->table.begin(1);
    batchFleet.stores["s2"]->table.hint = NodeId{"s1"};
    batchFleet.engines.holdAnswers = true;
  }
  /// A batch of two items with @p tokens each.
  static BatchSubmission batch(const std::string& key, std::uint64_t tokens) {
    BatchSubmission submission = BatchFleet::batchOf(2, key, true, key);
    submission.route = "r";
    submission.tokens = {tokens, tokens};
    return submission;
  }
  /// Returns the error of the submission, or `Internal` if the batch was accepted.
  ErrorCode rejectionOf(const BatchSubmission& submission) {
    const auto answer = batchFleet.submit(submission);
    batchFleet.waitFor(*answer);
    return (*answer)->has_error() ? (*answer)->error().code : ErrorCode::Internal;
  }
  bool accepts(const BatchSubmission& submission) {
    return rejectionOf(submission) == ErrorCode::Internal;
  }

  BatchFleet batchFleet;
  std::map<std::string, std::unique_ptr<QueuedTokenQuota>> quotas;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(queued_token_quota)

BOOST_AUTO_TEST_CASE(aBatchThatDoesNotFitIsRejectedAndAResendIsNot) {
  QuotaFleet fleet;
  BOOST_TEST(fleet.accepts(QuotaFleet::batch("first", 40)));
  BOOST_TEST((fleet.rejectionOf(QuotaFleet::batch("second", 11)) == ErrorCode::PoolFull));
  BOOST_TEST(fleet.accepts(QuotaFleet::batch("first", 40)));
  BOOST_TEST(fleet.accepts(QuotaFleet::batch("third", 10)));
}

BOOST_AUTO_TEST_CASE(finishedItemsFreeTheirTokens) {
  QuotaFleet fleet;
  BOOST_TEST(fleet.accepts(QuotaFleet::batch("first", 40)));
  fleet.batchFleet.harness.advance(1s);
  fleet.batchFleet.engines.answerNext();
  fleet.batchFleet.harness.advance(1s);
  BOOST_TEST(fleet.accepts(QuotaFleet::batch("second", 30)));
}

BOOST_AUTO_TEST_CASE(aCancelledBatchFreesItsTokens) {
  QuotaFleet fleet;
  BOOST_TEST(fleet.accepts(QuotaFleet::batch("first", 50)));
  BOOST_TEST(fleet.batchFleet.cancel(batchIdOfClientKey("acme", "first")).has_value());
  fleet.batchFleet.harness.advance(1s);
  BOOST_TEST(fleet.accepts(QuotaFleet::batch("second", 50)));
}

BOOST_AUTO_TEST_CASE(aNewQuotaOwnerRecoversWhatIsQueued) {
  QuotaFleet fleet;
  BOOST_TEST(fleet.accepts(QuotaFleet::batch("first", 40)));
  fleet.batchFleet.failover(false);
  BOOST_TEST((fleet.rejectionOf(QuotaFleet::batch("second", 11)) == ErrorCode::PoolFull));
  BOOST_TEST(fleet.accepts(QuotaFleet::batch("third", 10)));
  BOOST_TEST(fleet.quotas["s2"]->isReady());
}

BOOST_AUTO_TEST_CASE(withoutAQuotaOwnerTheBatchIsRejectedAndNotRun) {
  QuotaFleet fleet;
  fleet.batchFleet.harness.filter = [](const Harness::Envelope& envelope) {
    return envelope.message.service != ServiceId::WaitingTokens;
  };
  BOOST_TEST((fleet.rejectionOf(QuotaFleet::batch("first", 1)) == ErrorCode::StoreUnavailable));
  fleet.batchFleet.installFilter();
  fleet.batchFleet.harness.advance(5s);
  BOOST_TEST(fleet.batchFleet.engines.runs.empty());
}

BOOST_AUTO_TEST_CASE(aBatchAboveTheLimitIsNeverAccepted) {
  QuotaFleet fleet;
  BOOST_TEST((fleet.rejectionOf(QuotaFleet::batch("huge", 1ULL << 40U)) == ErrorCode::PoolFull));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
