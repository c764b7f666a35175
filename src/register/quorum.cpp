#include "register/quorum.h"

#include <algorithm>

namespace shedshed {

bool isVoteOf(const RegisterSafeguards& safeguards, const MemberList::Member& member,
              const NodeId& from, const std::string& storeId) {
  return member.id == from && (member.storeId == storeId || !safeguards.storeIdCheck);
}

bool isVoteOfAny(const RegisterSafeguards& safeguards,
                 const std::vector<MemberList::Member>& voters, const NodeId& from,
                 const std::string& storeId) {
  return std::any_of(voters.begin(), voters.end(), [&](const MemberList::Member& member) {
    return isVoteOf(safeguards, member, from, storeId);
  });
}

}  // namespace shedshed
