#include "slots/released_tokens.h"

#include <iterator>

namespace shedshed {

void ReleasedTokens::add(const OwnerToken& token, Time now) {
  evictAt_[token] = now + kReleasedTokenRetention;
}

void ReleasedTokens::evictExpired(Time now) {
  for (auto it = evictAt_.begin(); it != evictAt_.end();) {
    it = it->second <= now ? evictAt_.erase(it) : std::next(it);
  }
}

}  // namespace shedshed
