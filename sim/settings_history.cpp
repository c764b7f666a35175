#include "sim/settings_history.h"

#include "settings/settings.h"

#include <sstream>

namespace shedshed::sim {
namespace {

/// Short times to live, so that slots expire within a run. The rate limits exceed the load.
constexpr const char* kFleetSettings =
    R"("live_slot_ttl_s":8,"item_slot_ttl_s":9,"requeue_delay_s":2,"per_s":6)";

/// Caches digests: hashing every key for every text would dominate the run time.
const std::string& keyDigest(const std::string& key) {
  static thread_local std::map<std::string, std::string> digests;
  std::string& digest = digests[key];
  if (digest.empty()) {
    digest = SettingsTree::digestOfKey(key);
  }
  return digest;
}

std::string keyText(const std::string& key, bool withdrawn) {
  const std::string state = withdrawn ? R"(,"withdrawn":true)" : "";
  return R"({"digest":")" + keyDigest(key) + "\"" + state + "}";
}

}  // namespace

std::string tenantName(int tenant) {
  return "tenant" + std::to_string(tenant);
}

std::string callerKey(int tenant, int index) {
  return "key-" + std::to_string(tenant) + "-" + std::to_string(index);
}

std::string SettingsModel::text() const {
  std::ostringstream text;
  text << R"({"fleet":{)" << kFleetSettings << R"(,"burst":)" << burst << R"(},"tenants":{)";
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    text << "\"" << tenantName(tenant) << R"(":{"keys":[)";
    for (int index = 0; index < kKeysPerTenant; ++index) {
      const std::string key = callerKey(tenant, index);
      text << (index == 0 ? "" : ",") << keyText(key, withdrawnKeys.count(key) != 0);
    }
    text << "]},";
  }
  text << "\"" << orderId << R"(":{}}})";
  return text.str();
}

std::string SettingsHistory::propose(const SettingsModel& model) {
  std::string text = model.text();
  models_[text] = model;
  return text;
}

const SettingsModel* SettingsHistory::find(const std::string& text) const {
  if (text.empty()) {
    return &initial_;
  }
  const auto found = models_.find(text);
  return found == models_.end() ? nullptr : &found->second;
}

}  // namespace shedshed::sim
