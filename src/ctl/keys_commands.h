/// @file
/// `keys digest|add|withdraw`.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

/// Only digests of keys are sent to the fleet, never the keys.
class KeysCommands : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;

 private:
  static ExitCode digest(CtlContext& context);
  static ExitCode add(CtlContext& context);
  static ExitCode withdraw(CtlContext& context);
};

}  // namespace shedshed::ctl
