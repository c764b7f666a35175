#include "register/accept_set.h"

#include <algorithm>

namespace shedshed {

bool AcceptSet::isMajorityOf(const std::vector<MemberList::Member>& voters,
                             const RegisterSafeguards& safeguards) const {
  const std::size_t accepted =
      std::count_if(voters.begin(), voters.end(), [&](const MemberList::Member& member) {
        const auto found = storeIds_.find(member.id);
        return found != storeIds_.end() &&
               isVoteOf(safeguards, member, found->first, found->second);
      });
  return accepted >= majorityOf(voters.size());
}

}  // namespace shedshed
