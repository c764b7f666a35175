#include "register/configuration_core.h"
#include "sim/invariants.h"

namespace shedshed::sim {
namespace {

/// A call may be accepted with settings that were replaced this long ago: the freshness lease and
/// the network delay of the acknowledgement.
constexpr Duration kStaleBound = kFreshnessLease + std::chrono::milliseconds(500);

}  // namespace

void SettingsLog::checkValue(const RegisterValue& value, const std::string& where) {
  if (value.version == 0) {
    return;
  }
  const auto known = values_.emplace(value.version, value.value);
  if (!known.second && known.first->second != value.value) {
    world_.violation("one value per version",
                     "version " + std::to_string(value.version) + " at " + where);
  }
  const SettingsModel* model = history_.find(value.value);
  if (model == nullptr) {
    world_.violation("every value was proposed by an operator", where);
  } else if (refused_.count(model->orderId) != 0) {
    world_.violation("a refused order never takes effect", model->orderId);
  }
}

void SettingsLog::recordAcknowledgement(std::uint64_t version, const std::string& value) {
  if (version > newestAcknowledged_) {
    newestAcknowledged_ = version;
    versions_.emplace_back(world_.now(), version);
  }
  const SettingsModel* model = history_.find(value);
  if (model != nullptr) {
    for (const std::string& key : model->withdrawnKeys) {
      withdrawnAt_.emplace(key, world_.now());
    }
  }
}

void SettingsLog::changeAnswered(const std::string& orderId, const std::string& value,
                                 const Result<ChangeOutcome>& outcome) {
  if (outcome) {
    const std::uint64_t version = outcome.value().version;
    const auto known = orders_.emplace(orderId, version);
    if (!known.second && known.first->second != version) {
      world_.violation("a resent order gets its first version", orderId);
    }
    checkValue({version, value}, "the answer to " + orderId);
    recordAcknowledgement(version, value);
    return;
  }
  const ErrorCode code = outcome.error().code;
  if (code != ErrorCode::VersionConflict && code != ErrorCode::IdempotencyKeyReused) {
    return;
  }
  if (orders_.count(orderId) != 0) {
    world_.violation("a resent order that took effect is not refused", orderId);
  }
  if (code == ErrorCode::IdempotencyKeyReused) {
    world_.violation("an order ID is not rejected as reused", orderId);
  }
  refused_.insert(orderId);
}

void SettingsLog::readAnswered(std::uint64_t newestBefore, const RegisterValue& value) {
  if (value.version < newestBefore) {
    world_.violation("the newest acknowledged version is read back",
                     std::to_string(value.version) + " < " + std::to_string(newestBefore));
  }
  checkValue(value, "a read");
}

void SettingsLog::adopted(const NodeId& node, const RegisterValue& value) {
  checkValue(value, node.address);
  std::uint64_t& newest = adopted_[node];
  if (value.version < newest) {
    world_.violation("a node never adopts an older version",
                     node.address + " adopts " + std::to_string(value.version) + " after " +
                         std::to_string(newest));
  }
  newest = std::max(newest, value.version);
}

void SettingsLog::callAccepted(const NodeId& front, const std::string& key, std::uint64_t version) {
  const auto withdrawn = withdrawnAt_.find(key);
  if (withdrawn != withdrawnAt_.end() && world_.now() - withdrawn->second > kWithdrawalBound) {
    world_.violation("a withdrawn key is rejected", key + " at " + front.address);
  }
  for (auto it = versions_.rbegin(); it != versions_.rend(); ++it) {
    if (world_.now() - it->first > kStaleBound) {
      if (version < it->second) {
        world_.violation("no call under stale settings", front.address + " uses version " +
                                                             std::to_string(version) + ", not " +
                                                             std::to_string(it->second));
      }
      return;
    }
  }
}

}  // namespace shedshed::sim
