/// @file
/// Fetches the missing part of an applied-change log from another acceptor.
#pragma once

#include "register/applied_change_log.h"
#include "register/register_messages.h"

#include <cstdint>
#include <string>

namespace shedshed {

/// A copy of a log that is extended chunk by chunk. The acceptor's own log is unchanged until the
/// copy has the chain that an accept names, so a crash or a wrong chunk during the fetch affects no
/// durable state.
class ChangeLogFetch {
 public:
  /// Starts from a copy of @p local and fetches up to @p upToVersion.
  ChangeLogFetch(const AppliedChangeLog& local, std::uint64_t upToVersion);

  std::uint64_t upToVersion() const { return upToVersion_; }

  /// The request for the next chunk.
  ChangeLogRequest nextRequest(const std::string& registerName) const;

  /// Appends @p chunk if it continues the copy. A chunk of another history discards the copy.
  /// @return true if the next chunk is to be requested
  bool add(const ChangeLogChunk& chunk);

  const AppliedChangeLog& log() const { return log_; }

  /// The completed log, to replace @p replaced. The object must not be used afterwards.
  AppliedChangeLog takeReplacing(const AppliedChangeLog& replaced);

 private:
  const std::uint64_t upToVersion_;
  AppliedChangeLog log_;
};

}  // namespace shedshed
