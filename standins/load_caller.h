/// @file
/// HTTP client of the load generator.
#pragma once

#include "standins/load_plan.h"
#include "standins/load_record.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <string>

namespace shedshed::standin {

/// Target, prompt and arrival time of one call.
struct PlannedCall {
  const CallerClass* callerClass = nullptr;
  std::string target;  ///< "ip:port".
  std::string prompt;
  std::string requestId;  ///< Sent as X-Request-Id, which engines called directly echo.
  double arrivedSeconds = 0;
};

/// Makes one call on a new connection and adds its outcome to @p results. The time to the
/// first token and the total time count from the planned arrival, so that a delayed start of the
/// call does not hide a slow response (coordinated omission).
void makeCall(boost::asio::io_context& io, boost::asio::yield_context yield,
              const PlannedCall& call, std::chrono::steady_clock::time_point arrival,
              std::chrono::steady_clock::duration timeout, ClassResults& results);

}  // namespace shedshed::standin
