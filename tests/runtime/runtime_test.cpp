#include "core_harness.h"
#include "runtime/disk_writer.h"
#include "runtime/metrics.h"
#include "runtime/timer_queue.h"
#include "wire/frame.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace shedshed;

namespace {

/// Records whose sync blocks until the test sets `syncAllowed`.
class BlockingSyncRecords : public DurableRecords {
 public:
  Status append(const std::vector<Mutation>& mutations) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    memory_.apply(mutations);
    return okStatus();
  }
  Status sync() override {
    syncAllowed.get_future().wait();
    return okStatus();
  }
  Result<std::optional<std::string>> read(std::string_view key) const override {
    const std::lock_guard<std::mutex> lock(mutex_);
    return memory_.read(key);
  }
  std::vector<std::string> keys(std::string_view prefix) const override {
    const std::lock_guard<std::mutex> lock(mutex_);
    return memory_.keys(prefix);
  }
  std::promise<void> syncAllowed;

 private:
  mutable std::mutex mutex_;
  test::MemoryRecords memory_;
};

FleetKey makeFleetKey(char digit) {
  return parseFleetKey(std::string(64, digit)).value();
}

Frame sampleFrame() {
  return Frame{{"127.0.0.1:1"}, {"127.0.0.1:2"}, Message{ServiceId::Partition, 7, "payload"}};
}

}  // namespace

BOOST_AUTO_TEST_CASE(frame_round_trip_and_tampering) {
  const std::string bytes = encodeFrame(makeFleetKey('a'), sampleFrame());
  const Result<Frame> frame = decodeFrame(makeFleetKey('a'), bytes);
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST(frame.value().message.payload == "payload");
  BOOST_TEST((decodeFrame(makeFleetKey('b'), bytes).error().code == ErrorCode::Unauthenticated));
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] ^= 1;
    BOOST_TEST(decodeFrame(makeFleetKey('a'), damaged).has_error());
  }
}

BOOST_AUTO_TEST_CASE(fleet_key_must_be_64_hex_digits) {
  BOOST_TEST(parseFleetKey(std::string(64, 'a') + "\n").has_value());
  BOOST_TEST(parseFleetKey(std::string(63, 'a')).has_error());
  BOOST_TEST(parseFleetKey(std::string(64, 'x')).has_error());
}

BOOST_AUTO_TEST_CASE(timers_fire_by_deadline_then_start_order) {
  TimerQueue timers;
  const Time base{};
  timers.start(ServiceId::Register, 1, base + std::chrono::seconds(2));
  timers.start(ServiceId::Partition, 1, base + std::chrono::seconds(1));
  timers.start(ServiceId::Directory, 9, base + std::chrono::seconds(1));
  timers.start(ServiceId::Register, 2, base + std::chrono::seconds(1));
  timers.stop(ServiceId::Register, 2);
  timers.start(ServiceId::Register, 1, base + std::chrono::seconds(3));
  BOOST_TEST(!timers.popDue(base).has_value());
  const Time end = base + std::chrono::seconds(3);
  BOOST_TEST((timers.popDue(end)->service == ServiceId::Partition));
  BOOST_TEST((timers.popDue(end)->service == ServiceId::Directory));
  BOOST_TEST((timers.popDue(end)->service == ServiceId::Register));
  BOOST_TEST(!timers.popDue(end).has_value());
}

BOOST_AUTO_TEST_CASE(disk_writer_reads_pending_mutations_and_completes_only_after_the_sync) {
  BlockingSyncRecords records;
  std::atomic<int> completed{0};
  std::promise<void> finished;
  DiskWriter writer(records, [&](std::function<void()> task) {
    task();
    finished.set_value();
  });
  writer.submit({{"a/1", "x"}, {"a/2", "y"}}, [&](const Status& status) {
    BOOST_TEST(status.has_value());
    ++completed;
  });
  BOOST_TEST(*writer.read("a/1").value() == "x");
  BOOST_TEST(writer.keys("a/").size() == 2U);
  BOOST_TEST(completed == 0);
  records.syncAllowed.set_value();
  finished.get_future().wait();
  BOOST_TEST(completed == 1);
  BOOST_TEST(*writer.read("a/2").value() == "y");
}

BOOST_AUTO_TEST_CASE(metrics_text_has_each_kind) {
  Metrics metrics;
  metrics.add("grants_total", 2);
  metrics.set("pools", 3);
  metrics.observe("first_token_seconds", 0.2);
  const std::string text = metrics.text();
  BOOST_TEST(text.find("shedshed_grants_total 2") != std::string::npos);
  BOOST_TEST(text.find("shedshed_pools 3") != std::string::npos);
  BOOST_TEST(text.find("shedshed_first_token_seconds_bucket") != std::string::npos);
}
