/// @file
/// `wait --version V`: waits until a version of a register is in force on all nodes.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

/// Waits for every node that the directory does not list as dead, including unresponsive ones.
class WaitCommand : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;
};

}  // namespace shedshed::ctl
