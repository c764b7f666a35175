/// @file
/// What was decided about each call, for operators.
#pragma once

#include "kernel/time.h"

#include <string>

namespace shedshed {

/// Takes notes of decisions. Thread-safe; called on the serving path, so it must be quick.
class CallJournal {
 public:
  virtual ~CallJournal() = default;

  /// Notes that @p step was taken for the call with @p requestId. @p detail never holds a body or
  /// a key.
  virtual void record(const std::string& requestId, const char* step, std::string detail) = 0;
};

/// Forgets everything.
class NullCallJournal : public CallJournal {
 public:
  void record(const std::string&, const char*, std::string) override {}

  /// The one object; it has no state.
  static NullCallJournal& instance() {
    static NullCallJournal journal;
    return journal;
  }
};

}  // namespace shedshed
