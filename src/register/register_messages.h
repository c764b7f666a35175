/// @file
/// Messages of the register service.
///
/// Every request carries the version of the proposer's member list. An acceptor that has accepted a
/// newer list rejects it, so proposers of a replaced list cannot complete a quorum (see
/// acceptor.h).
#pragma once

#include "kernel/message.h"
#include "kernel/node_id.h"
#include "register/applied_change_log.h"
#include "register/ballot.h"
#include "register/configuration_register.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shedshed {

/// Result in an acceptor's reply. The numeric values are part of the wire format.
enum class AcceptorVerdict : std::uint8_t {
  Granted = 1,           ///< Promised, or accepted and synced.
  BallotTooLow = 2,      ///< A higher ballot was promised.
  StaleMembers = 3,      ///< The proposer's member list has been replaced.
  ChangeLogMissing = 4,  ///< The acceptor is fetching applied changes; resend the accept.
};

/// Phase 1: requests a promise to accept nothing below `ballot`.
struct PrepareRequest {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 1;
  std::string registerName;
  Ballot ballot;
  std::uint64_t membersVersion = 0;
  Digest keyDigest;  ///< Hash of the idempotency key to look up; zero for a read.
  MSGPACK_DEFINE(registerName, ballot, membersVersion, keyDigest);
};

/// The newest state that an acceptor has accepted.
struct AcceptedState {
  Ballot ballot;
  std::uint64_t version = 0;
  std::string value;
  Digest baseChain;     ///< Chain of the change log before the entry of `version`.
  AppliedChange entry;  ///< Entry of the change log of `version`; unused in version 0.
  MSGPACK_DEFINE(ballot, version, value, baseChain, entry);
};

/// Reply to `PrepareRequest`. The state is filled only if granted.
struct PrepareReply {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 2;
  std::string registerName;
  Ballot ballot;  ///< As requested.
  AcceptorVerdict verdict = AcceptorVerdict::Granted;
  std::string storeId;
  Ballot promised;
  std::uint64_t membersVersion = 0;
  AcceptedState accepted;
  /// Version that the change produced; 0 if it is not in the log.
  std::uint64_t appliedVersion = 0;
  std::uint64_t appliedContentHash = 0;
  std::uint64_t firstLoggedVersion = 1;  ///< Oldest version in the log.
  MSGPACK_DEFINE(registerName, ballot, verdict, storeId, promised, membersVersion, accepted,
                 appliedVersion, appliedContentHash, firstLoggedVersion);
};

/// Phase 2: requests to accept a state at its ballot.
struct AcceptRequest {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 3;
  std::string registerName;
  std::uint64_t membersVersion = 0;
  AcceptedState state;
  NodeId changeLogSource;  ///< An acceptor whose log reaches the version before `state`.
  MSGPACK_DEFINE(registerName, membersVersion, state, changeLogSource);
};

/// Reply to `AcceptRequest`.
struct AcceptReply {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 4;
  std::string registerName;
  Ballot ballot;  ///< As requested.
  AcceptorVerdict verdict = AcceptorVerdict::Granted;
  std::string storeId;
  Ballot promised;
  std::uint64_t membersVersion = 0;
  MSGPACK_DEFINE(registerName, ballot, verdict, storeId, promised, membersVersion);
};

/// Requests the applied changes from `fromVersion` up to `upToVersion` from an acceptor.
struct ChangeLogRequest {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 5;
  std::string registerName;
  std::uint64_t fromVersion = 1;
  std::uint64_t upToVersion = 0;
  MSGPACK_DEFINE(registerName, fromVersion, upToVersion);
};

/// A chunk of an applied-change log; `chainBefore` is the chain before its first entry.
/// `fromVersion` is above the requested one only if the source has evicted the older entries.
struct ChangeLogChunk {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 6;
  std::string registerName;
  std::uint64_t fromVersion = 1;
  std::uint64_t firstVersion = 1;  ///< Oldest version in the log of the source.
  Digest chainBefore;
  std::vector<AppliedChange> entries;
  MSGPACK_DEFINE(registerName, fromVersion, firstVersion, chainBefore, entries);
};

/// Requests the accepted state of all registers, without a ballot; values only above the versions
/// that are known.
struct ReadRequest {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 7;
  std::uint64_t requestId = 0;
  std::uint64_t membersVersion = 0;
  std::map<std::string, std::uint64_t> known;
  MSGPACK_DEFINE(requestId, membersVersion, known);
};

/// One register in a `ReadReply`.
struct ReadRow {
  std::string registerName;
  Ballot ballot;
  std::uint64_t version = 0;
  std::string value;  ///< Empty if `version` is not above the known one.
  MSGPACK_DEFINE(registerName, ballot, version, value);
};

/// Reply to `ReadRequest`.
struct ReadReply {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 8;
  std::uint64_t requestId = 0;
  std::string storeId;
  std::uint64_t membersVersion = 0;
  std::vector<ReadRow> rows;
  MSGPACK_DEFINE(requestId, storeId, membersVersion, rows);
};

/// Requests the identity of the receiver's disk.
struct IdentityRequest {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 9;
  std::uint64_t requestId = 0;
  MSGPACK_DEFINE(requestId);
};

/// Reply to `IdentityRequest`.
struct IdentityReply {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 10;
  std::uint64_t requestId = 0;
  std::string storeId;                   ///< Empty without a disk.
  std::uint64_t membersVersion = 0;      ///< Accepted version of the member list; 0 if none.
  std::uint64_t initialMembersHash = 0;  ///< Hash of its fleet's first member list; 0 if none.
  MSGPACK_DEFINE(requestId, storeId, membersVersion, initialMembersHash);
};

/// Requests that a machine becomes an acceptor of a new fleet.
struct FormRequest {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 11;
  std::uint64_t requestId = 0;
  MemberList members;
  MSGPACK_DEFINE(requestId, members);
};

/// Reply to `FormRequest`.
struct FormReply {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 12;
  std::uint64_t requestId = 0;
  bool formed = false;  ///< False if the machine belongs to another fleet already.
  MSGPACK_DEFINE(requestId, formed);
};

/// Announces to an acceptor that a member list is committed.
struct MembersCommitted {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 13;
  std::uint64_t requestId = 0;
  RegisterValue members;
  MSGPACK_DEFINE(requestId, members);
};

/// Reply to `MembersCommitted`, sent once the list is synced.
struct MembersAcknowledged {
  static constexpr ServiceId kService = ServiceId::Register;
  static constexpr std::uint16_t kKind = 14;
  std::uint64_t requestId = 0;
  std::string storeId;
  MSGPACK_DEFINE(requestId, storeId);
};

}  // namespace shedshed

MSGPACK_ADD_ENUM(shedshed::AcceptorVerdict);
