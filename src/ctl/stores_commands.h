/// @file
/// `stores list|replace|repair`.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

/// Each command may be rerun after any failure; it resumes from the state of the fleet.
class StoresCommands : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;

 private:
  static ExitCode list(CtlContext& context);
  static ExitCode replace(CtlContext& context);
  static ExitCode repair(CtlContext& context);
};

}  // namespace shedshed::ctl
