/// @file
/// Majorities of the acceptors of a member list.
#pragma once

#include "register/configuration_register.h"
#include "register/register_options.h"

#include <cstddef>
#include <string>
#include <vector>

namespace shedshed {

/// A committed member list and its version; version 0 if none is known.
struct KnownMembers {
  std::uint64_t version = 0;
  MemberList list;
};

/// Returns the size of a majority of @p members voters.
constexpr std::size_t majorityOf(std::size_t members) {
  return members / 2 + 1;
}

/// True if a reply from @p from with @p storeId is a vote of @p member. An emptied disk has another
/// store id: it has lost its promises and must not vote for the former member.
bool isVoteOf(const RegisterSafeguards& safeguards, const MemberList::Member& member,
              const NodeId& from, const std::string& storeId);

/// True if a reply from @p from with @p storeId is a vote of one of @p voters.
bool isVoteOfAny(const RegisterSafeguards& safeguards,
                 const std::vector<MemberList::Member>& voters, const NodeId& from,
                 const std::string& storeId);

}  // namespace shedshed
