/// @file
/// Open-loop load generator: calls start at their planned times, however slow the responses are.
#pragma once

#include "standins/load_caller.h"
#include "standins/load_plan.h"
#include "standins/load_record.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace shedshed::standin {

/// Generates the calls of one class. Arrivals are a Poisson process with the rate of the class,
/// reproducible from the seed of the plan.
class LoadGenerator {
 public:
  using Clock = std::chrono::steady_clock;

  /// @p io and @p plan must outlive the generator. @p index is the position of the class in the
  /// plan.
  LoadGenerator(boost::asio::io_context& io, const LoadPlan& plan, std::size_t index);

  /// Schedules the arrivals; their times are offsets from @p begin.
  void start(Clock::time_point begin);

  std::string json() const { return results_.json(callerClass_.name); }

 private:
  /// Returns the next arrival after @p offsetSeconds; negative if there is none.
  double nextArrival(double offsetSeconds);
  void schedule(double offsetSeconds);
  void startCall(double offsetSeconds);
  std::string chooseTarget(std::uint32_t prefix);
  std::string makePrompt(std::uint32_t prefix);

  boost::asio::io_context& io_;
  const LoadPlan& plan_;
  const CallerClass& callerClass_;
  const std::string idPrefix_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  Clock::time_point begin_{};
  ClassResults results_;
  std::uint64_t callCount_ = 0;
};

}  // namespace shedshed::standin
