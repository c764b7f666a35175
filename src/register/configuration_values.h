/// @file
/// The register values that a node has adopted.
#pragma once

#include "kernel/core.h"
#include "register/configuration_messages.h"
#include "register/configuration_register.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// The newest committed value of each register that this node knows, in memory only. Versions only
/// grow. Core thread only.
class ConfigurationValues {
 public:
  using Listener = std::function<void(const RegisterValue&)>;

  /// @p keepsHistory true on control nodes, which reply to pulls with patches
  ConfigurationValues(CoreContext& context, bool keepsHistory)
      : context_(context), keepsHistory_(keepsHistory) {}

  /// Calls @p listener at once with the current value, if any, and after each newer one.
  void subscribe(const std::string& registerName, Listener listener);

  /// The current value; version 0 if none.
  RegisterValue current(const std::string& registerName) const;

  /// Adopts @p value and notifies the listeners, if it is newer.
  void adopt(const std::string& registerName, const RegisterValue& value);

  /// Applies patches to the current value. @return false if one does not apply; then the complete
  /// value must be pulled
  bool adoptPatches(const NamedPatches& named);

  /// The current version of each register.
  std::map<std::string, std::uint64_t> versions() const;

  /// As `versions`, without the registers whose complete value must be pulled.
  std::map<std::string, std::uint64_t> versionsToPull() const;

  /// Adds the updates above the versions in @p request to @p reply.
  void appendUpdates(const PullRequest& request, PullReply& reply) const;

 private:
  void appendUpdate(const std::string& registerName, const RegisterValue& value,
                    const PullRequest& request, PullReply& reply) const;

  CoreContext& context_;
  const bool keepsHistory_;
  std::map<std::string, RegisterValue> values_;
  std::map<std::string, ValueHistory> histories_;
  std::set<std::string> needsCompleteValue_;
  std::map<std::string, std::vector<Listener>> listeners_;
};

}  // namespace shedshed
