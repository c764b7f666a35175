/// @file
/// Records the decisions taken for each call, so that operators can look them up.
#pragma once

#include "kernel/time.h"

#include <string>

namespace shedshed {

/// Receives the decisions of the serving path. Implementations must be thread-safe and fast: they
/// run within each call.
class CallJournal {
 public:
  virtual ~CallJournal() = default;

  /// Records @p step of the call @p requestId. @p detail must not contain a body or an API key.
  virtual void record(const std::string& requestId, const char* step, std::string detail) = 0;
};

/// Discards all records.
class NullCallJournal : public CallJournal {
 public:
  void record(const std::string&, const char*, std::string) override {}

  /// Returns the shared instance, which is stateless.
  static NullCallJournal& instance() {
    static NullCallJournal journal;
    return journal;
  }
};

}  // namespace shedshed
