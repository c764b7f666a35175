/// @file
/// Queries to the holders of slots that have not been renewed recently.
#pragma once

#include "slots/slot_pools.h"

namespace shedshed {

/// A holder that does not answer is queried again after this time.
inline constexpr Duration kHolderCheckRetry = std::chrono::seconds(1);

/// Asks the holders of all slots of @p pools whose `checkAt` has passed whether they still hold
/// them. Without these queries, a number whose holder was killed and has restarted would stay taken
/// for its time to live. Only the holder itself can report that it holds nothing: an unresponsive
/// one may be frozen.
void queryUnresponsiveHolders(const SlotOwnerEnvironment& environment, SlotPools& pools);

}  // namespace shedshed
