/// @file
/// One call of a stand-in caller.
#pragma once

#include "standins/load_plan.h"
#include "standins/load_record.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <string>

namespace shedshed::standin {

/// A call that is about to be made.
struct PlannedCall {
  const CallerClass* callerClass = nullptr;
  std::string target;  ///< "ip:port".
  std::string prompt;
  std::string requestId;  ///< Sent along for engines that are called directly.
  double arrivedSeconds = 0;
};

/// Makes one call on a connection of its own, and adds what it saw to @p record. The time to the
/// first token counts from the planned arrival, so that a late caller does not hide a slow answer.
void makeCall(boost::asio::io_context& io, boost::asio::yield_context yield,
              const PlannedCall& call, std::chrono::steady_clock::time_point arrival,
              std::chrono::steady_clock::duration timeout, ClassResults& results);

}  // namespace shedshed::standin
