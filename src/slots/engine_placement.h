/// @file
/// Spreads the holders of one pool's slots evenly over the engines.
#pragma once

#include "engines/engine_table.h"
#include "slots/slot_client.h"

#include <cstdint>
#include <map>
#include <string>

namespace shedshed {

/// Counts for each engine the slots of one pool to whose holders it was suggested. All holders of a
/// pool request their slots of one owner, which thus knows the load that no single holder knows.
class EnginePlacement {
 public:
  /// The ready engine with the fewest holders for its size; one in @p zone is preferred to an
  /// equal one elsewhere. Empty if @p table has no ready engine of @p pool, and for pools of
  /// tenants.
  std::string suggest(const EngineTable& table, const PoolName& pool, const std::string& zone,
                      std::uint64_t random) const;

  void addHolder(const std::string& engine);
  void removeHolder(const std::string& engine);

 private:
  std::map<std::string, std::uint32_t> holders_;  ///< By engine id; none with 0.
};

}  // namespace shedshed
