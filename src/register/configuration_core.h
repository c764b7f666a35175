/// @file
/// Distribution of the register values and of the proof that they are current.
#pragma once

#include "membership/directory.h"
#include "register/configuration_messages.h"
#include "register/register_core.h"

#include <atomic>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Time for which a proof lets a node accept new calls. Bounds how long a withdrawn key works.
inline constexpr Duration kFreshnessLease = std::chrono::seconds(4);
/// Interval of a control node's quorum reads.
inline constexpr Duration kProofInterval = std::chrono::milliseconds(500);
/// Delay of the additional quorum read after this node's acceptor took part in a change.
inline constexpr Duration kProofAfterAccept = std::chrono::milliseconds(50);
/// Interval of a data node's pulls.
inline constexpr Duration kPullInterval = std::chrono::milliseconds(500);
/// Pause after a pull that brought no proof, before the first proof. Until then a node serves
/// nothing, and after the loss of all processes no node has one.
inline constexpr Duration kFirstProofInterval = std::chrono::milliseconds(100);
/// Time after which a pull is sent to the next control node.
inline constexpr Duration kPullTimeout = std::chrono::milliseconds(200);
/// Age of a proof above which a node looks for one at another control node.
inline constexpr Duration kOldProof = std::chrono::milliseconds(1500);

/// Where a node finds the configuration.
struct ConfigurationOptions {
  std::vector<NodeId> seeds;  ///< Internal addresses of other processes, asked first.
  bool isControl = false;     ///< Proves itself by quorum reads and answers pulls.
};

/// Core of `ServiceId::Configuration`.
///
/// A proof is a moment on this node's clock at which all adopted values were current. A quorum
/// read proves the moment at which it was sent. An answered pull proves the moment at which the
/// pull was sent, less the age that the answerer gives for its own proof: the answer was made
/// after the pull was sent, so the proof is at most that much older. Proofs from before this
/// process started do not count: a restarted node could otherwise adopt values older than those it
/// had before. A node that is cut off gets no proof, whatever it can still reach that is cut off
/// with it, since ages only grow.
class ConfigurationCore : public Core, public ConfigurationSource {
 public:
  /// @param directory may be null; then only the seeds and the members are asked
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
  std::map<std::string, std::uint64_t> versions() const;
  void adopt(const std::string& registerName, const RegisterValue& value);
  bool adoptPatches(const NamedPatches& named);
  void recordProof(Time moment);
  bool hasProof() const;
  void proveByQuorum();
  void tick();
  bool neverProved() const { return provedAt_ == Time::min(); }
  std::vector<NodeId> sources() const;
  void chooseNextSource();
  void pull();
  void replyToPull(const NodeId& from, const PullRequest& request);
  void appendUpdates(const std::string& registerName, const RegisterValue& value,
                     const PullRequest& request, PullReply& answer) const;
  void onPullReply(const PullReply& answer);

  CoreContext& context_;
  Directory* const directory_;
  RegisterCore& registers_;
  const ConfigurationOptions options_;
  std::map<std::string, RegisterValue> values_;
  std::map<std::string, ValueHistory> histories_;  ///< Control nodes only.
  std::set<std::string> needsFullValue_;           ///< Registers to be pulled whole.
  std::map<std::string, std::vector<std::function<void(const RegisterValue&)>>> listeners_;
  Time startedAt_{};
  Time provedAt_ = Time::min();
  std::atomic<Duration::rep> freshUntil_;
  NodeId source_;
  std::uint64_t pullId_ = 0;
  Time pullSentAt_{};
  std::uint32_t pulls_ = 0;
  bool afterAcceptRuns_ = false;
  Time readSentAt_{};
  bool readIsOpen_ = false;
};

}  // namespace shedshed
