/// @file
/// What a connection to an engine has been used for.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace shedshed {

/// The exchanges of one connection, and the request ids that they carried.
///
/// An engine may answer a request twice, the second time at any later moment. The id tells which
/// request an answer belongs to only while the connection carries no id more than once. Used by one
/// coroutine at a time, like the connection that owns it.
class ConnectionHistory {
 public:
  /// Exchanges after which a connection is not used again; bounds the ids that are kept.
  static constexpr std::uint32_t kMaxExchanges = 512;

  ConnectionHistory();

  /// Identifies the connection among those of the process, for logs; from 1.
  std::uint64_t number() const { return number_; }

  /// Number of requests that were sent on the connection.
  std::uint32_t exchanges() const { return exchanges_; }

  /// A request with the id @p requestId is about to be sent.
  void recordExchange(std::string_view requestId);

  /// Returns true if a request with the id @p requestId was sent before.
  bool hasCarried(std::string_view requestId) const;

  /// Returns true if the connection has carried as many requests as it may.
  bool isExhausted() const { return exchanges_ >= kMaxExchanges; }

 private:
  const std::uint64_t number_;
  std::uint32_t exchanges_ = 0;
  /// Hashes of the ids; two ids of one hash cost a connection, nothing else.
  std::vector<std::uint64_t> carriedIds_;
};

}  // namespace shedshed
