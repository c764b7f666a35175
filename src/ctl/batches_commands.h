/// @file
/// `batches list|show|cancel`, for the batches of all tenants.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

class BatchesCommands : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;

 private:
  static ExitCode list(CtlContext& context);
  static ExitCode show(CtlContext& context);
  static ExitCode cancel(CtlContext& context);
};

}  // namespace shedshed::ctl
