/// @file
/// Load plan of the load generator and its JSON parser.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shedshed::standin {

/// Load-balancing policy that selects the target of a call.
enum class TargetChoice {
  RoundRobin,  ///< Targets in turn.
  Random,      ///< Uniformly at random.
  Rendezvous,  ///< Rendezvous hashing by the call's shared prefix.
};

/// Arrival rate in force from `fromSeconds` on.
struct RateStep {
  double fromSeconds = 0;
  double perSecond = 0;
};

/// Calls of one tenant with the same parameters.
struct CallerClass {
  std::string name;
  std::string key;  ///< API key, sent as bearer token.
  std::vector<RateStep> rates;
  std::vector<std::string> targets;  ///< "ip:port" of data nodes, or of engines for a baseline run.
  TargetChoice choice = TargetChoice::RoundRobin;
  std::string model = "m";
  bool stream = true;
  std::uint32_t maxTokens = 16;
  std::uint32_t prefixes = 1;     ///< Number of distinct shared prompt prefixes.
  std::uint32_t prefixBytes = 0;  ///< Length of each shared prefix.
  std::uint32_t tailBytes = 64;   ///< Length of the unique rest of each prompt.
};

/// Parameters of one load run.
struct LoadPlan {
  std::uint64_t seed = 1;
  double durationSeconds = 10;     ///< Period in which calls arrive.
  double callTimeoutSeconds = 60;  ///< Calls are abandoned this long after their planned arrival.
  double timelineSeconds = 0.5;    ///< Interval covered by one timeline entry.
  std::vector<CallerClass> classes;
};

/// Parses a plan. Returns nullopt and sets @p error if it is invalid.
std::optional<LoadPlan> parseLoadPlan(const std::string& json, std::string& error);

/// Returns the rate in force at @p seconds; 0 before the first step.
double rateAt(const std::vector<RateStep>& rates, double seconds);

/// Returns the first time after @p seconds at which the rate changes; negative if there is none.
double nextRateChange(const std::vector<RateStep>& rates, double seconds);

}  // namespace shedshed::standin
