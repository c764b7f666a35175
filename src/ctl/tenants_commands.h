/// @file
/// `tenants create|list`.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

class TenantsCommands : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;

 private:
  static ExitCode create(CtlContext& context);
  static ExitCode list(CtlContext& context);
};

}  // namespace shedshed::ctl
