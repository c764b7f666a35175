/// @file
/// `explain REQUEST_ID`: the decisions made for one call, with reasons.
#pragma once

#include "ctl/ctl_command.h"

namespace shedshed::ctl {

/// Queries all data nodes; each keeps a record of its most recent calls only.
class ExplainCommand : public CtlCommand {
 public:
  ExitCode run(CtlContext& context) override;
};

}  // namespace shedshed::ctl
