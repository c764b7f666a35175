/// @file
/// Chain of responsibility: each filter answers a call, rejects it or passes it on.
#pragma once

#include "kernel/error.h"
#include "serving/call_context.h"

#include <boost/asio/spawn.hpp>
#include <memory>
#include <vector>

namespace shedshed {

/// How the chain proceeds after a filter.
enum class FilterStep {
  Continue,  ///< Apply the next filter.
  Answered,  ///< `CallContext::answer` or the event sink has the complete answer.
};

/// An error ends the chain and is sent to the caller as the answer.
using FilterStatus = Result<FilterStep>;

/// One step of the chain. Shared by all calls, so it must keep no per-call state.
class CallFilter {
 public:
  virtual ~CallFilter() = default;
  virtual FilterStatus apply(CallContext& call, boost::asio::yield_context yield) = 0;
};

/// An ordered list of filters.
class FilterChain {
 public:
  void add(std::unique_ptr<CallFilter> filter) { filters_.push_back(std::move(filter)); }

  /// Applies the filters until one answers or fails. Fails with `NotFound` if none does.
  FilterStatus apply(CallContext& call, boost::asio::yield_context yield) const {
    for (const auto& filter : filters_) {
      FilterStatus status = filter->apply(call, yield);
      if (!status || status.value() == FilterStep::Answered) {
        return status;
      }
    }
    return makeError(ErrorCode::NotFound, "no such endpoint");
  }

 private:
  std::vector<std::unique_ptr<CallFilter>> filters_;
};

}  // namespace shedshed
