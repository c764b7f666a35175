/// @file
/// A change request judged against the committed state of its register.
#pragma once

#include "register/register_messages.h"

namespace shedshed {

/// A change request with the hashes by which the applied-change log knows it.
class ProposedChange {
 public:
  enum class Verdict {
    Proposable,  ///< Builds on the committed version.
    Applied,     ///< Has taken effect before.
    KeyReused,   ///< The idempotency key was applied with other content.
    Conflict,    ///< Builds on another version, and did not take effect.
    Unknown,     ///< Older than the log: it may or may not have taken effect.
  };

  explicit ProposedChange(ChangeRequest request);

  const Digest& keyDigest() const { return keyDigest_; }

  /// Judges the change against @p newest, whose accepted state must be committed: a verdict on an
  /// uncommitted state could be refuted by another proposer's accept.
  Verdict evaluate(const PrepareReply& newest) const;

  /// The state that this change makes of the committed state @p base at @p ballot.
  AcceptedState nextState(const AcceptedState& base, const Ballot& ballot) const;

 private:
  const ChangeRequest request_;
  const Digest keyDigest_;
  const std::uint64_t contentHash_;
};

}  // namespace shedshed
