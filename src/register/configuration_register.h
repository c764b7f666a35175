/// @file
/// Interface of the compare-and-swap registers for other services.
#pragma once

#include "kernel/error.h"
#include "kernel/node_id.h"
#include "kernel/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace shedshed {

/// Register of the operators' settings tree (JSON).
inline constexpr const char* kSettingsRegister = "settings";
/// Register of the platform's engine listing (JSON).
inline constexpr const char* kEnginesRegister = "engines";
/// Register of the `RetirementList` (msgpack).
inline constexpr const char* kRetirementsRegister = "retirements";
/// Register of the `MemberList` (msgpack).
inline constexpr const char* kMembersRegister = "members";

/// Value of the members register: the acceptors and the stores. Changed by one member at a time.
struct MemberList {
  struct Member {
    NodeId id;
    std::string storeId;  ///< Identity of the disk; an emptied disk gets a new one.
    MSGPACK_DEFINE(id, storeId);
  };
  std::vector<Member> acceptors;  ///< Voters of the registers.
  std::vector<Member> stores;     ///< Holders of the partitions. Their positions never change.
  std::uint32_t replicas = 0;     ///< Stores that hold one partition; 0: all. Never changes.
  MSGPACK_DEFINE(acceptors, stores, replicas);
};

/// A register's value. Version 0 with an empty value means that it was never written.
struct RegisterValue {
  std::uint64_t version = 0;
  std::string value;
  MSGPACK_DEFINE(version, value);
};

/// One operator's change.
struct ChangeRequest {
  std::string registerName;
  std::uint64_t baseVersion = 0;  ///< The version that the change is based on.
  std::string idempotencyKey;     ///< Chosen by the operator; the same on every resend.
  std::string value;              ///< The complete new value.
  /// The operator's request body, if `value` was derived from it and from the base version (a merge
  /// patch). A resend is compared by it; if it is empty, `value` is compared.
  std::string content;
};

/// Result of a change that took effect.
struct ChangeOutcome {
  std::uint64_t version = 0;  ///< The version that this change produced.
  bool repeated = false;      ///< True if the change had taken effect before this call.
};

/// Proposes changes and reads, from any node. Core thread only.
class ConfigurationRegister {
 public:
  virtual ~ConfigurationRegister() = default;

  /// Changes a register in two quorum rounds.
  ///
  /// @p done is called once with the outcome, or with
  /// - `VersionConflict`: another change won; this one did not and will not take effect;
  /// - `IdempotencyKeyReused`: the idempotency key was used with other content; nothing changed;
  /// - `OutcomeUnknown`: no majority confirmed the outcome in time; resend with the same
  ///   idempotency key;
  /// - `NoQuorum`: nothing was sent that could take effect.
  virtual void change(ChangeRequest request, std::function<void(Result<ChangeOutcome>)> done) = 0;

  /// Reads the newest committed value with a majority. Fails with `NoQuorum`.
  virtual void read(const std::string& registerName,
                    std::function<void(Result<RegisterValue>)> done) = 0;
};

/// The register values that this node has adopted. Core thread only, except where noted.
class ConfigurationSource {
 public:
  virtual ~ConfigurationSource() = default;

  /// Calls @p listener at once with the current value, if any, and after each newer one.
  virtual void subscribe(const std::string& registerName,
                         std::function<void(const RegisterValue&)> listener) = 0;

  /// The current value; version 0 if none.
  virtual RegisterValue current(const std::string& registerName) const = 0;

  /// The time until which this node is proved to have been current. New calls are rejected after
  /// it. Any thread.
  virtual Time freshUntil() const = 0;
};

}  // namespace shedshed
