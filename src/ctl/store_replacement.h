/// @file
/// The steps of `stores replace`.
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/fleet_view.h"

#include <string>

namespace shedshed::ctl {

/// Replaces one store and waits for completion.
///
/// 1. The joining store runs as a non-member: the owners copy all partitions to it, but it does
///    not count towards a majority.
/// 2. Once its replicas are complete, it is requested to join: it copies the registers and changes
///    the members list.
/// 3. The owners recover their partitions with the new members. The replacement is done only
///    when each has done so: before that, a second failure could leave no majority of the former
///    members.
class StoreReplacement {
 public:
  StoreReplacement(CtlContext& context, std::string oldId, std::string newId)
      : context_(context), oldId_(std::move(oldId)), newId_(std::move(newId)) {}

  ExitCode run();

 private:
  enum class StepResult { Pending, Done, Failed };

  StepResult advance();
  /// Fails with `NotFound` unless one of the two is a member that is a store: a voter without
  /// partitions is not replaced by a store.
  Status checkMembers();
  StepResult admitStore(const std::string& operatorsAddress);
  /// Returns `Failed` after a permanent error, `Pending` if the same request may succeed later.
  StepResult handleFailure(const Error& error);
  void reportProgress(const std::string& progress);
  ExitCode printDone();

  CtlContext& context_;
  const std::string oldId_;
  const std::string newId_;
  bool admitted_ = false;
  std::string lastProgress_;
  ExitCode failureCode_ = ExitCode::Ok;
};

}  // namespace shedshed::ctl
