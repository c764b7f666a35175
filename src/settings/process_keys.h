/// @file
/// Table of the keys of a process's settings file; each key is also a command-line flag.
#pragma once

#include "settings/process_settings.h"
#include "settings/process_values.h"

#include <string>
#include <vector>

namespace shedshed {

/// One key of the file and its flag.
struct ProcessKey {
  const char* name;  ///< Key in the file; the flag has '-' in place of '_'.
  bool forData;
  bool forControl;
  bool required;
  const char* allowed;  ///< What is allowed, for errors and the help text.
  ProcessValueParser parse;

  bool appliesTo(ProcessKind kind) const {
    return kind == ProcessKind::Data ? forData : forControl;
  }
  std::string flag() const;
};

/// All keys, in the order of docs/API.md.
const std::vector<ProcessKey>& processKeys();

/// Returns the key that a process of @p kind knows under @p name, or nullptr.
const ProcessKey* findProcessKey(const std::string& name, ProcessKind kind);

/// Returns the names of the keys of @p kind, separated by commas.
std::string processKeyNames(ProcessKind kind);

}  // namespace shedshed
