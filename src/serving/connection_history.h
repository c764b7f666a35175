/// @file
/// What a connection to an engine has been used for.
#pragma once

#include <cstdint>

namespace shedshed {

/// Number and exchanges of one connection. Used by one coroutine at a time, like the connection
/// that owns it.
class ConnectionHistory {
 public:
  ConnectionHistory();

  /// Identifies the connection among those of the process, for logs; from 1.
  std::uint64_t number() const { return number_; }

  /// Number of requests that were sent on the connection.
  std::uint32_t exchanges() const { return exchanges_; }

  /// A request is about to be sent.
  void recordExchange() { ++exchanges_; }

 private:
  const std::uint64_t number_;
  std::uint32_t exchanges_ = 0;
};

}  // namespace shedshed
