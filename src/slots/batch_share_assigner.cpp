#include "slots/batch_share_assigner.h"

namespace shedshed {

void BatchShareAssigner::addShare(const AcquireSlot& request, AcquireSlotReply& reply) {
  const PoolName name = request.claim.pool();
  OwnedPartition* owned = pools_.owned(poolPartition(name));
  if (request.run.empty() || name.limiter != kBatchLimiter || owned == nullptr) {
    return;
  }
  const ShareRequest share{request.run, std::chrono::milliseconds(request.dueInMilliseconds),
                           request.requestedSlots};
  const std::uint32_t poolSize = capacity_.size(name);
  const auto granted = static_cast<std::uint32_t>(owned->pool(name).slots().size());
  reply.shareAssigned = true;
  reply.share = allocators_[name.key].allocate(share, poolSize, sizer_.holdTime(name),
                                               environment_.context.now());
  reply.free = poolSize > granted ? poolSize - granted : 0;
}

}  // namespace shedshed
