/// @file
/// Startup shared by all processes: settings, keys, logging and the description of the node.
#pragma once

#include "kernel/fleet_key.h"
#include "membership/directory.h"
#include "settings/process_settings.h"

#include <string>

namespace shedshed {

/// Secrets read from the files that the process settings name.
struct ProcessKeys {
  FleetKey fleetKey{};
  std::string operatorKey;
};

/// Given instead of the path of a key file: the fleet has no secret. Internal messages are then
/// framed and checked for corruption with a publicly known key, and there is no operators' bearer
/// key, so nothing that requires one may be served.
inline constexpr const char* kOpenFleet = "open";

/// Reads both key files. Fails with `InvalidArgument`; the detail names the file.
Result<ProcessKeys> readProcessKeys(const ProcessSettings& settings);

/// Describes this process to the rest of the fleet.
NodeInfo describeSelf(const ProcessSettings& settings, const std::string& storeId);

/// Parses the command line and prints help or the error. Holds the settings, or the exit code with
/// which the process must end.
class ProcessStart {
 public:
  ProcessStart(int argc, char** argv, ProcessKind kind);

  /// Null when the process must end at once with `exitCode`.
  const ProcessSettings* settings() const { return usable_ ? &settings_ : nullptr; }
  const ProcessKeys& keys() const { return keys_; }
  int exitCode() const { return exitCode_; }

 private:
  ProcessSettings settings_;
  ProcessKeys keys_;
  bool usable_ = false;
  int exitCode_ = 0;
};

/// Exits after everything has been stopped, without joining threads that libraries left running.
[[noreturn]] void endProcess(int exitCode);

/// Logs @p error and ends the process at once: a node whose disk failed must not go on answering.
[[noreturn]] void failStop(const Error& error);

}  // namespace shedshed
