/// @file
/// The promises that a proposer has received for one ballot.
#pragma once

#include "register/register_messages.h"

#include <cstddef>
#include <map>

namespace shedshed {

/// Promises by acceptor. The caller adds only promises that count as votes.
class PromiseSet {
 public:
  /// The newest accepted state among the promises.
  struct Newest {
    NodeId acceptor;  ///< The first one that holds it.
    PrepareReply promise;
    std::size_t agreeing = 0;  ///< Promises with a state of the same ballot.
  };

  void add(const NodeId& from, const PrepareReply& promise) { promises_[from] = promise; }
  void clear() { promises_.clear(); }
  bool contains(const NodeId& acceptor) const { return promises_.count(acceptor) != 0; }
  std::size_t size() const { return promises_.size(); }

  /// The state with the highest ballot. The set must not be empty.
  Newest newest() const;

 private:
  std::map<NodeId, PrepareReply> promises_;
};

}  // namespace shedshed
