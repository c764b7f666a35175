#include "register/configuration_values.h"

namespace shedshed {

void ConfigurationValues::subscribe(const std::string& registerName, Listener listener) {
  const auto found = values_.find(registerName);
  if (found != values_.end()) {
    listener(found->second);
  }
  listeners_[registerName].push_back(std::move(listener));
}

RegisterValue ConfigurationValues::current(const std::string& registerName) const {
  const auto found = values_.find(registerName);
  return found == values_.end() ? RegisterValue{} : found->second;
}

std::map<std::string, std::uint64_t> ConfigurationValues::versions() const {
  std::map<std::string, std::uint64_t> versions;
  for (const auto& entry : values_) {
    versions[entry.first] = entry.second.version;
  }
  return versions;
}

std::map<std::string, std::uint64_t> ConfigurationValues::versionsToPull() const {
  std::map<std::string, std::uint64_t> versions = this->versions();
  for (const std::string& registerName : needsCompleteValue_) {
    versions.erase(registerName);
  }
  return versions;
}

void ConfigurationValues::adopt(const std::string& registerName, const RegisterValue& value) {
  RegisterValue& currentValue = values_[registerName];
  if (value.version <= currentValue.version) {
    return;
  }
  if (keepsHistory_ && currentValue.version != 0) {
    histories_[registerName].add(currentValue, value);
  }
  needsCompleteValue_.erase(registerName);
  currentValue = value;
  context_.counters().add("configuration_adopted_total");
  context_.counters().set("configuration_value_bytes_" + registerName,
                          static_cast<double>(value.value.size()));
  context_.logEvent(TraceEvent("ConfigurationAdopted")
                        .field("register", registerName)
                        .field("version", value.version)
                        .field("bytes", value.value.size()));
  const std::vector<Listener> listeners = listeners_[registerName];
  for (const Listener& listener : listeners) {
    listener(value);
  }
}

bool ConfigurationValues::adoptPatches(const NamedPatches& named) {
  RegisterValue value = current(named.registerName);
  for (const ValuePatch& patch : named.patches) {
    std::optional<RegisterValue> next = applyPatch(value, patch);
    if (!next) {
      // Versions are unique, so a mismatch is a fault; pulling the complete value repairs it.
      context_.counters().add("configuration_patches_refused_total");
      needsCompleteValue_.insert(named.registerName);
      return false;
    }
    value = std::move(*next);
  }
  adopt(named.registerName, value);
  return true;
}

void ConfigurationValues::appendUpdates(const PullRequest& request, PullReply& reply) const {
  for (const auto& entry : values_) {
    appendUpdate(entry.first, entry.second, request, reply);
  }
}

void ConfigurationValues::appendUpdate(const std::string& registerName, const RegisterValue& value,
                                       const PullRequest& request, PullReply& reply) const {
  const auto known = request.versions.find(registerName);
  const std::uint64_t knownVersion = known == request.versions.end() ? 0 : known->second;
  if (knownVersion >= value.version) {
    return;
  }
  const auto history = histories_.find(registerName);
  if (request.acceptsPatches && history != histories_.end()) {
    auto patches = history->second.since(knownVersion, value.value.size());
    if (patches) {
      reply.patches.push_back({registerName, std::move(*patches)});
      return;
    }
  }
  reply.values.push_back({registerName, value});
}

}  // namespace shedshed
