// The files of a log that version 30f478f wrote, four turns around its segments: this version reads
// every record back and goes on writing.
#include "storage/log_structured_store.h"
#include "storage/posix_file_system.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <map>

using namespace shedshed;

namespace {

constexpr const char* kStoreId = "c11f6531eb66d9a7f30567547a34c162";
constexpr int kSteps = 1500;
constexpr int kKeys = 40;

/// A copy of the stored files, since opening a log may write to them.
class StoredLog {
 public:
  StoredLog() {
    std::string pattern = (std::filesystem::temp_directory_path() / "stored-log-XXXXXX").string();
    BOOST_REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
    std::filesystem::copy(SHEDSHED_SOURCE_DIR "/tests/compatibility/stored_log", folder_);
  }
  ~StoredLog() { std::filesystem::remove_all(folder_); }
  StoredLog(const StoredLog&) = delete;
  StoredLog& operator=(const StoredLog&) = delete;

  std::unique_ptr<LogStructuredStore> open() {
    LogStoreOptions options;
    options.segmentBytes = 16 * 1024;
    options.segmentCount = 4;
    auto opened = LogStructuredStore::open(files_, folder_, options, random_);
    BOOST_REQUIRE(opened.has_value());
    return std::move(opened).value();
  }

 private:
  PosixFileSystem files_;
  RandomEngine random_{1};
  std::string folder_;
};

std::string keyOf(int number) {
  return "key/" + std::to_string(number % kKeys);
}

/// What the writer of the files had acknowledged at its end.
std::map<std::string, std::string> expectedRecords() {
  constexpr int kStepsBetweenErasures = 9;
  std::map<std::string, std::string> records;
  for (int step = 0; step < kSteps; ++step) {
    records[keyOf(step)] = "value of step " + std::to_string(step) + std::string(step % 60, '.');
    if (step % kStepsBetweenErasures == 0) {
      records.erase(keyOf(step + 20));
    }
  }
  return records;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_log_of_the_version_before_reads_back_every_record) {
  StoredLog stored;
  const auto store = stored.open();
  BOOST_TEST(store->storeId() == kStoreId);
  const auto expected = expectedRecords();
  BOOST_TEST(store->keys("").size() == expected.size());
  for (const auto& record : expected) {
    const auto value = store->read(record.first);
    BOOST_REQUIRE(static_cast<bool>(value));
    BOOST_TEST(value.value().value_or("erased") == record.second);
  }
}

BOOST_AUTO_TEST_CASE(a_log_of_the_version_before_takes_further_records) {
  StoredLog stored;
  {
    const auto store = stored.open();
    BOOST_REQUIRE(static_cast<bool>(store->append({{"key/new", "value"}})));
    BOOST_REQUIRE(static_cast<bool>(store->sync()));
  }
  const auto reopened = stored.open();
  BOOST_TEST(reopened->read("key/new").value().value_or("erased") == "value");
  BOOST_TEST(reopened->keys("").size() == expectedRecords().size() + 1);
}
