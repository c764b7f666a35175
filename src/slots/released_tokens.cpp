#include "slots/released_tokens.h"

#include <iterator>

namespace shedshed {

void ReleasedTokens::remember(const OwnerToken& token, Time now) {
  forgetAt_[token] = now + kReleasedTokenMemory;
}

void ReleasedTokens::forgetExpired(Time now) {
  for (auto it = forgetAt_.begin(); it != forgetAt_.end();) {
    it = it->second <= now ? forgetAt_.erase(it) : std::next(it);
  }
}

}  // namespace shedshed
