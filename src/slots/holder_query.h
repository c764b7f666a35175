/// @file
/// Queries to the holders of slots that were not renewed for a while.
#pragma once

#include "slots/slot_pools.h"

namespace shedshed {

/// A holder that does not answer is queried again after this time.
inline constexpr Duration kHolderCheckRetry = std::chrono::seconds(1);

/// Asks the holders of all slots of @p pools whose `checkAt` has passed whether they still hold
/// them. A number whose holder was killed would otherwise stay taken for its time to live, although
/// the holder has restarted. Only the holder itself can say that it holds nothing: an unresponsive
/// one may be frozen.
void queryUnresponsiveHolders(const SlotOwnerEnvironment& environment, SlotPools& pools);

}  // namespace shedshed
