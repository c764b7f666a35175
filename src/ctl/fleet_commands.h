/// @file
/// `init` and `members`.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

/// Forms the fleet. If the fleet exists, as after a lost response, succeeds when its members are
/// the requested ones.
class InitCommand : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;

 private:
  /// True if the fleet has exactly the members that the command line names.
  static bool hasRequestedMembers(CtlContext& context);
};

class MembersCommand : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;
};

}  // namespace shedshed::ctl
