/// @file
/// Values that the classes of the partition service store and send.
#pragma once

#include "kernel/time.h"
#include "partition/partition_store.h"
#include "register/configuration_register.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace shedshed {

/// Position of a write in the history of one partition.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;

  bool operator==(const Version& other) const {
    return epoch == other.epoch && sequence == other.sequence;
  }
  bool operator<(const Version& other) const {
    return epoch != other.epoch ? epoch < other.epoch : sequence < other.sequence;
  }
  MSGPACK_DEFINE(epoch, sequence);
};

/// One row with its version, as stored and as sent. An erased row stays as a tombstone.
struct VersionedRow {
  std::string key;
  Version version;
  bool erased = false;
  std::string value;
  MSGPACK_DEFINE(key, version, erased, value);
};

using StoreMembers = std::vector<MemberList::Member>;

}  // namespace shedshed
