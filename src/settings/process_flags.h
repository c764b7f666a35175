/// @file
/// Command-line flags of a process.
#pragma once

#include "settings/process_keys.h"

#include <memory>
#include <optional>
#include <popt.h>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Parses the flags of one kind of process with popt. Not copyable: popt keeps pointers to the
/// table and the values that this object owns.
class ProcessFlags {
 public:
  explicit ProcessFlags(ProcessKind kind);
  ~ProcessFlags();
  ProcessFlags(const ProcessFlags&) = delete;
  ProcessFlags& operator=(const ProcessFlags&) = delete;

  /// Fails with `InvalidArgument` on an unknown flag or an argument that is no flag.
  Status read(int argc, const char** argv);

  /// Stores the values of the given flags in @p settings and adds their keys to @p given. Fails
  /// with `InvalidArgument`; the detail names the flag, its value and what is allowed.
  Status apply(ProcessSettings& settings, std::set<std::string>& given) const;

  /// Path of the settings file; nullopt if none was named.
  std::optional<std::string> file() const;
  bool helpRequested() const { return help_ != 0; }
  bool versionRequested() const { return version_ != 0; }
  std::string helpText() const;

 private:
  struct ContextDeleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
  };
  std::vector<const ProcessKey*> keys_;
  std::vector<std::string> names_;
  std::vector<char*> values_;
  std::vector<poptOption> options_;
  char* file_ = nullptr;
  int help_ = 0;
  int version_ = 0;
  std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter> context_;
};

}  // namespace shedshed
