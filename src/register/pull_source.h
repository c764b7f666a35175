/// @file
/// The control node from which a node pulls the configuration.
#pragma once

#include "kernel/core.h"
#include "membership/directory.h"
#include "register/register_core.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace shedshed {

/// Chooses among the live control nodes of the directory, or else the known acceptors, and the
/// seeds. Each node orders them by rendezvous hashing to spread the load, and periodically fails
/// back to its preferred one. Core thread only.
class PullSource {
 public:
  /// Keeps references; they must outlive it. @p directory may be null.
  PullSource(const CoreContext& context, const Directory* directory, const RegisterCore& registers,
             std::vector<NodeId> seeds)
      : context_(context), directory_(directory), registers_(registers), seeds_(std::move(seeds)) {}

  /// Returns the node for the next pull, or nullopt if none is known.
  std::optional<NodeId> choose();

  /// Selects the next node, after one that did not reply or had no recent proof.
  void advance();

 private:
  std::vector<NodeId> candidates() const;

  const CoreContext& context_;
  const Directory* const directory_;
  const RegisterCore& registers_;
  const std::vector<NodeId> seeds_;
  std::optional<NodeId> current_;
  std::uint32_t pulls_ = 0;
};

}  // namespace shedshed
