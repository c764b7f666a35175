/// @file
/// `status`: all nodes, their versions in force, and the registers in which they are outdated.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

class StatusCommand : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;
};

}  // namespace shedshed::ctl
