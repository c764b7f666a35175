#include "slots/slot_release_handler.h"

#include <optional>

namespace shedshed {

void SlotReleaseHandler::release(const NodeId& from, const ReleaseSlot& request) {
  const PoolName name{request.limiter, request.key};
  const PartitionId partition = poolPartition(name);
  OwnedPartition* owned = pools_.owned(partition);
  if (owned == nullptr) {
    const NodeId hint = environment_.store.ownerHint(partition);
    environment_.context.send(from, ReleaseSlotReply{request.token, SlotOutcome::NotOwner, hint});
    return;
  }
  const Time now = environment_.context.now();
  pools_.releasedTokens().add(request.token, now);
  SlotPool& pool = owned->pool(name);
  const std::optional<std::uint32_t> number = pool.numberOf(request.token);
  if (!number) {
    replyReleased(from, request.token);
    return;
  }
  const std::optional<Time> acquiredAt = pool.find(*number)->acquiredAt;
  if (acquiredAt) {
    sizer_.observeHoldTime(name, now - *acquiredAt);
  }
  pool.erase(*number);
  environment_.context.counters().add("slot_releases_total");
  environment_.store.write(partition, {erasedRow(name, *number)},
                           [this, from, token = request.token](Status status) {
                             if (status) {
                               replyReleased(from, token);
                             }
                           });
}

void SlotReleaseHandler::replyReleased(const NodeId& from, const OwnerToken& token) {
  environment_.context.send(from, ReleaseSlotReply{token, SlotOutcome::Released, {}});
}

}  // namespace shedshed
