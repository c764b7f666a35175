/// @file
/// Spreads the holders of one pool's slots evenly over the engines.
#pragma once

#include "engines/engine_table.h"
#include "slots/slot_client.h"

#include <cstdint>
#include <map>
#include <string>

namespace shedshed {

/// Counts, per engine, the slots of one pool whose holders it was suggested to. All holders of a
/// pool acquire their slots from one owner, so the owner sees the total load, which no single
/// holder does.
class EnginePlacement {
 public:
  /// Returns the ready engine with the fewest holders relative to its `maxRunning`. An engine in
  /// @p zone is preferred to an equally loaded one in another zone; @p random breaks ties. Empty if
  /// @p table has no ready engine for @p pool, and for tenants' pools.
  std::string suggest(const EngineTable& table, const PoolName& pool, const std::string& zone,
                      std::uint64_t random) const;

  void addHolder(const std::string& engine);
  void removeHolder(const std::string& engine);

 private:
  std::map<std::string, std::uint32_t> holders_;  ///< By engine id; no entry has a count of 0.
};

}  // namespace shedshed
