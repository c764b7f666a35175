/// @file
/// `settings get|set|patch|diff` and `engines list|put|drain|undrain`.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

class SettingsCommands : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;

 private:
  static ExitCode get(CtlContext& context);
  static ExitCode explain(CtlContext& context);
  static ExitCode set(CtlContext& context);
  static ExitCode patch(CtlContext& context);
  static ExitCode diff(CtlContext& context);
};

class EnginesCommands : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;

 private:
  static ExitCode list(CtlContext& context);
  static ExitCode put(CtlContext& context);
  static ExitCode setDraining(CtlContext& context, bool draining);
};

}  // namespace shedshed::ctl
