#include "ctl/exit_code.h"

namespace shedshed::ctl {

ExitCode exitCodeOf(const Error& error) {
  switch (error.code) {
  case ErrorCode::VersionConflict:
  case ErrorCode::IdempotencyKeyReused:
  case ErrorCode::AlreadyExists:
    return ExitCode::Conflict;
  case ErrorCode::OutcomeUnknown:
    return ExitCode::Unknown;
  case ErrorCode::Unauthenticated:
  case ErrorCode::PermissionDenied:
    return ExitCode::Denied;
  case ErrorCode::InvalidArgument:
  case ErrorCode::TooLarge:
  case ErrorCode::NotFound:
    return ExitCode::Refused;
  default:
    return ExitCode::Unavailable;
  }
}

const char* recoveryHint(const Error& error) {
  switch (error.code) {
  case ErrorCode::VersionConflict:
    return "read the newest value (shedctl settings get), apply your change to it and send it "
           "with that --base-version and a new order id";
  case ErrorCode::IdempotencyKeyReused:
    return "leave out --order-id, so that a new one is chosen";
  case ErrorCode::OutcomeUnknown:
    return "send the same change again with the --order-id and --base-version shown; it takes "
           "effect at most once";
  case ErrorCode::Unauthenticated:
  case ErrorCode::PermissionDenied:
    return "check --key-file against operator_key_file of the node";
  case ErrorCode::NoQuorum:
    return "run shedctl status to see which control machines are missing, then try again";
  case ErrorCode::NotReady:
    return "a new fleet is formed with shedctl init; else try again in a second";
  case ErrorCode::StoreUnavailable:
    return "check the --node addresses (operators_address of any node), then try again";
  default:
    return "";
  }
}

const char* exitCodeHelp() {
  return "Exit codes:\n"
         "  0  done\n"
         "  1  wrong flags, words or files; nothing was sent\n"
         "  2  refused by the fleet; nothing changed\n"
         "  3  conflict: another change won, the order id was used, or the object exists\n"
         "  4  no node or no majority could answer; nothing changed, try again\n"
         "  5  outcome unknown: send again with the same --order-id and --base-version\n"
         "  6  the operator key is missing or wrong\n"
         "  7  wait, stores: not done within --timeout-s; run the same command again\n";
}

}  // namespace shedshed::ctl
