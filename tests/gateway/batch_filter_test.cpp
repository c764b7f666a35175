/// Tests of what a submission hands to the batch client.
#include "gateway/batch_filter.h"

#include "gateway_fakes.h"
#include "kernel/message.h"
#include "serving/serving_threads.h"

#include <boost/asio/spawn.hpp>
#include <boost/test/unit_test.hpp>

namespace shedshed::test {
namespace {

/// Accepts every batch and keeps the submissions.
class AcceptingBatches : public NoBatches {
 public:
  void submit(BatchSubmission submission, StatusDone done) override {
    submissions.push_back(std::move(submission));
    done(BatchStatus{});
  }
  std::vector<BatchSubmission> submissions;
};

/// Every submission has the same items.
class FixedItems : public BatchDialect {
 public:
  Result<std::optional<BatchCall>> parseCall(std::string_view, std::string_view) const override {
    return std::optional<BatchCall>();
  }
  Result<std::vector<BatchItemCall>> parseItems(const std::string&) const override { return items; }
  std::string formatResults(const ResultPage&, std::uint64_t, std::size_t) const override {
    return {};
  }
  std::vector<BatchItemCall> items;
};

struct BatchFilterFixture {
  BatchFilterFixture() {
    BatchItemCall item;
    item.name = "item-1";
    item.target = "/b/1";
    dialect.items = {item};
    publish("first");
  }

  /// Publishes settings in which the batch route leads to @p service.
  void publish(const std::string& service) {
    const std::string json = R"({"services":{"first":{},"second":{}},"routes":{"r":{"host":"h",)"
                             R"("path_prefix":"/b/","kind":"batch","timeout_ms":5000,"service":")" +
                             service + R"("}}})";
    auto tree = SettingsTree::parse(json);
    BOOST_REQUIRE_MESSAGE(tree, "the settings were rejected");
    settings = std::make_shared<SettingsTree>(std::move(tree.value()));
  }

  Result<GatewayStep> submit() {
    loop.restart();
    std::optional<Result<GatewayStep>> step;
    const ServingStrand strand(loop.get_executor());
    boost::asio::spawn(strand, [&](boost::asio::yield_context yield) {
      NoStream sink;
      GatewayCall call(strand, sink);
      call.settings = settings;
      call.call.method = "POST";
      call.call.target = "/b/batch-1";
      call.call.host = "h";
      call.call.requestId = "batch-1";
      step.emplace(filter.apply(call, yield));
    });
    while (!step && loop.run_one_for(std::chrono::seconds(20)) > 0) {
    }
    BOOST_REQUIRE(step.has_value());
    return std::move(*step);
  }

  ServingIoContext loop;
  HeaderNames names;
  FixedEngines table;
  SteadyExecutor executor;
  NoCounters counters;
  RandomEngine random{3};
  CostLoadBalancer loadBalancer{"", random};
  Forwarder forwarder{loop, executor, table, loadBalancer, counters, names};
  std::shared_ptr<const SettingsTree> settings;
  Snapshot<SettingsTree> snapshot{nullptr};
  FakeConfiguration configuration;
  NoDirectory directory;
  NoSlots slots;
  AcceptingBatches batches;
  GatewayServices services{loop,  executor, snapshot,  configuration, directory, table,
                           slots, batches,  forwarder, counters,      names,     Time{}};
  FixedItems dialect;
  BatchFilter filter{services, dialect};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(batch_filter)

// Regression: the items named the service of their route, so that the same batch sent again after a
// change of the route had another content and was refused with 409.
BOOST_AUTO_TEST_CASE(a_batch_that_is_sent_again_after_its_route_moved_is_refused) {
  BatchFilterFixture fixture;
  BOOST_REQUIRE(fixture.submit().has_value());
  fixture.publish("second");
  BOOST_REQUIRE(fixture.submit().has_value());
  BOOST_REQUIRE(fixture.batches.submissions.size() == 2U);
  BOOST_TEST(fixture.batches.submissions[0].items == fixture.batches.submissions[1].items);
}

// Regression: a batch that was sent again with another of the tenant's keys in the headers of its
// items had another content, and the keys were stored.
BOOST_AUTO_TEST_CASE(the_keys_in_items_are_neither_stored_nor_part_of_their_content) {
  BatchFilterFixture fixture;
  for (const char* key : {"Bearer key-1", "Bearer key-2"}) {
    fixture.dialect.items.front().headers = {{"Authorization", key}};
    BOOST_REQUIRE(fixture.submit().has_value());
  }
  const std::vector<std::string>& stored = fixture.batches.submissions[0].items;
  BOOST_TEST(stored == fixture.batches.submissions[1].items);
  BOOST_TEST(stored.front().find("key-1") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_batch_with_a_line_break_in_an_item_is_refused_whole) {
  BatchFilterFixture fixture;
  fixture.dialect.items.push_back(fixture.dialect.items.front());
  fixture.dialect.items.back().headers = {{"X-A", "1\r\nX-Tenant: mallory"}};
  const auto step = fixture.submit();
  BOOST_REQUIRE(step.has_error());
  BOOST_TEST((step.error().code == ErrorCode::InvalidArgument));
  BOOST_TEST(fixture.batches.submissions.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
