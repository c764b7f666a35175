/// @file
/// Messages between holders and owners of numbered slots, and between the stores.
///
/// Every exchange is keyed by the owner token, which the holder chooses at random and never uses
/// for a second acquisition. A request that is received twice, or after its answer was lost, has
/// the effect of one.
#pragma once

#include "kernel/message.h"
#include "kernel/node_id.h"
#include "partition/partition_store.h"
#include "slots/slot_client.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace shedshed {

/// Identifies one acquisition of one slot. 128 random bits chosen by the holder.
struct OwnerToken {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const OwnerToken& other) const { return high == other.high && low == other.low; }
  bool operator!=(const OwnerToken& other) const { return !(*this == other); }
  bool operator<(const OwnerToken& other) const {
    return high != other.high ? high < other.high : low < other.low;
  }
  MSGPACK_DEFINE(high, low);
};

/// Everything an owner must know to keep or restore one slot.
struct SlotClaim {
  std::string limiter;
  std::string key;
  OwnerToken token;
  std::uint32_t number = 0;  ///< Number held; ignored in an acquisition.
  std::int64_t timeToLiveMilliseconds = 0;
  SlotClass serviceClass = SlotClass::Live;

  PoolName pool() const { return {limiter, key}; }
  MSGPACK_DEFINE(limiter, key, token, number, timeToLiveMilliseconds, serviceClass);
};

/// Holder → owner: requests a free number.
struct AcquireSlot {
  static constexpr ServiceId kService = ServiceId::SlotOwner;
  static constexpr std::uint16_t kKind = 1;
  /// Echoed; distinguishes a rejection of this attempt from that of an older one.
  std::uint64_t attempt = 0;
  SlotClaim claim;
  std::string run;  ///< Run of the item, if it requests a share; see `ShareRequest`.
  std::int64_t dueInMilliseconds = 0;
  std::uint32_t requestedSlots = 0;
  MSGPACK_DEFINE(attempt, claim, run, dueInMilliseconds, requestedSlots);
};

/// Outcome of a request about one slot. The numeric values travel on the wire.
enum class SlotOutcome : std::uint8_t {
  Granted = 1,        ///< The token holds `number`.
  Full = 2,           ///< No number is free.
  NotOwner = 3,       ///< Retry at `ownerHint`.
  NotReady = 4,       ///< The owner waits for holders to re-assert their slots.
  Overcommitted = 5,  ///< The number went to another token and no other one is free.
  Released = 6,       ///< The token holds nothing.
};

/// Owner → holder: answer to `AcquireSlot`.
struct AcquireSlotReply {
  static constexpr ServiceId kService = ServiceId::SlotClient;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t attempt = 0;
  SlotClaim claim;  ///< As requested, with the number if the answer is `Granted`.
  SlotOutcome outcome = SlotOutcome::NotReady;
  std::uint32_t poolSize = 0;  ///< N if the answer is `Full`.
  std::uint64_t epoch = 0;     ///< Epoch of the owner that granted.
  NodeId ownerHint;
  /// With `Granted`: engine with the fewest holders of the pool; may be empty.
  std::string engine;
  bool shareAssigned = false;  ///< `share` and `free` are set.
  std::uint32_t share = 0;     ///< See `ShareAssignment`.
  std::uint32_t free = 0;
  MSGPACK_DEFINE(attempt, claim, outcome, poolSize, epoch, ownerHint, engine, shareAssigned, share,
                 free);
};

/// Holder → owner: releases one slot. Resent until answered.
struct ReleaseSlot {
  static constexpr ServiceId kService = ServiceId::SlotOwner;
  static constexpr std::uint16_t kKind = 2;
  std::string limiter;
  std::string key;
  OwnerToken token;
  MSGPACK_DEFINE(limiter, key, token);
};

/// Owner → holder: the token no longer holds a slot, or another node is the owner.
struct ReleaseSlotReply {
  static constexpr ServiceId kService = ServiceId::SlotClient;
  static constexpr std::uint16_t kKind = 2;
  OwnerToken token;
  SlotOutcome outcome = SlotOutcome::Released;
  NodeId ownerHint;
  MSGPACK_DEFINE(token, outcome, ownerHint);
};

/// Holder → owner: renews slots. A slot that the owner does not know is re-asserted.
struct RenewSlots {
  static constexpr ServiceId kService = ServiceId::SlotOwner;
  static constexpr std::uint16_t kKind = 3;
  std::vector<SlotClaim> claims;
  /// Set in an answer to `RecoveryNotice`: `claims` is all that this holder has in `partition`.
  bool complete = false;
  PartitionId partition;            ///< Only if `complete`.
  std::uint64_t epoch = 0;          ///< Only if `complete`: that of the notice.
  std::uint64_t requestNumber = 0;  ///< Echoed; identifies when the request was sent.
  MSGPACK_DEFINE(claims, complete, partition, epoch, requestNumber);
};

/// Outcome of the renewal of one slot.
struct RenewedSlot {
  OwnerToken token;
  SlotOutcome outcome = SlotOutcome::Granted;
  std::uint32_t number = 0;
  MSGPACK_DEFINE(token, outcome, number);
};

/// Owner → holder: the renewals of one partition.
struct RenewSlotsReply {
  static constexpr ServiceId kService = ServiceId::SlotClient;
  static constexpr std::uint16_t kKind = 3;
  PartitionId partition;
  std::uint64_t epoch = 0;
  std::uint64_t requestNumber = 0;
  NodeId ownerHint;
  std::vector<RenewedSlot> slots;
  MSGPACK_DEFINE(partition, epoch, requestNumber, ownerHint, slots);
};

/// Owner → all known data nodes: the memory of `partition` was lost; holders must re-assert their
/// slots.
struct RecoveryNotice {
  static constexpr ServiceId kService = ServiceId::SlotClient;
  static constexpr std::uint16_t kKind = 4;
  PartitionId partition;
  std::uint64_t epoch = 0;
  MSGPACK_DEFINE(partition, epoch);
};

/// Owner → holder: these slots have not been renewed recently. The holder renews those that it
/// holds and releases those that it does not know: they were granted to an earlier process that was
/// killed.
struct GrantedSlotsQuery {
  static constexpr ServiceId kService = ServiceId::SlotClient;
  static constexpr std::uint16_t kKind = 5;
  std::vector<SlotClaim> claims;
  MSGPACK_DEFINE(claims);
};

/// Mean time for which the slots of one pool are held.
struct PoolHoldTime {
  std::string limiter;
  std::string key;
  std::int64_t meanHoldMicroseconds = 0;
  MSGPACK_DEFINE(limiter, key, meanHoldMicroseconds);
};

/// Owner → all live stores: hold times of the pools that it owns. Lets every owner compute the
/// sum over all pools, and a successor start from the measured value.
struct HoldTimeReport {
  static constexpr ServiceId kService = ServiceId::SlotOwner;
  static constexpr std::uint16_t kKind = 4;
  std::vector<PoolHoldTime> pools;
  MSGPACK_DEFINE(pools);
};

/// Lending singleton → all live stores: the size of a model's batch pool.
struct LendingLimit {
  static constexpr ServiceId kService = ServiceId::SlotOwner;
  static constexpr std::uint16_t kKind = 5;
  std::string model;
  std::uint32_t size = 0;
  std::uint64_t epoch = 0;   ///< Limits of a lower epoch than the highest seen are ignored.
  std::uint64_t number = 0;  ///< Rises with each limit of an epoch; an older one is ignored.
  MSGPACK_DEFINE(model, size, epoch, number);
};

/// Owner → all live stores: slots in use on this store.
struct SlotUsageReport {
  static constexpr ServiceId kService = ServiceId::Lending;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t number = 0;      ///< Rises with each report of a process.
  std::uint32_t liveSlots = 0;   ///< Slots of class `Live` in tenants' and services' pools.
  std::uint32_t batchSlots = 0;  ///< Slots of class `BatchItem` held in tenants' pools.
  std::uint64_t liveGrants = 0;  ///< Grants of class `Live` since the process started.
  /// Random per process: distinguishes a restart from a report that arrived late.
  std::uint64_t incarnation = 0;
  MSGPACK_DEFINE(number, liveSlots, batchSlots, liveGrants, incarnation);
};

}  // namespace shedshed

MSGPACK_ADD_ENUM(shedshed::SlotClass);
MSGPACK_ADD_ENUM(shedshed::SlotOutcome);
