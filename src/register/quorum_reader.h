/// @file
/// Proves with one message to each acceptor that this node knows the newest value of every
/// register.
#pragma once

#include "register/operation.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace shedshed {

/// A register's name and its committed value.
struct NamedValue {
  std::string registerName;
  RegisterValue value;
  MSGPACK_DEFINE(registerName, value);
};

/// One quorum read at a time, for all registers.
///
/// A register is proved when a majority has accepted at the same ballot: that state is committed.
/// Anything committed before the read was sent is held by some member of that majority, so nothing
/// newer had been committed by then. Replies of acceptors with a newer member list do not count.
class QuorumReader {
 public:
  using Done = std::function<void(Result<std::vector<NamedValue>>)>;

  /// @param repair called with the name of a register on which acceptors disagreed in two reads
  QuorumReader(OperationHost& host, std::function<void(const std::string&)> repair)
      : host_(host), repair_(std::move(repair)) {}

  /// Starts a read and abandons the previous one. @p done is called with the values above the
  /// versions in @p known, or with `NoQuorum` if the read is abandoned.
  void start(std::map<std::string, std::uint64_t> known, Done done);

  void onReadReply(const NodeId& from, const ReadReply& reply);

 private:
  /// The row that a majority agrees on, or nullptr.
  const ReadRow* agreed(const std::string& registerName) const;
  void countDisagreements();

  OperationHost& host_;
  std::function<void(const std::string&)> repair_;
  Done done_;
  std::uint64_t requestId_ = 0;
  KnownMembers members_;
  std::map<std::string, std::uint64_t> known_;
  std::map<NodeId, ReadReply> replies_;
  std::map<std::string, int> disagreements_;  ///< Consecutive reads without agreement.
};

}  // namespace shedshed
