/// @file
/// Ordered persist requests that are repeated until the disk takes them.
#pragma once

#include "kernel/core.h"

#include <deque>
#include <functional>
#include <vector>

namespace shedshed {

/// Passes persist requests on and reports them strictly in order. When the disk refuses one, that
/// one and all later ones are written again in their order after `kPersistRetry`, so an older value
/// never overwrites a newer one and nothing is acknowledged past a hole. Core thread only.
class DurableWriter {
 public:
  /// Uses timer @p retryTimer of @p context.
  DurableWriter(CoreContext& context, TimerId retryTimer);

  /// Writes @p mutations in one atomic step; calls @p done once they and all earlier are synced.
  void persist(std::vector<Mutation> mutations, std::function<void()> done);

  /// To be called from `Core::persisted`.
  void persisted(PersistId id, const Status& status);

  /// To be called when the retry timer has run out.
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
  bool refused_ = false;  ///< The disk refused a request and has not taken it since.
};

}  // namespace shedshed
