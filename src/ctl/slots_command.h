/// @file
/// `slots`: all slot pools, their sizes (N) with the reason, and the holders of the slots.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

/// Merges the responses of all stores. If two stores claim to own a pool, the response with the
/// higher epoch is used.
class SlotsCommand : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;
};

}  // namespace shedshed::ctl
