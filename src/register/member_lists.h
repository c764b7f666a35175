/// @file
/// Queries on lists of members.
#pragma once

#include "register/configuration_register.h"

#include <string>
#include <vector>

namespace shedshed {

/// Returns the member of @p members at @p id, or nullptr.
const MemberList::Member* findMember(const std::vector<MemberList::Member>& members,
                                     const NodeId& id);

/// True if a member at @p id is listed, with any disk.
bool isListed(const std::vector<MemberList::Member>& members, const NodeId& id);

/// True if @p member is listed with the same disk.
bool isListed(const std::vector<MemberList::Member>& members, const MemberList::Member& member);

}  // namespace shedshed
