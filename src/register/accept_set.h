/// @file
/// The acceptors that have accepted a proposer's state at one ballot.
#pragma once

#include "register/quorum.h"

#include <map>
#include <string>
#include <vector>

namespace shedshed {

/// Accept replies by acceptor, with the store id that each reported.
class AcceptSet {
 public:
  void add(const NodeId& from, const std::string& storeId) { storeIds_[from] = storeId; }
  void clear() { storeIds_.clear(); }
  bool contains(const NodeId& acceptor) const { return storeIds_.count(acceptor) != 0; }

  /// True if a majority of @p voters has accepted, each with its listed store id.
  bool isMajorityOf(const std::vector<MemberList::Member>& voters,
                    const RegisterSafeguards& safeguards) const;

 private:
  std::map<NodeId, std::string> storeIds_;
};

}  // namespace shedshed
