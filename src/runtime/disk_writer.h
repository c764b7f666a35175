/// @file
/// Group commit: persist requests of all cores share one sync of the log.
#pragma once

#include "storage/durable_records.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace shedshed {

/// Appends and syncs on a separate thread. Reads include mutations that are still pending.
class DiskWriter : public RecordReader {
 public:
  using Completion = std::function<void(const Status&)>;

  /// @p postToCore runs a task on the core thread. Does not own @p records.
  DiskWriter(DurableRecords& records, std::function<void(std::function<void()>)> postToCore);
  ~DiskWriter() override;
  DiskWriter(const DiskWriter&) = delete;
  DiskWriter& operator=(const DiskWriter&) = delete;

  /// Queues one atomic group. @p done is called on the core thread, in the order of submission,
  /// once the group is synced or has failed.
  void submit(std::vector<Mutation> mutations, Completion done);

  /// Writes the queued requests and stops the thread.
  void stop();

  Result<std::optional<std::string>> read(std::string_view key) const override;
  std::vector<std::string> keys(std::string_view prefix) const override;
  RecordSpace space() const override { return records_.space(); }

 private:
  struct Request {
    std::uint64_t sequence;
    std::vector<Mutation> mutations;
    Completion done;
  };
  struct PendingMutation {
    std::uint64_t sequence;
    std::optional<std::string> value;
  };

  void run();
  void commitRequests(std::vector<Request> requests);
  void removePending(const std::vector<Request>& requests);

  DurableRecords& records_;
  std::function<void(std::function<void()>)> postToCore_;
  mutable std::mutex mutex_;
  std::condition_variable workAvailable_;
  std::vector<Request> queue_;
  std::map<std::string, PendingMutation, std::less<>> pending_;
  std::uint64_t nextSequence_ = 1;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace shedshed
