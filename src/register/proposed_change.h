/// @file
/// Evaluates a change request against the committed state of its register.
#pragma once

#include "register/register_messages.h"

namespace shedshed {

/// A change request with the hashes that identify it in the applied-change log.
class ProposedChange {
 public:
  enum class Verdict {
    Proposable,  ///< Based on the committed version.
    Applied,     ///< Has already taken effect.
    KeyReused,   ///< The idempotency key was applied with other content.
    Conflict,    ///< Based on another version, and did not take effect.
    Unknown,     ///< Older than the log: it may or may not have taken effect.
  };

  explicit ProposedChange(ChangeRequest request);

  const Digest& keyDigest() const { return keyDigest_; }

  /// Evaluates the change against @p newest, whose accepted state must be committed: a verdict on
  /// an uncommitted state could be invalidated by another proposer's accept.
  Verdict evaluate(const PrepareReply& newest) const;

  /// Returns the state after this change is applied to the committed state @p base, at @p ballot.
  AcceptedState nextState(const AcceptedState& base, const Ballot& ballot) const;

 private:
  const ChangeRequest request_;
  const Digest keyDigest_;
  const std::uint64_t contentHash_;
};

}  // namespace shedshed
