/// @file
/// What the stand-in callers are to send, read from JSON.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shedshed::standin {

/// How a caller picks the target of a call.
enum class TargetChoice {
  RoundRobin,  ///< One after the other.
  Random,      ///< Independently at random.
  Rendezvous,  ///< Highest random weight of the call's shared prefix.
};

/// The rate of arrivals from a time on.
struct RateStep {
  double fromSeconds = 0;
  double perSecond = 0;
};

/// Calls of one kind from one tenant.
struct CallerClass {
  std::string name;
  std::string key;  ///< Bearer key.
  std::vector<RateStep> rates;
  std::vector<std::string> targets;  ///< "ip:port" of fronts, or of engines for a baseline.
  TargetChoice choice = TargetChoice::RoundRobin;
  std::string model = "m";
  bool stream = true;
  std::uint32_t maxTokens = 16;
  std::uint32_t prefixes = 1;     ///< Number of different shared prefixes.
  std::uint32_t prefixBytes = 0;  ///< Length of each.
  std::uint32_t tailBytes = 64;   ///< Part of the prompt that no other call has.
};

/// A whole run.
struct LoadPlan {
  std::uint64_t seed = 1;
  double durationSeconds = 10;     ///< Of the arrivals.
  double callTimeoutSeconds = 60;  ///< A call is given up after this time.
  double timelineSeconds = 0.5;    ///< Width of one entry of the timeline.
  std::vector<CallerClass> classes;
};

/// Parses a plan; nullopt with a message in @p problem if it is not one.
std::optional<LoadPlan> parseLoadPlan(const std::string& json, std::string& error);

/// Rate in force at @p seconds; 0 before the first step.
double rateAt(const std::vector<RateStep>& rates, double seconds);

/// The next time after @p seconds at which the rate changes; negative if it does not.
double nextRateChange(const std::vector<RateStep>& rates, double seconds);

}  // namespace shedshed::standin
