/// @file
/// One command of `shedctl`. Each group of commands has its own file.
#pragma once

#include "ctl/command_line.h"
#include "ctl/exit_code.h"
#include "ctl/fleet_client.h"
#include "ctl/output.h"

#include <chrono>
#include <functional>
#include <istream>

namespace shedshed::ctl {

/// The inputs, outputs and clock of a command.
struct CtlContext {
  const CommandLine& line;
  FleetClient& fleet;
  Output& output;
  std::istream& input;  ///< Read when a file is named "-".
  /// Time since the program's start; tests inject a fake clock.
  std::function<std::chrono::milliseconds()> elapsed;
  std::function<void(std::chrono::milliseconds)> pause;
};

/// A command, or a group of commands with the same first argument.
class CtlCommand {
 public:
  virtual ~CtlCommand() = default;
  virtual ExitCode run(CtlContext& context) = 0;
};

/// Runs the command that the first argument names. New groups are added to `kCommandGroups`.
ExitCode runCommand(CtlContext& context);

/// Reads the file named @p name, or `CtlContext::input` if it is "-". The error names the file.
Result<std::string> readInput(CtlContext& context, const std::string& name);

}  // namespace shedshed::ctl
