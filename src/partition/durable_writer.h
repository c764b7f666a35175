/// @file
/// Ordered persist requests that are retried until the disk accepts them.
#pragma once

#include "kernel/core.h"

#include <deque>
#include <functional>
#include <vector>

namespace shedshed {

/// Forwards persist requests to the disk and completes them strictly in order. When the disk
/// rejects one, that one and all later ones are written again in their order after
/// `kRetryInterval`: an older value never overwrites a newer one, and no request completes while an
/// earlier one is not on disk. After a crash a prefix of the requests is on disk, and no request
/// outside it was completed. Core thread only.
class DurableWriter {
 public:
  /// Time until requests that the disk rejected are written again.
  static constexpr Duration kRetryInterval = std::chrono::seconds(1);

  /// Uses timer @p retryTimer of @p context.
  DurableWriter(CoreContext& context, TimerId retryTimer);

  /// Writes @p mutations in one atomic step; calls @p done once they and all earlier ones are
  /// synced.
  void persist(std::vector<Mutation> mutations, std::function<void()> done);

  /// To be called from `Core::persisted`.
  void persisted(PersistId id, const Status& status);

  /// To be called when the retry timer has expired.
  void retry();

 private:
  struct Request {
    PersistId id;
    std::vector<Mutation> mutations;
    std::function<void()> done;
    bool synced = false;
  };
  void submit(Request& request);
  void completeSynced();

  CoreContext& context_;
  TimerId retryTimer_;
  PersistId nextId_ = 1;
  std::deque<Request> requests_;
  bool rejected_ = false;  ///< The disk rejected a request that is still not synced.
};

}  // namespace shedshed
