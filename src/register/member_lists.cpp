#include "register/member_lists.h"

#include <algorithm>

namespace shedshed {

const MemberList::Member* findMember(const std::vector<MemberList::Member>& members,
                                     const NodeId& id) {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const MemberList::Member& member) { return member.id == id; });
  return found == members.end() ? nullptr : &*found;
}

bool isListed(const std::vector<MemberList::Member>& members, const NodeId& id) {
  return findMember(members, id) != nullptr;
}

bool isListed(const std::vector<MemberList::Member>& members, const MemberList::Member& member) {
  return std::any_of(members.begin(), members.end(), [&](const MemberList::Member& listed) {
    return listed.id == member.id && listed.storeId == member.storeId;
  });
}

}  // namespace shedshed
