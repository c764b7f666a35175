/// @file
/// Interface through which a node acquires numbered slots, and the types of a request.
#pragma once

#include "kernel/error.h"
#include "kernel/time.h"
#include "slots/share_allocator.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace shedshed {

/// Class of service of a slot's holder.
enum class SlotClass : std::uint8_t { Live = 1, BatchItem = 2 };

/// A pool: limiter name plus key. The pool's name is `concurrency:{xxh128 of both}`.
struct PoolName {
  std::string limiter;  ///< "tenant" for a tenant's pool, "batch" for a model's lending pool.
  std::string key;      ///< Tenant name, "tenant/route", or model.
};

/// One limit whose pool must grant a slot.
struct SlotLimit {
  PoolName pool;
  bool failOpen = true;  ///< Run without a slot if the store cannot be reached.
  Duration block{0};     ///< Maximum wait before a rejection; 0: none.
  Duration poll{0};      ///< Interval between attempts while blocked, with a jitter of half of it.
  Duration timeToLive{0};  ///< Slot TTL.
  /// The number is neither renewed nor released: its owner lets it expire, and so bounds how many
  /// requests start in any period. Only a request that another limit rejects releases it.
  bool untilExpiry = false;
};

/// A request for slots under all of `limits`.
struct SlotRequest {
  std::string requestId;
  SlotClass serviceClass = SlotClass::Live;
  std::vector<SlotLimit> limits;
  /// Time without an answer from the store after which the fail mode applies; 0: the default.
  Duration storeDeadline{0};
  /// Sent to the owner of the batch pool with each acquisition, if set.
  std::optional<ShareRequest> shareRequest;
  /// Called with each share that this owner assigns in a reply.
  std::function<void(const ShareAssignment&)> onShareAssigned;
};

/// Granted slots, held until `SlotClient::release`.
struct SlotGrant {
  std::uint64_t grantId = 0;  ///< Local handle for `release`.
  struct Slot {
    PoolName pool;
    std::uint32_t number = 0;
    bool withoutSlot = false;  ///< The store failed and the limit fails open.
    std::string engine;        ///< Engine that the pool's owner suggests; may be empty.
  };
  std::vector<Slot> slots;

  /// Returns the engine suggested by the first pool that suggests one; empty if none does.
  std::string suggestedEngine() const {
    for (const Slot& slot : slots) {
      if (!slot.engine.empty()) {
        return slot.engine;
      }
    }
    return {};
  }
};

/// Acquires, renews and releases slots. Core thread only. Granted slots are renewed without further
/// calls.
class SlotClient {
 public:
  virtual ~SlotClient() = default;

  /// Acquires a slot from every limit's pool, all or nothing. @p done is called once with the
  /// grant, or `PoolFull`, or `StoreUnavailable` (a limit that fails closed).
  virtual void acquire(SlotRequest request, std::function<void(Result<SlotGrant>)> done) = 0;

  /// Releases all slots of a grant. Idempotent; unknown ids are ignored.
  virtual void release(std::uint64_t grantId) = 0;
};

}  // namespace shedshed
