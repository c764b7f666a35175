#include "runtime/disk_writer.h"

#include <algorithm>
#include <memory>

namespace shedshed {

DiskWriter::DiskWriter(DurableRecords& records,
                       std::function<void(std::function<void()>)> postToCore)
    : records_(records), postToCore_(std::move(postToCore)), thread_([this] { run(); }) {}

DiskWriter::~DiskWriter() {
  stop();
}

void DiskWriter::submit(std::vector<Mutation> mutations, Completion done) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint64_t sequence = nextSequence_++;
  for (const Mutation& mutation : mutations) {
    pending_[mutation.key] = PendingMutation{sequence, mutation.value};
  }
  queue_.push_back(Request{sequence, std::move(mutations), std::move(done)});
  workAvailable_.notify_one();
}

void DiskWriter::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    workAvailable_.notify_one();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void DiskWriter::run() {
  for (;;) {
    std::vector<Request> requests;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      workAvailable_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) {
        return;
      }
      requests.swap(queue_);
    }
    commitRequests(std::move(requests));
  }
}

void DiskWriter::commitRequests(std::vector<Request> requests) {
  std::vector<Status> statuses;
  statuses.reserve(requests.size());
  for (const Request& request : requests) {
    statuses.push_back(records_.append(request.mutations));
  }
  const Status synced = records_.sync();
  removePending(requests);
  auto completions = std::make_shared<std::vector<std::pair<Completion, Status>>>();
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const Status& appended = statuses[i];
    completions->emplace_back(std::move(requests[i].done), appended ? synced : appended);
  }
  postToCore_([completions] {
    for (const auto& [done, status] : *completions) {
      done(status);
    }
  });
}

void DiskWriter::removePending(const std::vector<Request>& requests) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const Request& request : requests) {
    for (const Mutation& mutation : request.mutations) {
      const auto found = pending_.find(mutation.key);
      if (found != pending_.end() && found->second.sequence == request.sequence) {
        pending_.erase(found);
      }
    }
  }
}

Result<std::optional<std::string>> DiskWriter::read(std::string_view key) const {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = pending_.find(key);
    if (found != pending_.end()) {
      return found->second.value;
    }
  }
  return records_.read(key);
}

std::vector<std::string> DiskWriter::keys(std::string_view prefix) const {
  // The lock is held across both lookups: a key is removed from `pending_` only after it was
  // appended to the records, so none is missed.
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> found = records_.keys(prefix);
  for (auto it = pending_.lower_bound(prefix); it != pending_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) {
      break;
    }
    const auto position = std::lower_bound(found.begin(), found.end(), it->first);
    const bool present = position != found.end() && *position == it->first;
    if (it->second.value && !present) {
      found.insert(position, it->first);
    } else if (!it->second.value && present) {
      found.erase(position);
    }
  }
  return found;
}

}  // namespace shedshed
