/// @file
/// The register values in force on a node.
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

  /// @p keepsHistory true on control nodes, which answer pulls with patches
  ConfigurationValues(CoreContext& context, bool keepsHistory)
      : context_(context), keepsHistory_(keepsHistory) {}

  /// Calls @p listener at once with the value in force, if any, and after each newer one.
  void subscribe(const std::string& registerName, Listener listener);

  /// The value in force; version 0 if none.
  RegisterValue current(const std::string& registerName) const;

  /// Puts @p value in force and notifies the listeners, if it is newer.
  void adopt(const std::string& registerName, const RegisterValue& value);

  /// Applies patches to the value in force. @return false if one does not fit; then the complete
  /// value is to be pulled
  bool adoptPatches(const NamedPatches& named);

  /// The version in force of each register.
  std::map<std::string, std::uint64_t> versions() const;

  /// As `versions`, without the registers whose complete value is to be pulled.
  std::map<std::string, std::uint64_t> versionsToPull() const;

  /// Adds to @p reply what is newer than the versions in @p request.
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
