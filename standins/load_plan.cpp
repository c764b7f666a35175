#include "standins/load_plan.h"

#include <algorithm>
#include <cjson/cJSON.h>
#include <memory>

namespace shedshed::standin {
namespace {

using JsonPointer = std::unique_ptr<cJSON, decltype(&cJSON_Delete)>;

double numberOf(const cJSON* json, const char* name, double fallback) {
  const cJSON* item = cJSON_GetObjectItemCaseSensitive(json, name);
  return cJSON_IsNumber(item) ? item->valuedouble : fallback;
}

std::uint32_t countOf(const cJSON* json, const char* name, std::uint32_t fallback) {
  return static_cast<std::uint32_t>(std::max(0.0, numberOf(json, name, fallback)));
}

std::string textOf(const cJSON* json, const char* name, const std::string& fallback) {
  const cJSON* item = cJSON_GetObjectItemCaseSensitive(json, name);
  return cJSON_IsString(item) ? item->valuestring : fallback;
}

std::vector<RateStep> ratesOf(const cJSON* json) {
  std::vector<RateStep> rates;
  const cJSON* step = nullptr;
  cJSON_ArrayForEach(step, cJSON_GetObjectItemCaseSensitive(json, "rates")) {
    rates.push_back({numberOf(step, "from_s", 0), numberOf(step, "per_s", 0)});
  }
  const auto earlier = [](const RateStep& left, const RateStep& right) {
    return left.fromSeconds < right.fromSeconds;
  };
  std::stable_sort(rates.begin(), rates.end(), earlier);
  return rates;
}

std::vector<std::string> targetsOf(const cJSON* json) {
  std::vector<std::string> targets;
  const cJSON* target = nullptr;
  cJSON_ArrayForEach(target, cJSON_GetObjectItemCaseSensitive(json, "targets")) {
    if (cJSON_IsString(target)) {
      targets.emplace_back(target->valuestring);
    }
  }
  return targets;
}

TargetChoice choiceOf(const std::string& name) {
  if (name == "random") {
    return TargetChoice::Random;
  }
  return name == "rendezvous" ? TargetChoice::Rendezvous : TargetChoice::RoundRobin;
}

CallerClass classOf(const cJSON* json) {
  CallerClass result;
  result.name = textOf(json, "name", "");
  result.key = textOf(json, "key", "");
  result.model = textOf(json, "model", result.model);
  result.rates = ratesOf(json);
  result.targets = targetsOf(json);
  result.choice = choiceOf(textOf(json, "choice", "round_robin"));
  result.stream = !cJSON_IsFalse(cJSON_GetObjectItemCaseSensitive(json, "stream"));
  result.maxTokens = countOf(json, "max_tokens", result.maxTokens);
  result.prefixes = std::max(1U, countOf(json, "prefixes", result.prefixes));
  result.prefixBytes = countOf(json, "prefix_bytes", result.prefixBytes);
  result.tailBytes = countOf(json, "tail_bytes", result.tailBytes);
  return result;
}

}  // namespace

std::optional<LoadPlan> parseLoadPlan(const std::string& json, std::string& error) {
  const JsonPointer root(cJSON_ParseWithLength(json.data(), json.size()), &cJSON_Delete);
  if (!cJSON_IsObject(root.get())) {
    error = "the plan is not a JSON object";
    return std::nullopt;
  }
  LoadPlan plan;
  plan.seed = static_cast<std::uint64_t>(numberOf(root.get(), "seed", 1));
  plan.durationSeconds = numberOf(root.get(), "duration_s", plan.durationSeconds);
  plan.callTimeoutSeconds = numberOf(root.get(), "call_timeout_s", plan.callTimeoutSeconds);
  plan.timelineSeconds = std::max(0.1, numberOf(root.get(), "timeline_s", plan.timelineSeconds));
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, cJSON_GetObjectItemCaseSensitive(root.get(), "classes")) {
    plan.classes.push_back(classOf(item));
    if (plan.classes.back().targets.empty()) {
      error = "class \"" + plan.classes.back().name + "\" has no targets";
      return std::nullopt;
    }
  }
  if (plan.classes.empty()) {
    error = "the plan has no classes";
    return std::nullopt;
  }
  return plan;
}

double rateAt(const std::vector<RateStep>& rates, double seconds) {
  double rate = 0;
  for (const RateStep& step : rates) {
    if (step.fromSeconds <= seconds) {
      rate = step.perSecond;
    }
  }
  return rate;
}

double nextRateChange(const std::vector<RateStep>& rates, double seconds) {
  for (const RateStep& step : rates) {
    if (step.fromSeconds > seconds) {
      return step.fromSeconds;
    }
  }
  return -1;
}

}  // namespace shedshed::standin
