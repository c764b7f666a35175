#include "standins/load_generator.h"

#include <boost/asio/spawn.hpp>
#include <xxhash.h>

namespace shedshed::standin {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kCoroutineStackBytes = 128U << 10U;
/// Length of the hexadecimal words that make up a prompt.
constexpr std::size_t kWordDigits = 8;

LoadGenerator::Clock::duration seconds(double value) {
  return std::chrono::duration_cast<LoadGenerator::Clock::duration>(
      std::chrono::duration<double>(value));
}

/// Returns text of @p bytes bytes that depends only on @p seed.
std::string pseudoRandomText(std::uint64_t seed, std::size_t bytes) {
  std::mt19937_64 random(seed);
  std::string text;
  while (text.size() < bytes) {
    char word[kWordDigits + 2];
    std::snprintf(word, sizeof(word), "%08x ", static_cast<unsigned>(random() & 0xffffffffU));
    text += word;
  }
  text.resize(bytes);
  return text;
}

}  // namespace

LoadGenerator::LoadGenerator(asio::io_context& io, const LoadPlan& plan, std::size_t index)
    : io_(io), plan_(plan), callerClass_(plan.classes[index]),
      idPrefix_("load-" + std::to_string(plan.seed) + "-" + std::to_string(index) + "-"),
      random_(plan.seed * 1000003 + index), timer_(io), results_(plan.timelineSeconds) {}

void LoadGenerator::start(Clock::time_point begin) {
  begin_ = begin;
  schedule(nextArrival(0));
}

double LoadGenerator::nextArrival(double offsetSeconds) {
  while (offsetSeconds < plan_.durationSeconds) {
    const double rate = rateAt(callerClass_.rates, offsetSeconds);
    const double change = nextRateChange(callerClass_.rates, offsetSeconds);
    // A Poisson process is memoryless, so the waiting time may be redrawn when the rate changes.
    if (rate > 0) {
      const double arrival = offsetSeconds + std::exponential_distribution<double>(rate)(random_);
      if (change < 0 || arrival < change) {
        return arrival < plan_.durationSeconds ? arrival : -1;
      }
    }
    if (change < 0) {
      return -1;
    }
    offsetSeconds = change;
  }
  return -1;
}

void LoadGenerator::schedule(double offsetSeconds) {
  if (offsetSeconds < 0) {
    return;
  }
  timer_.expires_at(begin_ + seconds(offsetSeconds));
  timer_.async_wait([this, offsetSeconds](const boost::system::error_code& error) {
    if (!error) {
      startCall(offsetSeconds);
      schedule(nextArrival(offsetSeconds));
    }
  });
}

void LoadGenerator::startCall(double offsetSeconds) {
  const auto prefix = static_cast<std::uint32_t>(random_() % callerClass_.prefixes);
  auto call = std::make_shared<PlannedCall>();
  call->callerClass = &callerClass_;
  call->target = chooseTarget(prefix);
  call->prompt = makePrompt(prefix);
  call->requestId = idPrefix_ + std::to_string(callCount_++);
  call->arrivedSeconds = offsetSeconds;
  asio::spawn(
      io_,
      [this, call](asio::yield_context yield) {
        const Clock::time_point arrival = begin_ + seconds(call->arrivedSeconds);
        makeCall(io_, yield, *call, arrival, seconds(plan_.callTimeoutSeconds), results_);
      },
      boost::coroutines::attributes(kCoroutineStackBytes));
}

std::string LoadGenerator::chooseTarget(std::uint32_t prefix) {
  const std::vector<std::string>& targets = callerClass_.targets;
  if (callerClass_.choice == TargetChoice::Random) {
    return targets[random_() % targets.size()];
  }
  if (callerClass_.choice == TargetChoice::RoundRobin) {
    return targets[callCount_ % targets.size()];
  }
  std::size_t best = 0;
  std::uint64_t bestWeight = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const std::uint64_t weight = XXH3_64bits_withSeed(targets[i].data(), targets[i].size(), prefix);
    if (weight >= bestWeight) {
      best = i;
      bestWeight = weight;
    }
  }
  return targets[best];
}

std::string LoadGenerator::makePrompt(std::uint32_t prefix) {
  const std::uint64_t prefixSeed =
      XXH3_64bits_withSeed(callerClass_.name.data(), callerClass_.name.size(), plan_.seed + prefix);
  return pseudoRandomText(prefixSeed, callerClass_.prefixBytes) +
         pseudoRandomText(random_(), callerClass_.tailBytes);
}

}  // namespace shedshed::standin
