#include "storage/fake_file_system.h"
#include "storage/log_structured_store.h"
#include "storage/posix_file_system.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <thread>
#include <unistd.h>

using namespace shedshed;

namespace {

using Table = std::map<std::string, std::string>;
using Group = std::vector<Mutation>;

LogStoreOptions smallOptions() {
  LogStoreOptions options;
  options.segmentBytes = 3 * kFirstRecordOffset;
  options.segmentCount = 4;
  options.cachedValueBytes = 64;
  return options;
}

Result<std::unique_ptr<LogStructuredStore>> openStore(FileSystem& disk, RandomEngine& random,
                                                      LogStoreOptions options = smallOptions()) {
  return LogStructuredStore::open(disk, "data", options, random);
}

Table contents(const LogStructuredStore& store) {
  Table table;
  for (const std::string& key : store.keys("")) {
    table[key] = store.read(key).value().value();
  }
  return table;
}

void applyGroup(Table& table, const Group& group) {
  for (const Mutation& mutation : group) {
    table.erase(mutation.key);
    if (mutation.value) {
      table[mutation.key] = *mutation.value;
    }
  }
}

Group randomGroup(RandomEngine& random) {
  Group group;
  for (std::size_t left = 1 + random() % 3; left > 0; --left) {
    const std::string key = "key" + std::to_string(random() % 12);
    const bool erases = random() % 4 == 0;
    const std::string value = std::to_string(random()) + std::string(random() % 700, 'v');
    group.push_back({key, erases ? std::optional<std::string>() : value});
  }
  return group;
}

/// Applies random groups to a store and tracks the states that recovery may return.
class Workload {
 public:
  Workload(FakeFileSystem& disk, std::uint64_t seed, LogStoreOptions options)
      : disk_(disk), random_(seed), options_(options) {}

  /// Appends and syncs until something fails or @p groups groups are written.
  void run(unsigned groups) {
    auto opened = openStore(disk_, random_, options_);
    if (!opened) {
      return;
    }
    for (unsigned done = 0; done < groups; ++done) {
      const Group group = randomGroup(random_);
      allowedStates_.push_back(allowedStates_.back());
      applyGroup(allowedStates_.back(), group);
      if (!opened.value()->append(group)) {
        return;
      }
      if (random_() % 3 != 0) {
        continue;
      }
      if (!opened.value()->sync()) {
        return;
      }
      allowedStates_.erase(allowedStates_.begin(), allowedStates_.end() - 1);
    }
  }

  /// Simulates a power loss; returns whether the recovered state is an allowed one.
  bool recoversAllowedState() {
    disk_.crash(random_);
    auto opened = openStore(disk_, random_, options_);
    if (!opened) {
      return false;
    }
    const Table found = contents(*opened.value());
    const bool allowed =
        std::find(allowedStates_.begin(), allowedStates_.end(), found) != allowedStates_.end();
    allowedStates_ = {found};
    return allowed;
  }

 private:
  FakeFileSystem& disk_;
  RandomEngine random_;
  LogStoreOptions options_;
  std::vector<Table> allowedStates_ = {Table()};
};

/// Cuts the power after each of the first @p operations disk operations; returns the number of runs
/// in which recovery failed, lost a synced group or returned part of a group.
unsigned countFailedRecoveries(std::uint64_t seed, std::uint64_t operations,
                               LogStoreOptions options) {
  unsigned bad = 0;
  for (std::uint64_t operation = 0; operation < operations; ++operation) {
    FakeFileSystem disk;
    Workload workload(disk, seed + operation, options);
    disk.cutPowerAfter(operation);
    workload.run(400);
    bool good = workload.recoversAllowedState();
    // A second crash, soon after the recovery or during it.
    disk.cutPowerAfter(operation % 23);
    workload.run(400);
    good = workload.recoversAllowedState() && good;
    bad += good ? 0 : 1;
  }
  return bad;
}

std::string filler(std::size_t bytes) {
  return std::string(bytes, 'x');
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_crash_after_any_disk_operation_keeps_synced_groups_and_tears_none) {
  // With seeds 82 and 141 a torn write over the remains of a discarded group made it valid again.
  std::vector<std::uint64_t> seeds = {82, 141};
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    seeds.push_back(seed);
  }
  for (const std::uint64_t seed : seeds) {
    BOOST_TEST(countFailedRecoveries(seed * 1000, 300, smallOptions()) == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(the_crash_test_finds_the_loss_when_reuse_does_not_wait_for_the_sync) {
  LogStoreOptions options = smallOptions();
  options.syncBeforeReuse = false;
  unsigned bad = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    bad += countFailedRecoveries(seed * 1000, 300, options);
  }
  BOOST_TEST(bad > 0U);
}

BOOST_AUTO_TEST_CASE(records_read_back_after_the_process_ended_also_outlive_a_power_loss) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    FakeFileSystem disk;
    RandomEngine random(seed);
    auto store = openStore(disk, random).value();
    for (unsigned done = 0; done < seed; ++done) {
      BOOST_REQUIRE(store->append(randomGroup(random)));
    }
    const Table appended = contents(*store);
    store.reset();
    disk.endProcess();
    store = openStore(disk, random).value();
    BOOST_TEST((contents(*store) == appended));
    store.reset();
    disk.crash(random);
    BOOST_TEST((contents(*openStore(disk, random).value()) == appended));
  }
}

BOOST_AUTO_TEST_CASE(hundreds_of_wraps_read_back_the_newest_and_keep_erased_keys_erased) {
  FakeFileSystem disk;
  RandomEngine random(7);
  Table expected;
  std::uint64_t wraps = 0;
  const Group kept = {{"kept", filler(500)}, {"erased", filler(500)}};
  for (unsigned restart = 0; restart < 20; ++restart) {
    auto store = openStore(disk, random).value();
    BOOST_TEST((contents(*store) == expected), "restart " << restart);
    const Group erase = {{"erased", std::nullopt}};
    for (const Group& group : {restart == 0 ? kept : Group(), erase}) {
      BOOST_REQUIRE(store->append(group));
      applyGroup(expected, group);
    }
    for (unsigned done = 0; done < 2000; ++done) {
      const Group group = randomGroup(random);
      BOOST_REQUIRE(store->append(group));
      applyGroup(expected, group);
    }
    BOOST_REQUIRE(store->sync());
    BOOST_TEST((contents(*store) == expected));
    wraps = store->usage().wraps;
    store.reset();
    disk.crash(random);
  }
  BOOST_TEST(wraps > 300U);
  BOOST_TEST(expected.count("erased") == 0U);
  BOOST_TEST(expected.at("kept") == filler(500));
}

BOOST_AUTO_TEST_CASE(any_flipped_bit_in_synced_records_is_reported_or_harmless) {
  unsigned reported = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    FakeFileSystem disk;
    RandomEngine random(seed);
    Table expected;
    {
      auto store = openStore(disk, random).value();
      for (unsigned done = 0; done < 10 + seed % 90; ++done) {
        const Group group = randomGroup(random);
        BOOST_REQUIRE(store->append(group));
        applyGroup(expected, group);
      }
      BOOST_REQUIRE(store->sync());
    }
    disk.endProcess();
    const std::string path = "data/ring-000" + std::to_string(random() % 4);
    const std::uint64_t offset =
        seed % 4 == 0 ? random() % kSegmentHeaderBytes : kFirstRecordOffset + random() % 8192;
    // A file that was never used holds its header only.
    disk.flipBit(path, offset % disk.fileBytes(path), seed % 8);
    const auto store = openStore(disk, random);
    if (!store) {
      BOOST_TEST((store.error().code == ErrorCode::StorageCorrupt), store.error().detail);
      ++reported;
    } else {
      BOOST_TEST((contents(*store.value()) == expected), "seed " << seed);
    }
  }
  BOOST_TEST(reported > 100U);
}

BOOST_AUTO_TEST_CASE(lost_files_and_damaged_headers_are_not_taken_for_a_new_store) {
  constexpr unsigned kSegmentCount = 4;
  for (unsigned groups = 0; groups < 120; ++groups) {
    for (unsigned lost = 0; lost <= kSegmentCount; ++lost) {
      FakeFileSystem disk;
      RandomEngine random(groups);
      auto before = openStore(disk, random).value();
      for (unsigned done = 0; done < groups; ++done) {
        BOOST_REQUIRE(before->append(randomGroup(random)));
      }
      BOOST_REQUIRE(before->sync());
      before.reset();
      disk.endProcess();
      for (unsigned slot = 0; slot < kSegmentCount; ++slot) {
        const std::string path = "data/ring-000" + std::to_string(slot);
        if (lost == kSegmentCount) {
          disk.flipBit(path, 20, 1);
        } else if (slot == lost) {
          BOOST_REQUIRE(disk.remove(path));
        }
      }
      const auto store = openStore(disk, random);
      BOOST_REQUIRE_MESSAGE(!store, "lost " << lost << " after " << groups);
      BOOST_TEST((store.error().code == ErrorCode::StorageCorrupt));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_large_value_damaged_while_open_is_not_returned) {
  FakeFileSystem disk;
  RandomEngine random(1);
  auto store = openStore(disk, random).value();
  BOOST_REQUIRE(store->append({{"large", filler(2000)}}));
  BOOST_TEST(store->read("large").value().value() == filler(2000));
  disk.flipBit("data/ring-0001", kFirstRecordOffset + 1000, 3);
  BOOST_TEST((store->read("large").error().code == ErrorCode::StorageCorrupt));
}

BOOST_AUTO_TEST_CASE(a_full_store_rejects_keeps_all_and_accepts_more_once_something_is_erased) {
  FakeFileSystem disk;
  RandomEngine random(3);
  Table expected;
  auto store = openStore(disk, random).value();
  Status last = okStatus();
  for (unsigned number = 0; last; ++number) {
    const Group group = {{"key" + std::to_string(number), filler(300)}};
    last = store->append(group);
    if (last) {
      applyGroup(expected, group);
    }
  }
  BOOST_TEST((last.error().code == ErrorCode::StorageFull));
  BOOST_TEST((contents(*store) == expected));
  // Overwriting existing keys remains possible, over many rotations through the files.
  for (unsigned number = 0; number < 2000; ++number) {
    const Group group = {{"key" + std::to_string(number % expected.size()), filler(300)}};
    BOOST_REQUIRE(store->append(group));
  }
  BOOST_REQUIRE(store->append({{"key0", std::nullopt}, {"key1", std::nullopt}}));
  BOOST_REQUIRE(store->append({{"new", filler(300)}}));
  BOOST_REQUIRE(store->sync());
  applyGroup(expected, {{"key0", std::nullopt}, {"key1", std::nullopt}, {"new", filler(300)}});
  store.reset();
  disk.crash(random);
  BOOST_TEST((contents(*openStore(disk, random).value()) == expected));
}

BOOST_AUTO_TEST_CASE(a_group_larger_than_a_segment_is_rejected_and_the_largest_one_fits) {
  FakeFileSystem disk;
  RandomEngine random(3);
  auto store = openStore(disk, random).value();
  const std::size_t room =
      smallOptions().segmentBytes - kFirstRecordOffset - 2 * kRecordHeaderBytes;
  const std::size_t largest = room - payloadEntryBytes(3, 0);
  BOOST_TEST((store->append({{"key", filler(largest + 1)}}).error().code == ErrorCode::TooLarge));
  for (unsigned turn = 0; turn < 20; ++turn) {
    BOOST_REQUIRE(store->append({{"key", filler(largest)}}));
  }
  BOOST_TEST(store->read("key").value().value().size() == largest);
}

BOOST_AUTO_TEST_CASE(a_failed_sync_or_write_poisons_the_store) {
  for (const bool failsSync : {true, false}) {
    FakeFileSystem disk;
    RandomEngine random(5);
    auto store = openStore(disk, random).value();
    BOOST_REQUIRE(store->append({{"before", "1"}}));
    BOOST_REQUIRE(store->sync());
    if (failsSync) {
      disk.failNextSync();
    } else {
      disk.failNextWrite();
    }
    const Status appended = store->append({{"after", "2"}});
    BOOST_TEST(bool(appended) == failsSync);
    for (unsigned attempt = 0; attempt < 2; ++attempt) {
      BOOST_TEST((store->sync().error().code == ErrorCode::StorageFailed));
      BOOST_TEST((store->append({{"later", "3"}}).error().code == ErrorCode::StorageFailed));
    }
    store.reset();
    disk.crash(random);
    BOOST_TEST((contents(*openStore(disk, random).value()) == Table{{"before", "1"}}));
  }
}

BOOST_AUTO_TEST_CASE(the_store_id_lasts_until_the_folder_is_emptied) {
  FakeFileSystem disk;
  RandomEngine random(5);
  const std::string id = openStore(disk, random).value()->storeId();
  BOOST_TEST(id.size() == kStoreIdBytes);
  disk.crash(random);
  BOOST_TEST(openStore(disk, random).value()->storeId() == id);
  disk.removeAllFiles();
  BOOST_TEST(openStore(disk, random).value()->storeId() != id);
}

BOOST_AUTO_TEST_CASE(opening_rejects_a_second_opener_other_sizes_and_a_full_disk) {
  FakeFileSystem disk;
  RandomEngine random(5);
  disk.limitBytes(smallOptions().segmentBytes);
  BOOST_TEST((openStore(disk, random).error().code == ErrorCode::StorageFull));
  disk.removeAllFiles();
  disk.limitBytes(1 << 20);
  auto store = openStore(disk, random).value();
  BOOST_TEST((openStore(disk, random).error().code == ErrorCode::AlreadyExists));
  store.reset();
  LogStoreOptions other = smallOptions();
  other.segmentCount = 5;
  BOOST_TEST((openStore(disk, random, other).error().code == ErrorCode::InvalidArgument));
}

// A release that derives the sizes of new stores from the disk must open the stores of the release
// before it.
BOOST_AUTO_TEST_CASE(a_store_keeps_the_sizes_that_it_was_created_with) {
  FakeFileSystem disk;
  RandomEngine random(7);
  LogStoreOptions larger = smallOptions();
  larger.segmentCount = 9;
  BOOST_TEST(LogStructuredStore::optionsFor(disk, "data", larger).value().segmentCount == 9U);
  BOOST_REQUIRE(openStore(disk, random).value()->append({{"key", "value"}}));
  const Result<LogStoreOptions> options = LogStructuredStore::optionsFor(disk, "data", larger);
  BOOST_TEST(options.value().segmentCount == smallOptions().segmentCount);
  const auto store = openStore(disk, random, options.value());
  BOOST_TEST(store.value()->read("key").value().value() == "value");
}

BOOST_AUTO_TEST_CASE(real_files_are_read_while_they_are_written_and_reopened) {
  const std::string root =
      (std::filesystem::temp_directory_path() / ("log_store_test_" + std::to_string(::getpid())))
          .string();
  PosixFileSystem disk;
  RandomEngine random(5);
  {
    auto store = LogStructuredStore::open(disk, root + "/a/b", smallOptions(), random).value();
    BOOST_REQUIRE(store->append({{"large", filler(900)}}));
    std::atomic<bool> done = false;
    std::atomic<unsigned> wrong = 0;
    std::thread reader([&] {
      while (!done) {
        const auto value = store->read("large");
        wrong += value && value.value() && value.value()->size() == 900 ? 0 : 1;
      }
    });
    for (unsigned number = 0; number < 3000; ++number) {
      BOOST_REQUIRE(store->append({{"other", filler(700)}}));
      if (number % 100 == 0) {
        BOOST_REQUIRE(store->sync());
      }
    }
    done = true;
    reader.join();
    BOOST_TEST(wrong == 0U);
    BOOST_TEST(store->usage().wraps > 10U);
    const auto second = LogStructuredStore::open(disk, root + "/a/b", smallOptions(), random);
    BOOST_TEST((second.error().code == ErrorCode::AlreadyExists));
  }
  const auto again = LogStructuredStore::open(disk, root + "/a/b", smallOptions(), random);
  BOOST_TEST(contents(*again.value()).size() == 2U);
  BOOST_TEST(disk.list(root + "/a/b").value().size() == 5U);
  std::filesystem::remove_all(root);
}

// Preallocating all segments when a store is created filled disks that many stores share.
BOOST_AUTO_TEST_CASE(a_store_takes_no_more_of_the_disk_than_it_needs) {
  FakeFileSystem disk;
  RandomEngine random(7);
  LogStoreOptions options = smallOptions();
  options.segmentCount = 12;
  options.segmentBytes = 64 * kFirstRecordOffset;
  auto store = LogStructuredStore::open(disk, "data", options, random);
  BOOST_REQUIRE(store);
  const auto size = [&disk] { return disk.allocatedBytes(); };
  BOOST_TEST(size() < 2 * options.segmentBytes);
  std::uint64_t written = 0;
  for (int number = 0; written < 3 * options.segmentBytes; ++number) {
    const std::string value(100, 'v');
    BOOST_REQUIRE(store.value()->append({{"key" + std::to_string(number), value}}));
    written += value.size();
  }
  BOOST_REQUIRE(store.value()->sync());
  BOOST_TEST(size() < 8 * options.segmentBytes);
  store.value().reset();
  auto again = LogStructuredStore::open(disk, "data", options, random);
  BOOST_REQUIRE(again);
  BOOST_TEST(again.value()->read("key0").value().has_value());
}

// A group that needs another segment is rejected if the disk is full; the store continues once
// there is space.
BOOST_AUTO_TEST_CASE(a_disk_without_room_for_the_next_segment_rejects_and_recovers) {
  FakeFileSystem disk;
  RandomEngine random(7);
  LogStoreOptions options = smallOptions();
  options.segmentCount = 12;
  options.segmentBytes = 64 * kFirstRecordOffset;
  auto store = LogStructuredStore::open(disk, "data", options, random);
  BOOST_REQUIRE(store);
  disk.limitBytes(disk.allocatedBytes());
  const std::string value(100, 'v');
  int number = 0;
  Status last = okStatus();
  while (last) {
    last = store.value()->append({{"key" + std::to_string(number++), value}});
  }
  BOOST_TEST((last.error().code == ErrorCode::StorageFull));
  BOOST_TEST(store.value()->sync().has_value());
  BOOST_TEST(store.value()->read("key0").value().has_value());
  disk.limitBytes(1 << 24);
  BOOST_TEST(store.value()->append({{"more", value}}).has_value());
  BOOST_TEST(store.value()->sync().has_value());
}
