/// @file
/// Messages of the configuration service.
///
/// While no value changes, pulls and their replies take 66 bytes of payload per second and data
/// node at `kPullInterval` (tests/register/configuration_core_test.cpp, where only the members
/// register was written), excluding the framing of the internal protocol and TCP.
#pragma once

#include "kernel/message.h"
#include "register/quorum_reader.h"
#include "register/value_history.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shedshed {

/// Requests the values newer than these versions from a control node.
struct PullRequest {
  static constexpr ServiceId kService = ServiceId::Configuration;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t requestId = 0;
  std::map<std::string, std::uint64_t> versions;
  /// False on releases without patches: such a node would record the proof without the value.
  bool acceptsPatches = false;
  MSGPACK_DEFINE(requestId, versions, acceptsPatches);
};

/// Patches of one register, in the order of their versions.
struct NamedPatches {
  std::string registerName;
  std::vector<ValuePatch> patches;
  MSGPACK_DEFINE(registerName, patches);
};

/// Reply to `PullRequest`. A register appears in at most one of `values` and `patches`.
struct PullReply {
  static constexpr ServiceId kService = ServiceId::Configuration;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t requestId = 0;
  bool proved = false;                ///< False if the sender has no unexpired proof.
  std::uint64_t ageMilliseconds = 0;  ///< Age of the proof, rounded up; never a clock reading.
  std::vector<NamedValue> values;
  std::vector<NamedPatches> patches;
  MSGPACK_DEFINE(requestId, proved, ageMilliseconds, values, patches);
};

}  // namespace shedshed
