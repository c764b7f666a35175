/// @file
/// Distribution of the register values and of the proof that they are current.
#pragma once

#include "membership/directory.h"
#include "register/configuration_messages.h"
#include "register/configuration_values.h"
#include "register/freshness_proof.h"
#include "register/pull_source.h"
#include "register/register_core.h"

#include <functional>
#include <string>
#include <vector>

namespace shedshed {

/// Interval of a control node's quorum reads.
inline constexpr Duration kProofInterval = std::chrono::milliseconds(500);
/// Delay of the additional quorum read after this node's acceptor took part in a change.
inline constexpr Duration kProofDelayAfterAccept = std::chrono::milliseconds(50);
/// Interval of a data node's pulls.
inline constexpr Duration kPullInterval = std::chrono::milliseconds(500);
/// Delay before the next pull if a pull returned no proof and the node never had one. Without a
/// proof a node serves no calls, and after the loss of all processes no node has one.
inline constexpr Duration kFirstProofInterval = std::chrono::milliseconds(100);
/// Time without a reply after which a pull is sent to the next control node.
inline constexpr Duration kPullTimeout = std::chrono::milliseconds(200);
/// Age of a proof above which a node pulls from another control node.
inline constexpr Duration kStaleProofAge = std::chrono::milliseconds(1500);

/// Sources of a node's configuration.
struct ConfigurationOptions {
  std::vector<NodeId> seeds;  ///< Internal addresses of other processes, asked first.
  bool isControl = false;     ///< Obtains proofs by quorum reads and replies to pulls.
};

/// Core of `ServiceId::Configuration`. Core thread only, except `freshUntil`.
///
/// A proof is a point in time on this node's clock at which all adopted values were current. A
/// quorum read proves the time at which it was sent. A reply to a pull proves the time at which the
/// pull was sent, less the reported age of the sender's own proof: the reply was made after the
/// pull was sent, so the proof is at most that much older. Proofs from before this process started
/// do not count: a restarted node could otherwise adopt values older than those it had before.
/// Nodes isolated together cannot renew each other's proofs, since ages only grow.
class ConfigurationCore : public Core, public ConfigurationSource {
 public:
  /// @param directory may be null; then it pulls from the members and the seeds only
  ConfigurationCore(CoreContext& context, Directory* directory, RegisterCore& registers,
                    ConfigurationOptions options);

  void subscribe(const std::string& registerName,
                 std::function<void(const RegisterValue&)> listener) override;
  RegisterValue current(const std::string& registerName) const override;
  Time freshUntil() const override;

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

 private:
  void proveByQuorum();
  /// Waits for a quorum read in flight, then starts another one to cover what was accepted since.
  void proveAfterAccept();
  void tick();
  void pull();
  void replyToPull(const NodeId& from, const PullRequest& request);
  void onPullReply(const PullReply& reply);

  CoreContext& context_;
  RegisterCore& registers_;
  const bool isControl_;
  ConfigurationValues values_;
  FreshnessProof proof_;
  PullSource source_;
  Time startedAt_{};
  std::uint64_t pullId_ = 0;  ///< Id of the newest pull; replies to older ones are ignored.
  Time pullSentAt_{};
  bool afterAcceptTimerActive_ = false;
  Time readSentAt_{};  ///< When the newest quorum read was sent.
  bool readInFlight_ = false;
};

}  // namespace shedshed
