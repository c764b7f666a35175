/// @file
/// Patches between successive values of a register, so that a change sends the changed bytes and
/// not the complete value to every node.
#pragma once

#include "register/configuration_register.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace shedshed {

/// Turns the value of one version into that of a later one: the bytes between a common beginning
/// and a common end are replaced.
struct ValuePatch {
  std::uint64_t baseVersion = 0;
  std::uint64_t version = 0;
  std::uint64_t prefixBytes = 0;  ///< Bytes kept from the beginning of the base value.
  std::uint64_t suffixBytes = 0;  ///< Bytes kept from its end.
  std::string replacement;
  std::uint64_t resultHash = 0;  ///< XXH3 of the complete new value.
  MSGPACK_DEFINE(baseVersion, version, prefixBytes, suffixBytes, replacement, resultHash);
};

/// Returns the patch from @p base to @p next.
ValuePatch makePatch(const RegisterValue& base, const RegisterValue& next);

/// Applies @p patch. Returns nullopt if it does not apply to @p base or the result has another
/// hash; then the complete value must be requested.
std::optional<RegisterValue> applyPatch(const RegisterValue& base, const ValuePatch& patch);

/// The newest patches of one register. Each starts at the version where the one before ends.
class ValueHistory {
 public:
  /// Maximum number of retained patches; a node pulls twice a second.
  static constexpr std::size_t kMaxPatches = 64;

  /// Adds the patch from @p base to @p next.
  void add(const RegisterValue& base, const RegisterValue& next);

  /// Returns the patches that lead from @p version to the newest value, or nullopt if that version
  /// is not in the history or if they are together not smaller than @p fullValueBytes.
  std::optional<std::vector<ValuePatch>> since(std::uint64_t version,
                                               std::size_t fullValueBytes) const;

 private:
  std::deque<ValuePatch> patches_;
};

}  // namespace shedshed
