/// @file
/// Owner tokens whose slots were released recently.
#pragma once

#include "kernel/time.h"
#include "slots/slot_messages.h"

#include <map>

namespace shedshed {

/// A released token is retained this long, so that a delayed copy of its acquisition or renewal
/// does not take a slot again.
inline constexpr Duration kReleasedTokenRetention = std::chrono::seconds(30);

/// Tokens that must not take a slot again. Kept in memory only: a successor does not know them. A
/// slot that a delayed copy takes there is released by its holder when the owner queries it, or
/// expires. Core thread only.
class ReleasedTokens {
 public:
  void add(const OwnerToken& token, Time now);
  bool contains(const OwnerToken& token) const { return evictAt_.count(token) != 0; }

  /// Evicts the tokens that were released `kReleasedTokenRetention` or longer before @p now.
  void evictExpired(Time now);

 private:
  std::map<OwnerToken, Time> evictAt_;
};

}  // namespace shedshed
